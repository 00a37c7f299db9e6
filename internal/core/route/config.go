package route

import "time"

// Config holds the location of the entry, the seed and the parameters of a Router.
// Zero parameters take their defaults.
type Config struct {
	// Region and Zone are where the entry runs.
	Region, Zone string
	Seed         uint64
	// CrossRegionBytesPerSecond bounds the request bodies and answers exchanged with
	// targets in other regions. Zero takes the default of 600,000, with which
	// three entries use at most half of a link of 30 Mbit/s; a negative value
	// disables other regions.
	CrossRegionBytesPerSecond int64
	// Choices is the number of random targets from which the least loaded is
	// chosen; 2 by default.
	Choices int
	// OthersHalfLife is the half-life of the estimate of the slots in use by other
	// entries; 8 s by default.
	OthersHalfLife time.Duration
	// BackoffMin and BackoffMax bound the backoff after a refusal by a target, which
	// doubles with each consecutive refusal; 20 ms and 1 s by default.
	BackoffMin, BackoffMax time.Duration
	// SlowStart is the time over which the allowed load of a new target grows to
	// all its slots; 10 s by default.
	SlowStart time.Duration
	// HealthHalfLife is the half-life of the counts of answers and failures; 10 s
	// by default.
	HealthHalfLife time.Duration
	// EjectFailures is the number of recent failures that ejects a target if they
	// are at least half of its recent results; 5 by default.
	EjectFailures float64
	// EjectMin and EjectMax bound the duration of an ejection, which doubles with
	// each one; 10 s and 5 min by default.
	EjectMin, EjectMax time.Duration
	// EjectShare is the maximum share of the targets that are up that may be
	// ejected, but at least one target; 0.2 by default.
	EjectShare float64
	// RegionBackoffMin and RegionBackoffMax bound the backoff of a region after several consecutive
	// lost connections to it; 1 s and 30 s by default.
	RegionBackoffMin, RegionBackoffMax time.Duration
	// RetryShare is the number of retries granted per first attempt; 0.1 by
	// default.
	RetryShare float64
	// RetryBurst is the maximum of the retry budget, and its level before any
	// traffic; 10 by default.
	RetryBurst float64
	// MaxAttempts bounds the attempts of a request; 3 by default.
	MaxAttempts int
	// RetryDelay is the mean delay before the first retry, which doubles with each
	// attempt; 20 ms by default.
	RetryDelay time.Duration
}

const defaultFarBytes = 600_000

func setDefault[T int | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

func (c Config) withDefaults() Config {
	if c.CrossRegionBytesPerSecond == 0 {
		c.CrossRegionBytesPerSecond = defaultFarBytes
	}
	setDefault(&c.Choices, 2)
	setDefault(&c.OthersHalfLife, 8*time.Second)
	setDefault(&c.BackoffMin, 20*time.Millisecond)
	setDefault(&c.BackoffMax, time.Second)
	setDefault(&c.SlowStart, 10*time.Second)
	setDefault(&c.HealthHalfLife, 10*time.Second)
	setDefault(&c.EjectFailures, 5)
	setDefault(&c.EjectMin, 10*time.Second)
	setDefault(&c.EjectMax, 5*time.Minute)
	setDefault(&c.EjectShare, 0.2)
	setDefault(&c.RegionBackoffMin, time.Second)
	setDefault(&c.RegionBackoffMax, 30*time.Second)
	setDefault(&c.RetryShare, 0.1)
	setDefault(&c.RetryBurst, 10)
	setDefault(&c.MaxAttempts, 3)
	setDefault(&c.RetryDelay, 20*time.Millisecond)
	return c
}
