package route

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// Target is an upstream as its agent announced it.
type Target struct {
	// Name is unique among the targets.
	Name string
	// Incarnation grows with each start of the agent; a lower one than known is
	// ignored.
	Incarnation  int64
	Region, Zone string
	// Slots bounds the requests that run at once, Connections those that this
	// entry may have open; zero connections mean no bound.
	Slots, Connections int
	// Busy is the number of slots in use when the report was made.
	Busy  int
	Kinds []string
	// Up is false while the upstream takes no requests, Draining is true once
	// its agent decided to leave.
	Up, Draining bool
}

// reportFresh is how long a report that came with an answer counts as newer than
// any report that came by way of other processes.
const reportFresh = 2 * time.Second

// health is where a target stands with regard to ejection.
type health int

const (
	// healthy targets take requests up to their slots.
	healthy health = iota
	// ejected targets take none until their time is over.
	ejected
	// probing targets take one at a time until one is answered.
	probing
)

// standing is the health of a target or of one kind on it.
type standing struct {
	health health
	// ejections counts those in a row; until is the end of the present one.
	ejections int
	until     time.Duration
	goodSince time.Duration
}

// target is what the router knows of a Target.
type target struct {
	Target
	tier *tier
	// gone is set while the target is removed but requests are open on it.
	gone bool
	// own is the number of requests that this entry has open on the target.
	own int
	// others is the estimate, as of othersAt, of the slots in use by other
	// entries.
	others   float64
	othersAt time.Duration
	// reportAt is when an answer last brought a report; negative if none did.
	reportAt time.Duration
	since    time.Duration
	slow     bool
	// hold is the present hold time and holdUntil its end.
	hold, holdUntil time.Duration

	standing

	links []*link
	// free is set while the target takes one more request.
	free   bool
	wakeAt time.Duration
	wakeIx int
}

// link is one kind on one target.
type link struct {
	kind   *kind
	target *target
	standing
	// own is the number of requests that this entry has open.
	own int
	// at is the position in the kind's free list; -1 if not in it.
	at    int
	score tally
}

// tally counts answers and failures, fading with time.
type tally struct {
	ok, fail float64
	at       time.Duration
}

func (t *tally) fade(now, half time.Duration) {
	if now <= t.at {
		return
	}
	f := math.Exp2(-float64(now-t.at) / float64(half))
	t.ok *= f
	t.fail *= f
	t.at = now
}

func (t *target) othersNow(now, half time.Duration) float64 {
	if now <= t.othersAt || t.others == 0 {
		return t.others
	}
	return t.others * math.Exp2(-float64(now-t.othersAt)/float64(half))
}

// PutTarget adds a target or changes it. An older incarnation is ignored.
func (r *Router) PutTarget(now time.Duration, in Target) {
	in.Kinds = slices.Clone(in.Kinds)
	t, ok := r.targets[in.Name]
	if ok && !t.gone && in.Incarnation < t.Incarnation {
		return
	}
	if !ok {
		t = &target{wakeIx: -1, reportAt: -1}
		if len(r.order) == 0 {
			r.firstAt = now
		}
		r.targets[in.Name] = t
		r.order = append(r.order, t)
	}
	if !ok || t.gone || in.Incarnation > t.Incarnation {
		t.since = now
		// A fleet that is known for less than the slow start is all new.
		t.slow = now-r.firstAt >= r.cfg.SlowStart
		t.hold, t.holdUntil, t.reportAt = 0, 0, -1
	}
	r.leave(t)
	t.gone = false
	before := t.links
	if !slices.Equal(t.Kinds, in.Kinds) {
		r.relink(t, in.Kinds)
	}
	t.Target = in
	r.place(t)
	// A report that came with an answer is newer than one that went through
	// other processes.
	if t.reportAt < 0 || now-t.reportAt > reportFresh {
		t.others, t.othersAt = float64(max(in.Busy-t.own, 0)), now
	}
	r.refresh(now, t)
	r.restore(now, before)
	r.restore(now, t.links)
}

// place sets the tier of a target and takes its open requests along.
func (r *Router) place(t *target) {
	if t.tier != nil {
		t.tier.open -= t.own
	}
	t.tier = r.tierOf(t.Region, t.Zone)
	t.tier.open += t.own
}

// RemoveTarget drops a target. Requests that are open on it still end by End.
func (r *Router) RemoveTarget(now time.Duration, name string) {
	t, ok := r.targets[name]
	if !ok {
		return
	}
	r.leave(t)
	t.gone = true
	if t.health == ejected {
		t.health = probing
		r.out--
	}
	for _, l := range t.links {
		l.comeBack(probing)
	}
	r.restore(now, t.links)
	r.release(t)
}

// release forgets a target that is gone and has no open requests.
func (r *Router) release(t *target) {
	if !t.gone || t.own > 0 {
		return
	}
	if t.wakeIx >= 0 {
		heap.Remove(&r.wakes, t.wakeIx)
	}
	r.relink(t, nil)
	delete(r.targets, t.Name)
	r.order = slices.DeleteFunc(r.order, func(o *target) bool { return o == t })
}

// relink changes the kinds of a target that is in no free list.
func (r *Router) relink(t *target, kinds []string) {
	old := t.links
	t.links = nil
	for _, name := range kinds {
		if slices.ContainsFunc(t.links, func(l *link) bool { return l.kind.name == name }) {
			continue
		}
		i := slices.IndexFunc(old, func(l *link) bool { return l.kind.name == name })
		if i >= 0 {
			t.links = append(t.links, old[i])
			continue
		}
		k := r.kind(name)
		k.links = append(k.links, &link{kind: k, target: t, at: -1})
		t.links = append(t.links, k.links[len(k.links)-1])
	}
	for _, l := range old {
		if slices.Contains(t.links, l) {
			continue
		}
		l.comeBack(healthy)
		l.kind.links = slices.DeleteFunc(l.kind.links, func(o *link) bool { return o == l })
		if len(l.kind.links) == 0 {
			delete(r.kinds, l.kind.name)
		}
	}
}

// room returns whether the target takes one more request now and, if not, when
// time alone may change that; zero means never.
func (r *Router) room(now time.Duration, t *target) (bool, time.Duration) {
	if t.gone || !t.Up || t.Draining || t.own >= t.Slots {
		return false, 0
	}
	if t.Connections > 0 && t.own >= t.Connections {
		return false, 0
	}
	if t.health == ejected {
		return false, t.until
	}
	if t.health == probing && t.own > 0 {
		return false, 0
	}
	if now < t.holdUntil {
		return false, t.holdUntil
	}
	if t.slow {
		// The allowed slots grow evenly; the first one is there at once.
		due := t.since + r.cfg.SlowStart*time.Duration(t.own)/time.Duration(t.Slots)
		if now < due {
			return false, due
		}
	}
	left := float64(t.Slots-t.own) - 0.5
	others := t.othersNow(now, r.cfg.OthersHalfLife)
	if others >= left {
		// A little more than needed, so that rounding never wakes the target early.
		fade := time.Duration(math.Log2(others/left)*float64(r.cfg.OthersHalfLife)) + time.Microsecond
		return false, now + max(fade, time.Millisecond)
	}
	return true, 0
}

// refresh puts the target into the free lists of its kinds or takes it out.
func (r *Router) refresh(now time.Duration, t *target) {
	if t.health == ejected && now >= t.until {
		t.health = probing
		r.out--
	}
	ok, at := r.room(now, t)
	t.free = ok
	for _, l := range t.links {
		if l.health == ejected && now >= l.until {
			l.comeBack(probing)
		}
		if l.health == ejected && (at == 0 || l.until < at) {
			at = l.until
		}
		if free := ok && l.room(); free != (l.at >= 0) {
			if free {
				l.kind.add(l, t.tier.index)
			} else {
				l.kind.remove(l, t.tier.index)
			}
		}
	}
	if t.wakeIx >= 0 && t.wakeAt != at {
		heap.Remove(&r.wakes, t.wakeIx)
	}
	if at > 0 && t.wakeIx < 0 {
		t.wakeAt = at
		heap.Push(&r.wakes, t)
	}
}

// room reports whether the kind on the target may get one more request.
func (l *link) room() bool {
	return l.health == healthy || l.health == probing && l.own == 0
}

// leave takes the target out of all free lists.
func (r *Router) leave(t *target) {
	t.free = false
	for _, l := range t.links {
		if l.at >= 0 {
			l.kind.remove(l, t.tier.index)
		}
	}
}

// advance applies what time changed.
func (r *Router) advance(now time.Duration) {
	for len(r.wakes) > 0 && r.wakes[0].wakeAt <= now {
		t := r.wakes[0]
		heap.Pop(&r.wakes)
		r.refresh(now, t)
	}
}

// wakes orders targets by the time at which they may become free.
type wakes []*target

func (w wakes) Len() int { return len(w) }

func (w wakes) Less(i, j int) bool {
	if w[i].wakeAt != w[j].wakeAt {
		return w[i].wakeAt < w[j].wakeAt
	}
	return w[i].Name < w[j].Name
}

func (w wakes) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].wakeIx, w[j].wakeIx = i, j
}

// Push implements heap.Interface.
func (w *wakes) Push(x any) {
	t := x.(*target)
	t.wakeIx = len(*w)
	*w = append(*w, t)
}

// Pop implements heap.Interface.
func (w *wakes) Pop() any {
	last := len(*w) - 1
	t := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	t.wakeIx = -1
	return t
}
