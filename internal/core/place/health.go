package place

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// Failure describes a start or task that failed.
type Failure struct {
	Worker string
	// Blame means that the worker may be at fault; false for a refusal such as
	// "no accelerator" or a lost race.
	Blame  bool
	Reason string
}

// health is what the core knows of the starts on a worker.
type health struct {
	// failures are the different jobs that failed with no success since.
	failures []*job
	// strikes counts ejections with no success since.
	strikes int
	ejected bool
	// until is the end of the ejection.
	until time.Duration
}

// kind is a kind of work as seen by its failures.
type kind struct {
	// failedOn are the different workers on which it failed with no success
	// anywhere since.
	failedOn []string
}

// kindWorkers is the number of workers on which a kind must fail, with no
// success anywhere, to be the likely cause.
const kindWorkers = 3

// shortSuccess is the shortest run that counts as a success when it ends well.
const shortSuccess = time.Second

// failureLimit bounds the failures kept for a worker.
const failureLimit = 16

// probe is an attempt that counts as a success if it still runs at a time.
type probe struct {
	job     *job
	attempt int64
	at      time.Duration
}

// StartFailed reports that a start failed and that nothing of the attempt runs.
// The job waits again.
func (c *Core) StartFailed(now time.Duration, id chestnutpond.JobID, attempt int64, f Failure) {
	c.failed(now, id, attempt, f)
}

// TaskFailed reports that the task failed and that nothing of the attempt runs.
// The job waits again or is given up.
func (c *Core) TaskFailed(now time.Duration, id chestnutpond.JobID, attempt int64, f Failure) {
	c.failed(now, id, attempt, f)
}

func (c *Core) failed(now time.Duration, id chestnutpond.JobID, attempt int64, f Failure) {
	c.advance(now)
	j := c.jobs[id]
	if j == nil || j.attempt != attempt || !j.state.holds() {
		return
	}
	c.detach(j)
	delay := c.cfg.RetryDelay << min(j.retries, 16)
	j.retries++
	j.notBefore = c.now + min(delay, c.cfg.RetryDelayLimit)
	if f.Blame {
		c.blame(j, f.Worker)
		if c.countsAgainst(j) >= j.spec.MaxAttempts || j.blames >= 2*j.spec.MaxAttempts {
			c.giveUp(j, f.Reason)
			return
		}
	}
	c.enqueue(j)
}

// blame counts a failure against the job, its kind and the worker.
func (c *Core) blame(j *job, name string) {
	j.blames++
	j.failed = addName(j.failed, name)
	j.avoid = addName(j.avoid, name)
	k := c.kinds[j.spec.Kind]
	if k == nil {
		k = &kind{}
		c.kinds[j.spec.Kind] = k
	}
	if len(k.failedOn) < kindWorkers {
		k.failedOn = addName(k.failedOn, name)
	}
	w := c.fleet.byName[name]
	if w == nil {
		return
	}
	if len(w.failures) < failureLimit && !contains(w.failures, j) {
		w.failures = append(w.failures, j)
	}
	c.judge(w)
}

// countsAgainst is the number of different workers on which the job failed,
// without those that were ejected, or where another job failed too, and none
// succeeded since: with several bad workers a good job can meet all of them before they are ejected.
func (c *Core) countsAgainst(j *job) int {
	n := 0
	for _, name := range j.failed {
		w := c.fleet.byName[name]
		if w == nil || len(w.failures) < suspectFailures && w.strikes == 0 {
			n++
		}
	}
	return n
}

// suspectFailures is the number of different jobs whose failures make a worker
// the likely cause for each of them.
const suspectFailures = 2

func addName(list []string, name string) []string {
	for _, o := range list {
		if o == name {
			return list
		}
	}
	return append(list, name)
}

// against counts the failures that speak against a worker: not those of kinds
// that fail everywhere.
func (c *Core) against(w *worker) int {
	n := 0
	for _, j := range w.failures {
		if k := c.kinds[j.spec.Kind]; k == nil || len(k.failedOn) < kindWorkers {
			n++
		}
	}
	return n
}

// judge ejects a worker on which different jobs fail. A worker that was ejected
// before needs one failure only.
func (c *Core) judge(w *worker) {
	n := c.against(w)
	if w.ejected || !w.up || n == 0 || n < c.cfg.EjectAfter && w.strikes == 0 {
		return
	}
	if len(c.ejected) >= c.ejectLimit() {
		return
	}
	w.ejected = true
	w.until = c.now + min(c.cfg.EjectTime<<min(w.strikes, 16), c.cfg.EjectTimeLimit)
	w.strikes++
	c.ejected = append(c.ejected, w)
	for _, j := range w.failures {
		j.failed = without(j.failed, w.Name)
	}
	c.dropCells(w)
	c.dropClaims(w)
	c.fleet.touch(w)
}

// liftEjection lets a worker get work again.
func (c *Core) liftEjection(w *worker) {
	if !w.ejected {
		return
	}
	w.ejected = false
	c.ejected = without(c.ejected, w)
	c.cellsDirty = c.cellsDirty || c.uncovered > 0
	c.fleet.touch(w)
}

func (c *Core) ejectLimit() int { return max(1, c.fleet.up*ejectPercent/100) }

// endEjections lets workers return whose time is over, and the earliest ejected
// ones when so many workers were lost that the limit fell.
func (c *Core) endEjections() {
	for len(c.ejected) > c.ejectLimit() {
		c.liftEjection(c.ejected[0])
	}
	for i := 0; i < len(c.ejected); {
		w := c.ejected[i]
		if w.until > c.now {
			i++
			continue
		}
		w.failures = nil
		c.liftEjection(w)
	}
}

// giveUp ends a job as impossible and takes its failures back from the workers.
func (c *Core) giveUp(j *job, reason string) {
	j.state = stateGivenUp
	for _, name := range append(append([]string(nil), j.avoid...), j.failed...) {
		w := c.fleet.byName[name]
		if w == nil || !contains(w.failures, j) {
			continue
		}
		w.failures = without(w.failures, j)
		if w.ejected && c.against(w) < c.cfg.EjectAfter {
			w.strikes = max(0, w.strikes-1)
			c.liftEjection(w)
		}
	}
	c.actions = append(c.actions, Action{
		Kind: ActionGiveUp, Job: j.spec.ID, Attempt: j.attempt,
		Reason: "failed on different workers, last: " + reason,
	})
}

// survey counts the jobs that have run long enough as successes.
func (c *Core) survey() {
	n := 0
	for n < len(c.probation) && c.probation[n].at <= c.now {
		p := c.probation[n]
		if p.job.state == stateRunning && p.job.attempt == p.attempt {
			c.succeeded(p.job)
		}
		n++
	}
	c.probation = c.probation[n:]
}

// succeeded clears the failures of the kind and the workers of a running job.
func (c *Core) succeeded(j *job) {
	j.retries = 0
	if k := c.kinds[j.spec.Kind]; k != nil {
		k.failedOn = nil
	}
	for _, h := range j.held {
		h.w.failures = nil
		h.w.strikes = 0
	}
}
