package route

import "time"

// Config holds the place of the entry, the seed and the tunables of a Router. A
// zero tunable takes its default.
type Config struct {
	// Region and Zone are where the entry runs.
	Region, Zone string
	Seed         uint64
	// FarBytesPerSecond bounds the bodies and answers exchanged with targets in
	// other regions. Zero takes the default of 600,000, so that three entries
	// use at most half of a link of 30 Mbit/s; negative forbids other regions.
	FarBytesPerSecond int64
	// Choices is the number of random targets of which the least loaded is
	// taken; 2 by default.
	Choices int
	// OthersHalfLife is how fast the estimate of the slots in use by other
	// entries fades; 8 s by default.
	OthersHalfLife time.Duration
	// HoldMin and HoldMax bound how long a target that refused is left alone;
	// 20 ms and 1 s by default. The hold doubles with each refusal in a row.
	HoldMin, HoldMax time.Duration
	// SlowStart is how long a new target takes to get all its slots used; 10 s
	// by default.
	SlowStart time.Duration
	// HealthHalfLife is how fast past answers and failures fade; 10 s by default.
	HealthHalfLife time.Duration
	// EjectFailures is the number of recent failures that eject a target if they
	// are at least half of its recent results; 5 by default.
	EjectFailures float64
	// EjectMin and EjectMax bound the time of an ejection, which doubles each
	// time; 10 s and 5 min by default.
	EjectMin, EjectMax time.Duration
	// EjectShare caps the ejected part of the targets that are up, at least one;
	// 0.2 by default.
	EjectShare float64
	// PathMin and PathMax bound how long a region is left alone after several
	// connections to it in a row were lost; 1 s and 30 s by default.
	PathMin, PathMax time.Duration
	// RetryShare is the number of retries allowed for each first attempt; 0.1 by
	// default.
	RetryShare float64
	// RetryBurst is the number of retries allowed before any traffic, and the
	// most that are saved up; 10 by default.
	RetryBurst float64
	// MaxAttempts bounds the attempts of one request; 3 by default.
	MaxAttempts int
	// RetryDelay is the mean delay of the first retry; it doubles with each
	// attempt; 20 ms by default.
	RetryDelay time.Duration
}

const defaultFarBytes = 600_000

func set[T int | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

func (c Config) withDefaults() Config {
	if c.FarBytesPerSecond == 0 {
		c.FarBytesPerSecond = defaultFarBytes
	}
	set(&c.Choices, 2)
	set(&c.OthersHalfLife, 8*time.Second)
	set(&c.HoldMin, 20*time.Millisecond)
	set(&c.HoldMax, time.Second)
	set(&c.SlowStart, 10*time.Second)
	set(&c.HealthHalfLife, 10*time.Second)
	set(&c.EjectFailures, 5)
	set(&c.EjectMin, 10*time.Second)
	set(&c.EjectMax, 5*time.Minute)
	set(&c.EjectShare, 0.2)
	set(&c.PathMin, time.Second)
	set(&c.PathMax, 30*time.Second)
	set(&c.RetryShare, 0.1)
	set(&c.RetryBurst, 10)
	set(&c.MaxAttempts, 3)
	set(&c.RetryDelay, 20*time.Millisecond)
	return c
}
