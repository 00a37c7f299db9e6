package plan

import "time"

const (
	// slowPeriod is how long a worker is avoided after a run on it was last found slow. Once
	// its runs have been moved, nothing shows whether it still is.
	slowPeriod = 2 * time.Second
	// maxSlowPeriod bounds the period of a worker that is found slow again and again. Such
	// faults last 6 to 12 s; with slowPeriod alone, gangs came back to slow workers three
	// times in one of them and were moved each time.
	maxSlowPeriod = 16 * time.Second
)

// reasonSlow is the reason for moving a run off a slow worker.
const reasonSlow = "worker is slow"

// slowness records when a worker was found slow.
type slowness struct {
	// foundAt is when a run was last found slow, and until when the worker is avoided.
	foundAt, until time.Duration
	// episodes counts the times that the worker was found slow after it had no longer been
	// avoided, and has not completed a run at a normal rate since.
	episodes int
}

// avoided reports whether the worker is avoided for its rate. It is still used for what fits
// nowhere else.
func (s slowness) avoided(now time.Duration) bool { return now < s.until }

// found returns the slowness after a run was found slow. With backoff, the period doubles with
// each episode.
func (s slowness) found(now time.Duration, backoff bool) slowness {
	if !s.avoided(now) {
		s.episodes++
	}
	period := slowPeriod
	if backoff {
		period = min(maxSlowPeriod, slowPeriod<<(min(s.episodes, 5)-1))
	}
	s.foundAt, s.until = now, max(s.until, now+period)
	return s
}

// completed returns the slowness after a run that began at the given time has completed and
// was not found slow.
func (s slowness) completed(began time.Duration) slowness {
	if began > s.foundAt {
		s.episodes = 0
	}
	return s
}
