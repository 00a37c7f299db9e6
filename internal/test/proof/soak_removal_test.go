package proof

import (
	"flag"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

var (
	removalFirst     = flag.Uint64("removal.first", 1, "first seed of TestSoakOfRemovals")
	removalSeeds     = flag.Uint64("removal.seeds", 1, "number of seeds of TestSoakOfRemovals")
	removalRetention = flag.Duration("removal.retention", 5*time.Second, "how long ended jobs stay known in TestSoakOfRemovals")
)

const (
	// removalMargin is above the time by which the leader removes an ended job later than
	// its retention asks for.
	removalMargin = 45 * time.Second
	// cancelSlack is how long after an acknowledged cancellation a task may still start:
	// 3 s as the platform asks, and a start that its worker carries out late.
	cancelSlack = 20 * time.Second
)

// TestSoakOfRemovals is TestSoak on a deployment that outlives its jobs: faults go on
// until the ended jobs have been removed. It guards against jobs that run again once their
// records are gone.
func TestSoakOfRemovals(t *testing.T) {
	for seed := *removalFirst; seed < *removalFirst+*removalSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := soak(t, seed, *removalRetention)
			before := r.starts()
			r.faults(r.retention + removalMargin)
			r.calm()
			r.checkRemoved()
			assert.DeepEqual(t, r.starts(), before)
			assert.DeepEqual(t, r.fleet.Violations(), []string(nil))
		})
	}
}

// starts returns how often the tasks of each job were started.
func (r *soakRun) starts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for id, j := range r.jobs {
		for i := range j.tasks {
			counts[id] += r.fleet.Starts(chestnutpond.TaskRef{Job: chestnutpond.JobID(id), Index: i})
		}
	}
	return counts
}

// checkRemoved waits until no entry knows any of the jobs.
func (r *soakRun) checkRemoved() {
	for _, e := range r.entries() {
		for id, j := range r.jobs {
			until(r.t, "removal of job "+id+" at "+e.name, func() string {
				status, body := e.call(direct, http.MethodGet, j.path, "")
				if status == http.StatusGone {
					return ""
				}
				return fmt.Sprintf("%d %s", status, body)
			})
		}
	}
}

// checkCancelled checks that no task of a job starts after its cancellation.
func (r *soakRun) checkCancelled(id string, j *soakJob) {
	if !j.cancelled {
		return
	}
	for i := range j.tasks {
		last := r.fleet.LastStart(chestnutpond.TaskRef{Job: chestnutpond.JobID(id), Index: i})
		assert.Check(r.t, last.Before(j.cancelledAt.Add(cancelSlack)), "task %d of job %s is started %s after its cancellation",
			i, id, last.Sub(j.cancelledAt))
	}
}

// mayBeRemoved is removable for callers without the lock.
func (r *soakRun) mayBeRemoved(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.removable(id, r.jobs[id])
}

// removable reports whether an accepted job may be unknown: it ended, and its retention
// may be over. The lock is held.
func (r *soakRun) removable(id string, j *soakJob) bool {
	if time.Since(j.acceptedAt) <= r.retention {
		return false
	}
	if j.asked || r.failing {
		return true
	}
	done := 0
	for i := range j.tasks {
		if r.fleet.Done(chestnutpond.TaskRef{Job: chestnutpond.JobID(id), Index: i}) {
			done++
		}
	}
	// The end of one member represents the whole gang.
	return done == j.tasks || j.gang && done > 0
}
