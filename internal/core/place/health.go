package place

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// Failure describes a failed start or task.
type Failure struct {
	Worker string
	// WorkerSuspect means that the worker may be at fault. It is false for refusals
	// such as "no accelerator" and for lost races.
	WorkerSuspect bool
	Reason        string
}

// health is the failure history of a worker.
type health struct {
	// failures are the different jobs that failed on the worker since the last
	// success.
	failures []*job
	// ejections counts the ejections since the last success.
	ejections int
	ejected   bool
	// ejectedUntil is when the ejection ends.
	ejectedUntil time.Duration
}

// kind is the failure history of a kind of job.
type kind struct {
	// failedOn names the different workers on which jobs of the kind failed
	// since the last success on any worker.
	failedOn []string
}

// kindFaultWorkers is the number of different workers on which a kind must
// fail, with no success on any worker, to be considered the cause itself.
const kindFaultWorkers = 3

// minSuccessRun is the shortest run that counts as a success when a job ends.
const minSuccessRun = time.Second

// maxWorkerFailures limits the failures that are kept for a worker.
const maxWorkerFailures = 16

// successCheck is an attempt that counts as a success if it is still running at
// the given time.
type successCheck struct {
	job     *job
	attempt int64
	at      time.Duration
}

// StartFailed reports that a start failed and that no part of the attempt is
// running. The job is queued again, or given up.
func (c *Core) StartFailed(now time.Duration, id chestnutpond.JobID, attempt int64, f Failure) {
	c.attemptFailed(now, id, attempt, f)
}

// TaskFailed reports that the task failed and that no part of the attempt is
// running. The job is queued again, or given up.
func (c *Core) TaskFailed(now time.Duration, id chestnutpond.JobID, attempt int64, f Failure) {
	c.attemptFailed(now, id, attempt, f)
}

func (c *Core) attemptFailed(now time.Duration, id chestnutpond.JobID, attempt int64, f Failure) {
	c.advance(now)
	j := c.jobs[id]
	if j == nil || j.attempt != attempt || !j.state.holds() {
		return
	}
	c.detach(j)
	delay := c.cfg.RetryDelay << min(j.retries, 16)
	j.retries++
	j.notBefore = c.now + min(delay, c.cfg.RetryDelayLimit)
	if f.WorkerSuspect {
		c.recordFailure(j, f.Worker)
		if c.jobFailures(j) >= j.spec.MaxAttempts || j.blamed >= 2*j.spec.MaxAttempts {
			c.giveUp(j, f.Reason)
			return
		}
	}
	c.enqueue(j)
}

// recordFailure counts a failure against the job, its kind and the worker.
func (c *Core) recordFailure(j *job, name string) {
	j.blamed++
	j.failedOn = addName(j.failedOn, name)
	j.avoid = addName(j.avoid, name)
	k := c.kinds[j.spec.Kind]
	if k == nil {
		k = &kind{}
		c.kinds[j.spec.Kind] = k
	}
	if len(k.failedOn) < kindFaultWorkers {
		k.failedOn = addName(k.failedOn, name)
	}
	w := c.fleet.byName[name]
	if w == nil {
		return
	}
	if len(w.failures) < maxWorkerFailures && !contains(w.failures, j) {
		w.failures = append(w.failures, j)
	}
	c.ejectIfFaulty(w)
}

// jobFailures returns the number of different workers on which the job failed.
// It excludes workers that have been ejected, or on which another job failed
// too, with no success since: with several bad workers, a good job may fail on
// all of them before they are ejected.
func (c *Core) jobFailures(j *job) int {
	n := 0
	for _, name := range j.failedOn {
		w := c.fleet.byName[name]
		if w == nil || len(w.failures) < suspectFailures && w.ejections == 0 {
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

// workerFailures counts the failures held against a worker. It excludes kinds
// that fail on every worker.
func (c *Core) workerFailures(w *worker) int {
	n := 0
	for _, j := range w.failures {
		if k := c.kinds[j.spec.Kind]; k == nil || len(k.failedOn) < kindFaultWorkers {
			n++
		}
	}
	return n
}

// ejectIfFaulty ejects a worker on which different jobs fail. One failure
// suffices for a worker that was ejected before and has had no success since.
func (c *Core) ejectIfFaulty(w *worker) {
	n := c.workerFailures(w)
	if w.ejected || !w.up || n == 0 || n < c.cfg.EjectAfter && w.ejections == 0 {
		return
	}
	if len(c.ejected) >= c.ejectLimit() {
		return
	}
	w.ejected = true
	w.ejectedUntil = c.now + min(c.cfg.EjectTime<<min(w.ejections, 16), c.cfg.EjectTimeLimit)
	w.ejections++
	c.ejected = append(c.ejected, w)
	for _, j := range w.failures {
		j.failedOn = without(j.failedOn, w.Name)
	}
	c.unbindCells(w)
	c.requeueClaims(w)
	c.fleet.recount(w)
}

// readmit ends the ejection of a worker.
func (c *Core) readmit(w *worker) {
	if !w.ejected {
		return
	}
	w.ejected = false
	c.ejected = without(c.ejected, w)
	c.cellsDirty = c.cellsDirty || c.uncovered > 0
	c.fleet.recount(w)
}

func (c *Core) ejectLimit() int { return max(1, c.fleet.workersUp*ejectPercent/100) }

// endEjections readmits the workers whose ejection has expired, and the
// earliest ejected ones if the ejection limit fell because workers were lost.
func (c *Core) endEjections() {
	for len(c.ejected) > c.ejectLimit() {
		c.readmit(c.ejected[0])
	}
	for i := 0; i < len(c.ejected); {
		w := c.ejected[i]
		if w.ejectedUntil > c.now {
			i++
			continue
		}
		w.failures = nil
		c.readmit(w)
	}
}

// giveUp ends a job as impossible, and no longer counts its failures against
// the workers.
func (c *Core) giveUp(j *job, reason string) {
	j.state = stateGivenUp
	for _, name := range append(append([]string(nil), j.avoid...), j.failedOn...) {
		w := c.fleet.byName[name]
		if w == nil || !contains(w.failures, j) {
			continue
		}
		w.failures = without(w.failures, j)
		if w.ejected && c.workerFailures(w) < c.cfg.EjectAfter {
			w.ejections = max(0, w.ejections-1)
			c.readmit(w)
		}
	}
	c.actions = append(c.actions, Action{
		Kind: ActionGiveUp, Job: j.spec.ID, Attempt: j.attempt,
		Reason: "failed on different workers, last: " + reason,
	})
}

// recordSuccesses counts the jobs that have run long enough as successes.
func (c *Core) recordSuccesses() {
	n := 0
	for n < len(c.successChecks) && c.successChecks[n].at <= c.now {
		p := c.successChecks[n]
		if p.job.state == stateRunning && p.job.attempt == p.attempt {
			c.succeeded(p.job)
		}
		n++
	}
	c.successChecks = c.successChecks[n:]
}

// succeeded clears the failures of the kind and the workers of a running job.
func (c *Core) succeeded(j *job) {
	j.retries = 0
	if k := c.kinds[j.spec.Kind]; k != nil {
		k.failedOn = nil
	}
	for _, h := range j.held {
		h.w.failures = nil
		h.w.ejections = 0
	}
}
