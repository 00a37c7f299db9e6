package gangs

import (
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Prepare reserves accelerators for one member. A repeat for the same member
// replaces its reservation and restarts the expiry time.
func (t *Table) Prepare(req *inner.PrepareRequest, now time.Time) Decision {
	t.mu.Lock()
	v := t.prepare(req, now)
	t.mu.Unlock()
	t.cfg.Notify()
	return v
}

func (t *Table) prepare(req *inner.PrepareRequest, now time.Time) Decision {
	key := Key{Job: req.GetJob(), Attempt: req.GetAttempt(), Member: req.GetMember()}
	t.expire(now)
	if v := t.checkTerm(req.GetRegion(), req.GetTerm()); !v.OK {
		return v
	}
	if req.GetIncarnation() != t.cfg.Incarnation {
		return refuse(inner.Refusal_REFUSAL_STALE, "this is incarnation %d of the agent", t.cfg.Incarnation)
	}
	if v := t.checkAdmission(key); !v.OK {
		return v
	}
	if v := t.checkAttempt(key); !v.OK {
		return v
	}
	if v := t.checkAccelerators(key, req.GetAccelerators()); !v.OK {
		return v
	}
	ttl := req.GetHoldTtl().AsDuration()
	if ttl <= 0 || ttl > ReservationTTL {
		ttl = ReservationTTL
	}
	for other := range t.reservations {
		if superseded(other, key) {
			delete(t.reservations, other)
		}
	}
	t.reservations[key] = &reservation{
		term: req.GetTerm(), accelerators: slices.Clone(req.GetAccelerators()), expires: now.Add(ttl),
	}
	return granted
}

// checkTerm refuses a request from another region or from an old term. A new
// term drops all reservations, because the scheduler that made them may no
// longer commit.
func (t *Table) checkTerm(region string, term int64) Decision {
	if region != t.cfg.Region {
		return refuse(inner.Refusal_REFUSAL_STALE, "the agent is in region %q", t.cfg.Region)
	}
	if term < t.term {
		return refuse(inner.Refusal_REFUSAL_STALE, "term %d of the region is current", t.term)
	}
	if term > t.term {
		t.term = term
		clear(t.reservations)
	}
	return granted
}

// checkAdmission refuses all work while the agent is draining, and work of a
// fenced attempt.
func (t *Table) checkAdmission(key Key) Decision {
	switch {
	case t.draining:
		return refuse(inner.Refusal_REFUSAL_DRAINING, "the agent is draining")
	case t.fenced(key.Job, key.Attempt):
		return refuse(inner.Refusal_REFUSAL_FENCED, "attempt %d of the job is fenced", key.Attempt)
	}
	return granted
}

// checkAttempt refuses an attempt if a newer one of the job has a task or a
// reservation here, if the member is already committed, or if a task of an
// older attempt has not ended.
func (t *Table) checkAttempt(key Key) Decision {
	for other, task := range t.tasks {
		if other.Job != key.Job {
			continue
		}
		switch {
		case other.Attempt > key.Attempt:
			return refuse(inner.Refusal_REFUSAL_STALE, "attempt %d of the job is known", other.Attempt)
		case other == key:
			return refuse(inner.Refusal_REFUSAL_STALE, "the member was committed before")
		case other.Attempt < key.Attempt && task.phase != ended:
			return refuse(inner.Refusal_REFUSAL_NO_ACCELERATOR, "attempt %d of the job has not ended", other.Attempt)
		}
	}
	for other := range t.reservations {
		if other.Job == key.Job && other.Attempt > key.Attempt {
			return refuse(inner.Refusal_REFUSAL_STALE, "attempt %d of the job is held", other.Attempt)
		}
	}
	return granted
}

// checkAccelerators refuses accelerators that do not exist or that another
// member uses. It refuses all of them while the agent cannot run new tasks.
func (t *Table) checkAccelerators(key Key, accelerators []int32) Decision {
	const refusal = inner.Refusal_REFUSAL_NO_ACCELERATOR
	switch {
	case !t.clean:
		return refuse(refusal, "tasks of a former incarnation may still run")
	case !t.workerUp:
		return refuse(refusal, "the worker does not answer")
	case t.countResults() >= MaxEnded:
		return refuse(refusal, "too many results wait for their release")
	case len(accelerators) == 0:
		return refuse(refusal, "no accelerators asked for")
	}
	used := t.inUse(key)
	for _, a := range accelerators {
		if a < 0 || int(a) >= t.cfg.Accelerators {
			return refuse(refusal, "the worker has no accelerator %d", a)
		}
		if used[a] {
			return refuse(refusal, "accelerator %d is in use", a)
		}
		// An accelerator that is listed twice is refused, too.
		used[a] = true
	}
	return granted
}

// superseded reports whether a reservation for key replaces that for old. An
// agent has at most one member of a job. The scheduler reuses the number of an
// attempt that it prepared but did not record, and the agent may then have
// another member of it.
func superseded(old, key Key) bool {
	return old != key && old.Job == key.Job && old.Attempt <= key.Attempt
}

// inUse returns the accelerators that are reserved for or assigned to members
// other than key.
func (t *Table) inUse(key Key) map[int32]bool {
	used := map[int32]bool{}
	for other, r := range t.reservations {
		if other == key || superseded(other, key) {
			continue
		}
		for _, a := range r.accelerators {
			used[a] = true
		}
	}
	for _, task := range t.tasks {
		if task.phase == ended {
			continue
		}
		for _, a := range task.accelerators {
			used[a] = true
		}
	}
	return used
}

// Commit turns an unexpired reservation into a task that waits at the gang's
// barrier. If fresh is true, the task is new and the caller must drive it. A
// repeated commit is granted with fresh set to false.
func (t *Table) Commit(req *inner.CommitRequest, now time.Time) (v Decision, fresh bool) {
	t.mu.Lock()
	v, fresh = t.doCommit(req, now)
	t.mu.Unlock()
	t.cfg.Notify()
	return v, fresh
}

func (t *Table) doCommit(req *inner.CommitRequest, now time.Time) (Decision, bool) {
	key := Key{Job: req.GetJob(), Attempt: req.GetAttempt(), Member: req.GetMember()}
	t.expire(now)
	if v := t.checkTerm(req.GetRegion(), req.GetTerm()); !v.OK {
		return v, false
	}
	if _, ok := t.tasks[key]; ok {
		return granted, false
	}
	if v := t.checkAdmission(key); !v.OK {
		return v, false
	}
	r, ok := t.reservations[key]
	if !ok {
		return refuse(inner.Refusal_REFUSAL_STALE, "the member has no live reservation"), false
	}
	if v := t.checkGang(req, r); !v.OK {
		return v, false
	}
	delete(t.reservations, key)
	t.tasks[key] = &task{
		key:          key,
		commit:       req,
		accelerators: r.accelerators,
		gangAliveAt:  now,
		stepSignal:   make(chan struct{}, 1),
		beatSignal:   make(chan struct{}, 1),
		done:         make(chan struct{}),
	}
	if key.Member == 0 {
		t.leaders[key.gang()] = newLeader(req.GetGang(), now)
	}
	return granted, true
}

// checkGang refuses a commit whose gang list does not number its members from
// zero, or whose entry for this member differs from the reservation.
func (t *Table) checkGang(req *inner.CommitRequest, r *reservation) Decision {
	const refusal = inner.Refusal_REFUSAL_STALE
	gang := req.GetGang()
	if len(gang) == 0 || len(gang) > MaxMembers {
		return refuse(refusal, "a gang has 1 to %d members, not %d", MaxMembers, len(gang))
	}
	seen := make([]bool, len(gang))
	for _, m := range gang {
		n := int(m.GetMember())
		if n < 0 || n >= len(gang) || seen[n] {
			return refuse(refusal, "the gang's members are not numbered from zero")
		}
		seen[n] = true
		if m.GetMember() != req.GetMember() {
			continue
		}
		if m.GetAgent() != t.cfg.Name || m.GetIncarnation() != t.cfg.Incarnation {
			return refuse(refusal, "member %d belongs to another agent or incarnation", n)
		}
		if !slices.Equal(m.GetAccelerators(), r.accelerators) {
			return refuse(refusal, "member %d has other accelerators reserved", n)
		}
	}
	if n := int(req.GetMember()); n < 0 || n >= len(gang) {
		return refuse(refusal, "the gang has no member %d", n)
	}
	return granted
}
