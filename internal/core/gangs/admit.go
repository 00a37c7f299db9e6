package gangs

import (
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Prepare reserves accelerators for one member. A repeat for the same member
// and accelerators starts the reservation's time anew.
func (t *Table) Prepare(req *inner.PrepareRequest, now time.Time) Verdict {
	t.mu.Lock()
	v := t.prepare(req, now)
	t.mu.Unlock()
	t.cfg.Notify()
	return v
}

func (t *Table) prepare(req *inner.PrepareRequest, now time.Time) Verdict {
	key := Key{Job: req.GetJob(), Attempt: req.GetAttempt(), Member: req.GetMember()}
	t.expire(now)
	if v := t.current(req.GetRegion(), req.GetTerm()); !v.OK {
		return v
	}
	if req.GetIncarnation() != t.cfg.Incarnation {
		return refuse(inner.Refusal_REFUSAL_STALE, "this is incarnation %d of the agent", t.cfg.Incarnation)
	}
	if v := t.open(key); !v.OK {
		return v
	}
	if v := t.onlyAttempt(key); !v.OK {
		return v
	}
	if v := t.free(key, req.GetAccelerators()); !v.OK {
		return v
	}
	ttl := req.GetHoldTtl().AsDuration()
	if ttl <= 0 || ttl > HoldTTL {
		ttl = HoldTTL
	}
	for other := range t.holds {
		if superseded(other, key) {
			delete(t.holds, other)
		}
	}
	t.holds[key] = &hold{
		term: req.GetTerm(), accelerators: slices.Clone(req.GetAccelerators()), expires: now.Add(ttl),
	}
	return granted
}

// current refuses a message of another region or of an old term. A new term
// ends the reservations of the old ones: their scheduler may commit no more.
func (t *Table) current(region string, term int64) Verdict {
	if region != t.cfg.Region {
		return refuse(inner.Refusal_REFUSAL_STALE, "the agent is in region %q", t.cfg.Region)
	}
	if term < t.term {
		return refuse(inner.Refusal_REFUSAL_STALE, "term %d of the region is current", t.term)
	}
	if term > t.term {
		t.term = term
		clear(t.holds)
	}
	return granted
}

// open refuses work that the agent takes no more, or may never take.
func (t *Table) open(key Key) Verdict {
	switch {
	case t.draining:
		return refuse(inner.Refusal_REFUSAL_DRAINING, "the agent is draining")
	case t.fenced(key.Job, key.Attempt):
		return refuse(inner.Refusal_REFUSAL_FENCED, "attempt %d of the job is fenced", key.Attempt)
	}
	return granted
}

// onlyAttempt refuses an attempt that is not newer than what the agent knows of
// the job, and one whose forerunner has not ended here.
func (t *Table) onlyAttempt(key Key) Verdict {
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
	for other := range t.holds {
		if other.Job == key.Job && other.Attempt > key.Attempt {
			return refuse(inner.Refusal_REFUSAL_STALE, "attempt %d of the job is held", other.Attempt)
		}
	}
	return granted
}

// free refuses accelerators that do not exist or that another member has.
func (t *Table) free(key Key, accelerators []int32) Verdict {
	const refusal = inner.Refusal_REFUSAL_NO_ACCELERATOR
	switch {
	case !t.clean:
		return refuse(refusal, "tasks of a former incarnation may still run")
	case !t.workerUp:
		return refuse(refusal, "the worker does not answer")
	case t.results() >= MaxEnded:
		return refuse(refusal, "too many results wait for their release")
	case len(accelerators) == 0:
		return refuse(refusal, "no accelerators asked for")
	}
	taken := t.taken(key)
	for _, a := range accelerators {
		if a < 0 || int(a) >= t.cfg.Accelerators {
			return refuse(refusal, "the worker has no accelerator %d", a)
		}
		if taken[a] {
			return refuse(refusal, "accelerator %d is in use", a)
		}
		// Catches an accelerator that is listed twice.
		taken[a] = true
	}
	return granted
}

// superseded reports whether the reservation of old ends with one of key. An
// agent holds one member of a job. The number of an attempt that was prepared
// and not recorded is used again, with other members.
func superseded(old, key Key) bool {
	return old != key && old.Job == key.Job && old.Attempt <= key.Attempt
}

// taken returns the accelerators that members other than key have.
func (t *Table) taken(key Key) map[int32]bool {
	taken := map[int32]bool{}
	for other, h := range t.holds {
		if other == key || superseded(other, key) {
			continue
		}
		for _, a := range h.accelerators {
			taken[a] = true
		}
	}
	for _, task := range t.tasks {
		if task.phase == ended {
			continue
		}
		for _, a := range task.accelerators {
			taken[a] = true
		}
	}
	return taken
}

// Commit turns a live reservation into a task at the gang's barrier. When fresh
// is true the caller drives the task from now on. A repeat is granted and not
// fresh.
func (t *Table) Commit(req *inner.CommitRequest, now time.Time) (v Verdict, fresh bool) {
	t.mu.Lock()
	v, fresh = t.doCommit(req, now)
	t.mu.Unlock()
	t.cfg.Notify()
	return v, fresh
}

func (t *Table) doCommit(req *inner.CommitRequest, now time.Time) (Verdict, bool) {
	key := Key{Job: req.GetJob(), Attempt: req.GetAttempt(), Member: req.GetMember()}
	t.expire(now)
	if v := t.current(req.GetRegion(), req.GetTerm()); !v.OK {
		return v, false
	}
	if _, ok := t.tasks[key]; ok {
		return granted, false
	}
	if v := t.open(key); !v.OK {
		return v, false
	}
	h, ok := t.holds[key]
	if !ok {
		return refuse(inner.Refusal_REFUSAL_STALE, "the member has no live reservation"), false
	}
	if v := t.matches(req, h); !v.OK {
		return v, false
	}
	delete(t.holds, key)
	t.tasks[key] = &task{
		key:          key,
		commit:       req,
		accelerators: h.accelerators,
		whole:        now,
		wake:         make(chan struct{}, 1),
		beat:         make(chan struct{}, 1),
		done:         make(chan struct{}),
	}
	if key.Member == 0 {
		t.leaders[key.gang()] = newLeader(req.GetGang(), now)
	}
	return granted, true
}

// matches refuses a commit whose gang list does not number its members from
// zero, or whose entry for this member is not what was reserved here.
func (t *Table) matches(req *inner.CommitRequest, h *hold) Verdict {
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
		if !slices.Equal(m.GetAccelerators(), h.accelerators) {
			return refuse(refusal, "member %d has other accelerators reserved", n)
		}
	}
	if n := int(req.GetMember()); n < 0 || n >= len(gang) {
		return refuse(refusal, "the gang has no member %d", n)
	}
	return granted
}
