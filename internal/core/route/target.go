package route

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// Target is an upstream as announced by its agent.
type Target struct {
	// Name is unique among the targets.
	Name string
	// Incarnation grows with each start of the agent. A target with a lower one
	// than the present is ignored.
	Incarnation  int64
	Region, Zone string
	// Slots bounds the requests that run at once. Connections bounds the open
	// requests of this entry; zero means no bound.
	Slots, Connections int
	// Busy is the number of slots in use at the time of the report.
	Busy  int
	Kinds []string
	// Up is false while the upstream accepts no requests. Draining is true once
	// its agent has started to drain.
	Up, Draining bool
}

// directReportValidity is how long a report that came with an answer counts as
// newer than reports relayed by other processes.
const directReportValidity = 2 * time.Second

// health is the ejection status of a target or endpoint.
type health int

const (
	// healthy targets accept requests up to their slots.
	healthy health = iota
	// ejected targets accept no requests until the ejection ends.
	ejected
	// probing targets accept one request at a time until one is answered.
	probing
)

// ejectionState is the ejection state of a target or an endpoint.
type ejectionState struct {
	health health
	// ejections counts recent ejections, of which the last ends at ejectedUntil.
	ejections    int
	ejectedUntil time.Duration
	healthySince time.Duration
}

// target is the router's state of a Target.
type target struct {
	Target
	tier *tier
	// removed is set if the target was removed while requests were open on it.
	removed bool
	// evacuated means that operators evacuate the target's zone.
	evacuated bool
	// open is the number of requests that this entry has open on the target.
	open int
	// othersBusy is an estimate, as of othersBusyAt, of the slots in use by other
	// entries.
	othersBusy   float64
	othersBusyAt time.Duration
	// reportAt is the time of the last report that came with an answer; negative
	// if none did.
	reportAt    time.Duration
	slowStartAt time.Duration
	slowStart   bool
	// backoff is the current backoff after refusals and backoffUntil its end.
	backoff, backoffUntil time.Duration

	ejectionState

	endpoints []*endpoint
	// free is set while the target can accept another request.
	free       bool
	recheckAt  time.Duration
	timerIndex int
}

// endpoint is one kind of request on one target.
type endpoint struct {
	kind   *kind
	target *target
	ejectionState
	// open is the number of requests that this entry has open on the endpoint.
	open int
	// freeIndex is the position in the kind's free list, or -1.
	freeIndex int
	results   resultCounts
}

// resultCounts holds exponentially decayed counts of answers and failures.
type resultCounts struct {
	ok, fail float64
	at       time.Duration
}

func (t *resultCounts) decay(now, halfLife time.Duration) {
	if now <= t.at {
		return
	}
	f := math.Exp2(-float64(now-t.at) / float64(halfLife))
	t.ok *= f
	t.fail *= f
	t.at = now
}

func (t *target) othersBusyNow(now, halfLife time.Duration) float64 {
	if now <= t.othersBusyAt || t.othersBusy == 0 {
		return t.othersBusy
	}
	return t.othersBusy * math.Exp2(-float64(now-t.othersBusyAt)/float64(halfLife))
}

// PutTarget adds or updates a target. An older incarnation is ignored.
func (r *Router) PutTarget(now time.Duration, in Target) {
	in.Kinds = slices.Clone(in.Kinds)
	t, ok := r.targets[in.Name]
	if ok && !t.removed && in.Incarnation < t.Incarnation {
		return
	}
	if !ok {
		t = &target{timerIndex: -1, reportAt: -1}
		if len(r.order) == 0 {
			r.firstTargetAt = now
		}
		r.targets[in.Name] = t
		r.order = append(r.order, t)
	}
	if !ok || t.removed || in.Incarnation > t.Incarnation {
		t.slowStartAt = now
		// During the first SlowStart all targets are new, so none starts slowly.
		t.slowStart = now-r.firstTargetAt >= r.cfg.SlowStart
		t.backoff, t.backoffUntil, t.reportAt = 0, 0, -1
	}
	r.clearFree(t)
	t.removed = false
	before := t.endpoints
	if !slices.Equal(t.Kinds, in.Kinds) {
		r.setKinds(t, in.Kinds)
	}
	t.Target = in
	t.evacuated = r.evacuations.Contains(in.Zone)
	r.setTier(t)
	// A recent report that came with an answer is newer than one relayed by other
	// processes.
	if t.reportAt < 0 || now-t.reportAt > directReportValidity {
		t.othersBusy, t.othersBusyAt = float64(max(in.Busy-t.open, 0)), now
	}
	r.updateFree(now, t)
	r.restoreLastTargets(now, before)
	r.restoreLastTargets(now, t.endpoints)
}

// setTier updates the target's tier and moves its open requests to it.
func (r *Router) setTier(t *target) {
	if t.tier != nil {
		t.tier.open -= t.open
	}
	t.tier = r.tierOf(t.Region, t.Zone)
	t.tier.open += t.open
}

// RemoveTarget removes a target. Requests open on it still end with End.
func (r *Router) RemoveTarget(now time.Duration, name string) {
	t, ok := r.targets[name]
	if !ok {
		return
	}
	r.clearFree(t)
	t.removed = true
	if t.health == ejected {
		t.health = probing
		r.ejectedCount--
	}
	for _, e := range t.endpoints {
		e.endEjection(probing)
	}
	r.restoreLastTargets(now, t.endpoints)
	r.deleteIfUnused(t)
}

// deleteIfUnused deletes a removed target without open requests.
func (r *Router) deleteIfUnused(t *target) {
	if !t.removed || t.open > 0 {
		return
	}
	if t.timerIndex >= 0 {
		heap.Remove(&r.timers, t.timerIndex)
	}
	r.setKinds(t, nil)
	delete(r.targets, t.Name)
	r.order = slices.DeleteFunc(r.order, func(o *target) bool { return o == t })
}

// setKinds replaces the endpoints of a target. The target must not be in a free
// list.
func (r *Router) setKinds(t *target, kinds []string) {
	old := t.endpoints
	t.endpoints = nil
	for _, name := range kinds {
		if slices.ContainsFunc(t.endpoints, func(e *endpoint) bool { return e.kind.name == name }) {
			continue
		}
		i := slices.IndexFunc(old, func(e *endpoint) bool { return e.kind.name == name })
		if i >= 0 {
			t.endpoints = append(t.endpoints, old[i])
			continue
		}
		k := r.kind(name)
		k.endpoints = append(k.endpoints, &endpoint{kind: k, target: t, freeIndex: -1})
		t.endpoints = append(t.endpoints, k.endpoints[len(k.endpoints)-1])
	}
	for _, e := range old {
		if slices.Contains(t.endpoints, e) {
			continue
		}
		e.endEjection(healthy)
		e.kind.endpoints = slices.DeleteFunc(e.kind.endpoints, func(o *endpoint) bool { return o == e })
		if len(e.kind.endpoints) == 0 {
			delete(r.kinds, e.kind.name)
		}
	}
}

// canAccept reports whether the target can accept another request. If it can't,
// the returned time is when this may change without a further event, or zero.
func (r *Router) canAccept(now time.Duration, t *target) (bool, time.Duration) {
	if !t.usable() || t.open >= t.Slots {
		return false, 0
	}
	if t.Connections > 0 && t.open >= t.Connections {
		return false, 0
	}
	if t.health == ejected {
		return false, t.ejectedUntil
	}
	if t.health == probing && t.open > 0 {
		return false, 0
	}
	if now < t.backoffUntil {
		return false, t.backoffUntil
	}
	if t.slowStart {
		// The allowed slots grow linearly; the first one is available at once.
		due := t.slowStartAt + r.cfg.SlowStart*time.Duration(t.open)/time.Duration(t.Slots)
		if now < due {
			return false, due
		}
	}
	left := float64(t.Slots-t.open) - 0.5
	others := t.othersBusyNow(now, r.cfg.OthersHalfLife)
	if others >= left {
		// The margin prevents a timer that fires too early because of rounding.
		wait := time.Duration(math.Log2(others/left)*float64(r.cfg.OthersHalfLife)) + time.Microsecond
		return false, now + max(wait, time.Millisecond)
	}
	return true, 0
}

// updateFree adds the target to the free lists of its kinds or removes it, and
// sets its timer.
func (r *Router) updateFree(now time.Duration, t *target) {
	if t.health == ejected && now >= t.ejectedUntil {
		t.health = probing
		r.ejectedCount--
	}
	ok, at := r.canAccept(now, t)
	t.free = ok
	for _, e := range t.endpoints {
		if e.health == ejected && now >= e.ejectedUntil {
			e.endEjection(probing)
		}
		if e.health == ejected && (at == 0 || e.ejectedUntil < at) {
			at = e.ejectedUntil
		}
		if free := ok && e.canAccept(); free != (e.freeIndex >= 0) {
			if free {
				e.kind.addFree(e, t.tier.index)
			} else {
				e.kind.removeFree(e, t.tier.index)
			}
		}
	}
	if t.timerIndex >= 0 && t.recheckAt != at {
		heap.Remove(&r.timers, t.timerIndex)
	}
	if at > 0 && t.timerIndex < 0 {
		t.recheckAt = at
		heap.Push(&r.timers, t)
	}
}

// canAccept reports whether the endpoint's own state permits another request.
func (e *endpoint) canAccept() bool {
	return e.health == healthy || e.health == probing && e.open == 0
}

// clearFree removes the target from all free lists.
func (r *Router) clearFree(t *target) {
	t.free = false
	for _, e := range t.endpoints {
		if e.freeIndex >= 0 {
			e.kind.removeFree(e, t.tier.index)
		}
	}
}

// runTimers updates the targets whose timers have expired.
func (r *Router) runTimers(now time.Duration) {
	for len(r.timers) > 0 && r.timers[0].recheckAt <= now {
		t := r.timers[0]
		heap.Pop(&r.timers)
		r.updateFree(now, t)
	}
}

// timers is a heap of targets by the time at which they may accept requests again.
type timers []*target

func (h timers) Len() int { return len(h) }

func (h timers) Less(i, j int) bool {
	if h[i].recheckAt != h[j].recheckAt {
		return h[i].recheckAt < h[j].recheckAt
	}
	return h[i].Name < h[j].Name
}

func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timerIndex, h[j].timerIndex = i, j
}

// Push implements heap.Interface.
func (h *timers) Push(x any) {
	t := x.(*target)
	t.timerIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timers) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.timerIndex = -1
	return t
}
