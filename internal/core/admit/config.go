package admit

import "time"

// Config holds the parameters of a Queue. Zero fields take their defaults. Leads,
// lags and credits given in requests of average length are multiplied by the mean
// service time.
type Config struct {
	// Limit bounds the waiting requests of the whole queue; 4,096 by default.
	Limit int
	// KindLimit bounds the waiting requests of one kind in one class; 1,024 by
	// default.
	KindLimit int
	// AccountLimit bounds the waiting requests of accounts without a queue limit
	// in the document; 200 by default.
	AccountLimit int
	// CallerShare is the part of its account's queue limit that one caller may
	// use, from 0 to 1; 0.25 by default.
	CallerShare float64
	// CallerLimit bounds the callers whose usage is kept; 16,384 by default.
	// Callers with waiting or running requests are always kept.
	CallerLimit int
	// UrgentLead and StandardLead are how far an account may be served ahead of
	// its share for requests of these classes, in requests of average length; 8
	// and 3 by default. Bulk has no lead.
	UrgentLead   float64
	StandardLead float64
	// SurplusLag is how far the surplus of an account is ranked behind the
	// account's baseline requests, in requests of average length; 64 by default.
	SurplusLag float64
	// AccountLag is how far the surplus of an account is ranked behind the
	// baseline requests of other accounts, in requests of average length; 32 by
	// default.
	AccountLag float64
	// BaselineWindow is the time constant with which baseline rates are averaged; 30
	// min by default.
	BaselineWindow time.Duration
	// MaxWaitShare is the part of the time to its deadline that a request may be
	// expected to wait; a request expected to wait longer is refused on arrival.
	// The default is 0.5, because estimates are inexact and a caller whose request
	// waits in vain learns it late.
	MaxWaitShare float64
	// SurplusMaxWaitShare is the same for surplus; 0.33 by default. It is lower
	// because more baseline requests arrive while surplus waits, so that surplus
	// waits longer than estimated.
	SurplusMaxWaitShare float64
	// DeadlineShare is the part of the requests that may be served out of order
	// because their deadlines are near; 0.001 by default. With 0.02, the load test
	// loses 0.1 to 0.5 % of the other requests during floods.
	DeadlineShare float64
	// IdleCredit is how far the tag of a group that was idle may lag behind virtual
	// time when the group becomes active again, in requests of average length; 8
	// by default.
	IdleCredit float64
	// InitialServiceTime is the service time assumed for a kind before its first answer;
	// 500 ms by default.
	InitialServiceTime time.Duration
	// RetryMin and RetryMax bound OfferResult.RetryAfter; 1 s and 30 s by default.
	RetryMin time.Duration
	RetryMax time.Duration
}

func orInt(v, def int) int {
	if v <= 0 {
		return def
	}
	return v
}

func orFloat(v, def float64) float64 {
	if v <= 0 {
		return def
	}
	return v
}

func orTime(v, def time.Duration) time.Duration {
	if v <= 0 {
		return def
	}
	return v
}

func (c Config) withDefaults() Config {
	c.Limit = orInt(c.Limit, 4096)
	c.KindLimit = orInt(c.KindLimit, 1024)
	c.AccountLimit = orInt(c.AccountLimit, 200)
	c.CallerShare = min(orFloat(c.CallerShare, 0.25), 1)
	c.CallerLimit = orInt(c.CallerLimit, 16384)
	c.UrgentLead = orFloat(c.UrgentLead, 8)
	c.StandardLead = orFloat(c.StandardLead, 3)
	c.SurplusLag = orFloat(c.SurplusLag, 64)
	c.AccountLag = orFloat(c.AccountLag, 32)
	c.BaselineWindow = orTime(c.BaselineWindow, 30*time.Minute)
	c.MaxWaitShare = orFloat(c.MaxWaitShare, 0.5)
	c.SurplusMaxWaitShare = orFloat(c.SurplusMaxWaitShare, 0.33)
	c.DeadlineShare = orFloat(c.DeadlineShare, 0.001)
	c.IdleCredit = orFloat(c.IdleCredit, 8)
	c.InitialServiceTime = orTime(c.InitialServiceTime, 500*time.Millisecond)
	c.RetryMin = orTime(c.RetryMin, time.Second)
	c.RetryMax = orTime(c.RetryMax, 30*time.Second)
	return c
}
