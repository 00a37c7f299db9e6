package place

import "time"

// Config configures a Core. Zero values of the tunables mean their defaults.
type Config struct {
	Region string
	// Seed has no effect yet: among equally good places the worker that was
	// announced first wins.
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
	// PreemptAfter is how long a job waits before it may preempt borrowers of a
	// lower level; urgent jobs do so at once.
	PreemptAfter time.Duration
	// PreemptMinRun is the shortest run of a borrower before a more urgent
	// borrower may preempt it. It doubles with each preemption of the same job.
	PreemptMinRun time.Duration
	// ReservationAfter is how long a job at the head of the queue waits before it
	// gets a reservation, which leaves accelerators unused until it starts.
	ReservationAfter time.Duration
	// ReservationPatience is how long a reservation waits for accelerators
	// before it preempts the borrowers on them.
	ReservationPatience time.Duration
	// Without switches off parts of the policy. The measurement table keeps
	// earlier versions this way.
	Without Feature
	// ConsolidateEvery is the least time between two consolidations, each of
	// which frees one guaranteed shape.
	ConsolidateEvery time.Duration
	// ConsolidateLimit is the largest number of held accelerators of a worker
	// that a consolidation empties.
	ConsolidateLimit int
	// ConsolidateMaxRun bounds the work that a moved job can lose if its
	// checkpoint is not written: a job that ran longer stays.
	ConsolidateMaxRun time.Duration
	// ConsolidateAgain is the least time between two moves of the same job.
	ConsolidateAgain time.Duration
	// ReservationLimit is the number of jobs that hold a reservation at a time.
	ReservationLimit int
}

// Feature is a set of parts of the policy.
type Feature uint

const (
	// FeatureSharedFit fits borrowers over all free accelerators at once, so
	// that partly used workers fill up before a cell or an open worker is begun.
	FeatureSharedFit Feature = 1 << iota
	// FeatureBacklog orders the work of callers with a large backlog last.
	FeatureBacklog
	// FeaturePreempt lets borrowers preempt borrowers of a lower level.
	FeaturePreempt
	// FeaturePatience lets old reservations preempt borrowers.
	FeaturePatience
	// FeatureFloat starts small jobs within a guarantee on partly used workers
	// before their own cell.
	FeatureFloat
	// FeatureUrgentFirst lets urgent borrowers preempt borrowers of any run time,
	// and leaves out victims whose level has no more than its share.
	FeatureUrgentFirst
	// FeatureDisplace lets the jobs of an account take its cells back from its
	// own backlogged callers.
	FeatureDisplace
	// FeatureConsolidate moves small jobs together when that frees a whole
	// guaranteed shape.
	FeatureConsolidate
)

// FeaturesAll is every part; without them all, the policy is close to its first
// version. Shares by level and the later rules of health are always on.
const FeaturesAll = FeatureSharedFit | FeatureBacklog | FeaturePreempt | FeaturePatience |
	FeatureFloat | FeatureUrgentFirst | FeatureDisplace | FeatureConsolidate

func (c Config) has(f Feature) bool { return c.Without&f == 0 }

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
	setTime(&c.PreemptAfter, 5*time.Second)
	setTime(&c.PreemptMinRun, time.Minute)
	setTime(&c.ReservationAfter, 30*time.Minute)
	setTime(&c.ReservationPatience, 2*time.Minute)
	setTime(&c.ConsolidateEvery, 15*time.Second)
	setInt(&c.ConsolidateLimit, 4)
	setTime(&c.ConsolidateMaxRun, 3*time.Minute)
	setTime(&c.ConsolidateAgain, 10*time.Minute)
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
