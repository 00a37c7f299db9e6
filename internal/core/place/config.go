package place

import "time"

// Config configures a Core. Zero values of the parameters below Seed mean their
// defaults.
type Config struct {
	Region string
	// Seed has no effect yet. Ties between equally good workers go to the one
	// that was announced first.
	Seed uint64

	// StandardShare and BulkShare are the minimum shares of the classes, as
	// percentages of the region's accelerators. A class below its share goes
	// before more urgent borrowers.
	StandardShare int
	BulkShare     int
	// ReclaimCooldown is the cooldown during which a cell is not lent after its
	// owner preempted work for it and then released it. It doubles with each
	// repetition, up to ReclaimCooldownLimit.
	ReclaimCooldown      time.Duration
	ReclaimCooldownLimit time.Duration
	// RetryDelay is the backoff of a job after a failed attempt. It doubles
	// with each consecutive failure, up to RetryDelayLimit.
	RetryDelay      time.Duration
	RetryDelayLimit time.Duration
	// HealthyAfter is how long a job must run to count as a success of its
	// workers and kind.
	HealthyAfter time.Duration
	// EjectAfter is the number of different jobs that must fail on a worker,
	// with no success in between, before it is ejected.
	EjectAfter int
	// EjectTime is the duration of the first ejection. It doubles with each
	// further ejection, up to EjectTimeLimit.
	EjectTime      time.Duration
	EjectTimeLimit time.Duration
	// MaxAttempts applies to jobs that do not set it.
	MaxAttempts int
	// PreemptAfter is how long a job waits before it may preempt borrowers of a
	// lower priority level. Urgent jobs may preempt at once.
	PreemptAfter time.Duration
	// PreemptMinRun is how long a borrower must have run before a more urgent
	// borrower may preempt it. It doubles with each preemption of the same job.
	PreemptMinRun time.Duration
	// ReservationAfter is how long a job at the head of the queue waits before
	// it gets a reservation. A reservation leaves accelerators idle until the
	// job starts.
	ReservationAfter time.Duration
	// ReservationPreemptAfter is how long a reservation waits for accelerators
	// before it preempts the borrowers on them.
	ReservationPreemptAfter time.Duration
	// DisabledFeatures disables parts of the policy, so that benchmarks can compare
	// against earlier versions of it.
	DisabledFeatures Feature
	// ConsolidateEvery is the minimum time between two consolidations, each of
	// which frees accelerators for one guaranteed shape.
	ConsolidateEvery time.Duration
	// ConsolidateLimit is the largest number of accelerators in use on a worker
	// that consolidation may evacuate.
	ConsolidateLimit int
	// MigrationMaxRun is the longest run of a job that may be migrated. It
	// bounds the work that is lost if the checkpoint is not written.
	MigrationMaxRun time.Duration
	// MigrationCooldown is the minimum time between two migrations of the same
	// job.
	MigrationCooldown time.Duration
	// ReservationLimit is the maximum number of jobs with a reservation at a
	// time.
	ReservationLimit int
}

// Feature is a set of optional parts of the policy.
type Feature uint

const (
	// FeatureSharedFit fits borrowers over all free accelerators at once,
	// inside and outside cells, so that partly used workers fill up before an
	// unused worker or cell is used.
	FeatureSharedFit Feature = 1 << iota
	// FeatureBacklog schedules the jobs of callers with a large backlog last.
	FeatureBacklog
	// FeaturePreempt lets borrowers preempt borrowers of a lower priority
	// level.
	FeaturePreempt
	// FeatureReservationPreempt lets a reservation preempt borrowers after
	// ReservationPreemptAfter.
	FeatureReservationPreempt
	// FeatureFillPartialWorkers starts small jobs that are within a guarantee on partly used
	// workers rather than on their own cell.
	FeatureFillPartialWorkers
	// FeatureUrgentFirst lets urgent borrowers preempt borrowers regardless of
	// their run time, and excludes victims whose priority level would fall
	// below its minimum share.
	FeatureUrgentFirst
	// FeatureAccountPreempt lets the jobs of an account preempt the jobs of its own
	// backlogged callers on its cells.
	FeatureAccountPreempt
	// FeatureConsolidate migrates small jobs when that frees accelerators for a
	// whole guaranteed shape.
	FeatureConsolidate
)

// FeaturesAll contains all features. Without them the policy is close to its
// first version; minimum shares by level and the later health rules are always
// on.
const FeaturesAll = FeatureSharedFit | FeatureBacklog | FeaturePreempt | FeatureReservationPreempt |
	FeatureFillPartialWorkers | FeatureUrgentFirst | FeatureAccountPreempt | FeatureConsolidate

func (c Config) has(f Feature) bool { return c.DisabledFeatures&f == 0 }

// ejectPercent is the maximum percentage of workers that are ejected at a time.
// One worker may always be ejected.
const ejectPercent = 20

func (c Config) withDefaults() Config {
	defaultInt(&c.StandardShare, 25)
	defaultInt(&c.BulkShare, 10)
	defaultDuration(&c.ReclaimCooldown, 15*time.Second)
	defaultDuration(&c.ReclaimCooldownLimit, 10*time.Minute)
	defaultDuration(&c.RetryDelay, 50*time.Millisecond)
	defaultDuration(&c.RetryDelayLimit, 5*time.Second)
	defaultDuration(&c.HealthyAfter, 10*time.Second)
	defaultInt(&c.EjectAfter, 3)
	defaultDuration(&c.EjectTime, 15*time.Second)
	defaultDuration(&c.EjectTimeLimit, time.Hour)
	defaultInt(&c.MaxAttempts, 3)
	defaultDuration(&c.PreemptAfter, 5*time.Second)
	defaultDuration(&c.PreemptMinRun, time.Minute)
	defaultDuration(&c.ReservationAfter, 30*time.Minute)
	defaultDuration(&c.ReservationPreemptAfter, 2*time.Minute)
	defaultDuration(&c.ConsolidateEvery, 15*time.Second)
	defaultInt(&c.ConsolidateLimit, 4)
	defaultDuration(&c.MigrationMaxRun, 3*time.Minute)
	defaultDuration(&c.MigrationCooldown, 10*time.Minute)
	defaultInt(&c.ReservationLimit, 1)
	return c
}

func defaultInt(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func defaultDuration(v *time.Duration, d time.Duration) {
	if *v == 0 {
		*v = d
	}
}
