package load

import (
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/admit"
	"github.com/chestnutpond/chestnutpond/internal/core/route"
)

// policy is what one entry decides.
type policy interface {
	put(now time.Duration, t route.Target)
	offer(now time.Duration, it admit.Item) admit.OfferResult
	expired(now time.Duration) []admit.Item
	// next takes a request out and counts it in on a target.
	next(now time.Duration) (admit.Item, string, bool)
	// pick counts another attempt of a request in on a target.
	pick(now time.Duration, q route.Query) (string, bool)
	end(now time.Duration, target, kind string, res route.Result, took time.Duration, bytes, busy int)
	retry(now time.Duration, a route.Attempt) (time.Duration, bool)
	putBack(now time.Duration, id string)
	done(now time.Duration, id string, served time.Duration)
	len() int
	// learn takes over what a peer knows of callers.
	learn(now time.Duration, peer policy)
}

// policies are measured against each other; the last one is this project's.
var policies = []struct {
	name  string
	build func(e *entry, dep *deployment, seed uint64) policy
}{
	{"fcfs", func(_ *entry, dep *deployment, _ uint64) policy { return newBaseline(dep, false, false) }},
	{"priority", func(_ *entry, dep *deployment, _ uint64) policy { return newBaseline(dep, true, false) }},
	{"least-conn", func(_ *entry, dep *deployment, _ uint64) policy { return newBaseline(dep, false, true) }},
	{"core", newCore},
}

// usualLimit is how many habits a new entry learns from a peer; it is that of
// internal/node/serve.
const usualLimit = 1024

// core is the project's own policy.
type core struct {
	queue  *admit.Queue
	router *route.Router
}

func newCore(e *entry, dep *deployment, seed uint64) policy {
	c := &core{
		queue:  admit.New(admit.Config{}),
		router: route.New(route.Config{Region: e.region, Zone: e.zone, Seed: seed}),
	}
	c.queue.SetDocument(dep.document())
	return c
}

func (c *core) put(now time.Duration, t route.Target) { c.router.PutTarget(now, t) }

func (c *core) offer(now time.Duration, it admit.Item) admit.OfferResult {
	return c.queue.Offer(now, it)
}

func (c *core) expired(now time.Duration) []admit.Item { return c.queue.Expired(now) }

func (c *core) next(now time.Duration) (admit.Item, string, bool) {
	it, ok := c.queue.Next(now, func(kind string) bool { return c.router.CanServe(now, kind) })
	if !ok {
		return it, "", false
	}
	name, ok := c.pick(now, route.Query{Kind: it.Kind, Bytes: it.Bytes})
	if !ok {
		c.queue.Requeue(now, it.ID)
	}
	return it, name, ok
}

func (c *core) pick(now time.Duration, q route.Query) (string, bool) {
	name, ok := c.router.Pick(now, q)
	if ok {
		c.router.Begin(now, name, q.Kind, q.Bytes)
	}
	return name, ok
}

func (c *core) end(now time.Duration, target, kind string, res route.Result, took time.Duration, bytes, busy int) {
	c.router.End(now, target, kind, res, took, bytes, busy)
}

func (c *core) retry(now time.Duration, a route.Attempt) (time.Duration, bool) {
	return c.router.Retry(now, a)
}

func (c *core) putBack(now time.Duration, id string) { c.queue.Requeue(now, id) }

func (c *core) done(now time.Duration, id string, served time.Duration) {
	c.queue.Done(now, id, served)
}

func (c *core) len() int { return c.queue.Len() }

func (c *core) learn(now time.Duration, peer policy) {
	q := peer.(*core).queue
	c.queue.ImportBaselines(now, q.BaselineAge(now), q.BaselineRates(now, usualLimit))
}

// baseline is a queue in order of arrival, for each class if strict, before the
// first free target of the list or the one with the least connections. It is
// bounded by the sum of the accounts' queue limits.
type baseline struct {
	strict, least bool
	limit         int
	queues        [3][]admit.Item
	running       map[string]admit.Item
	targets       []*seen
}

// seen is a target as a baseline knows it.
type seen struct {
	route.Target
	own, others int
}

func newBaseline(dep *deployment, strict, least bool) policy {
	b := &baseline{strict: strict, least: least, running: map[string]admit.Item{}}
	for _, a := range dep.document().Accounts {
		b.limit += a.QueueLimit
	}
	return b
}

func (b *baseline) find(name string) *seen {
	for _, t := range b.targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

func (b *baseline) put(_ time.Duration, t route.Target) {
	s := b.find(t.Name)
	if s == nil {
		s = &seen{}
		b.targets = append(b.targets, s)
	}
	s.Target = t
	s.others = max(t.Busy-s.own, 0)
}

func (b *baseline) len() int { return len(b.queues[0]) + len(b.queues[1]) + len(b.queues[2]) }

func (b *baseline) queue(it admit.Item) *[]admit.Item {
	if !b.strict {
		return &b.queues[0]
	}
	return &b.queues[it.Class.Rank()]
}

func (b *baseline) offer(_ time.Duration, it admit.Item) admit.OfferResult {
	if b.len() >= b.limit {
		return admit.OfferResult{Reason: chestnutpond.ReasonQueueFull, RetryAfter: time.Second}
	}
	q := b.queue(it)
	*q = append(*q, it)
	return admit.OfferResult{Admitted: true}
}

func (b *baseline) expired(now time.Duration) []admit.Item {
	var out []admit.Item
	for i := range b.queues {
		late := func(it admit.Item) bool { return it.Deadline <= now }
		if !slices.ContainsFunc(b.queues[i], late) {
			continue
		}
		b.queues[i] = slices.DeleteFunc(b.queues[i], func(it admit.Item) bool {
			if late(it) {
				out = append(out, it)
			}
			return late(it)
		})
	}
	return out
}

func (b *baseline) next(now time.Duration) (admit.Item, string, bool) {
	for i := range b.queues {
		if len(b.queues[i]) == 0 {
			continue
		}
		it := b.queues[i][0]
		name, ok := b.pick(now, route.Query{Kind: it.Kind})
		if !ok {
			return it, "", false
		}
		b.queues[i] = b.queues[i][1:]
		b.running[it.ID] = it
		return it, name, true
	}
	return admit.Item{}, "", false
}

func (b *baseline) pick(_ time.Duration, q route.Query) (string, bool) {
	var best *seen
	for _, t := range b.targets {
		if slices.Contains(q.Exclude, t.Name) || t.own+t.others >= t.Slots {
			continue
		}
		if best == nil || b.least && t.own < best.own {
			best = t
		}
	}
	if best == nil {
		return "", false
	}
	best.own++
	return best.Name, true
}

func (b *baseline) end(_ time.Duration, target, _ string, _ route.Result, _ time.Duration, _, busy int) {
	t := b.find(target)
	t.own--
	if busy >= 0 {
		t.others = max(busy-t.own, 0)
	}
}

// retry sends again at once, without a budget.
func (b *baseline) retry(_ time.Duration, a route.Attempt) (time.Duration, bool) {
	return 0, (a.Idempotent || a.ProvenNotRun) && a.Number < 3
}

func (b *baseline) putBack(_ time.Duration, id string) {
	it := b.running[id]
	delete(b.running, id)
	q := b.queue(it)
	*q = slices.Insert(*q, 0, it)
}

func (b *baseline) done(_ time.Duration, id string, _ time.Duration) { delete(b.running, id) }

func (b *baseline) learn(time.Duration, policy) {}
