package place

import "time"

// Config configures a Core. Zero values of the tunables mean their defaults.
type Config struct {
	Region string
	// Seed selects among equally good places, so that two regions or two terms
	// do not load the same workers first.
	Seed uint64

	// StandardShare and BulkShare are the percentages of the region's
	// accelerators that jobs of the class get ahead of more urgent borrowers.
	StandardShare int
	BulkShare     int
	// ReclaimHold keeps a cell closed to borrowers after its owner had to
	// preempt and then left it. It doubles with each repetition, up to
	// ReclaimHoldLimit.
	ReclaimHold      time.Duration
	ReclaimHoldLimit time.Duration
	// RetryDelay is the pause of a job after a failed start. It doubles with
	// each failure in a row, up to RetryDelayLimit.
	RetryDelay      time.Duration
	RetryDelayLimit time.Duration
	// HealthyAfter is the time after which a running job counts as a success of
	// its worker and kind.
	HealthyAfter time.Duration
	// EjectAfter is the number of different jobs that must fail on a worker,
	// with no success between them, before it is ejected.
	EjectAfter int
	// EjectTime is the first ejection; it doubles each time, up to
	// EjectTimeLimit.
	EjectTime      time.Duration
	EjectTimeLimit time.Duration
	// MaxAttempts applies to jobs that state none.
	MaxAttempts int
	// ReservationLimit is the number of jobs that hold a reservation at a time.
	ReservationLimit int
}

// ejectPercent is the share of workers that may be ejected at a time. At least
// one worker may be.
const ejectPercent = 20

func (c Config) withDefaults() Config {
	setInt(&c.StandardShare, 25)
	setInt(&c.BulkShare, 10)
	setTime(&c.ReclaimHold, 15*time.Second)
	setTime(&c.ReclaimHoldLimit, 10*time.Minute)
	setTime(&c.RetryDelay, 50*time.Millisecond)
	setTime(&c.RetryDelayLimit, 5*time.Second)
	setTime(&c.HealthyAfter, 10*time.Second)
	setInt(&c.EjectAfter, 3)
	setTime(&c.EjectTime, 15*time.Second)
	setTime(&c.EjectTimeLimit, time.Hour)
	setInt(&c.MaxAttempts, 3)
	setInt(&c.ReservationLimit, 1)
	return c
}

func setInt(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func setTime(v *time.Duration, d time.Duration) {
	if *v == 0 {
		*v = d
	}
}
