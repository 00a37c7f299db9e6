package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Query asks for a target.
type Query struct {
	Kind string
	// Bytes is the length of the body.
	Bytes int
	// Exclude names targets that the request was already sent to.
	Exclude []string
}

// Router holds the targets that one entry knows.
type Router struct {
	cfg     Config
	rand    *rand.Rand
	targets map[string]*target
	// order holds the targets in the order of their arrival.
	order   []*target
	firstAt time.Duration
	kinds   map[string]*kind
	// tiers are the own zone, the own region, then other regions in the order of
	// their first target.
	tiers []*tier
	wakes wakes
	// out counts the ejected targets.
	out int
	// far is the number of bytes that may go to other regions; it is negative
	// after answers that were longer than expected.
	far   float64
	farAt time.Duration
	// retries is the number of retries that may be granted; granted counts those
	// that were not begun yet.
	retries float64
	granted int
}

// tier is a distance from the entry.
type tier struct {
	index  int
	region string
	far    bool
	// lost counts the connections lost in a row, closed the times in a row that
	// the region was left alone, until the end of the present one.
	lost, closed int
	until        time.Duration
	open         int
}

// kind is a kind of work.
type kind struct {
	name  string
	links []*link
	// free holds the links of the targets that take one more request, by tier.
	free  [][]*link
	score tally
	// out counts the links that are ejected.
	out int
	// bytes is the moving average of the length of answers.
	bytes float64
}

// New returns a router without targets.
func New(cfg Config) *Router {
	cfg = cfg.withDefaults()
	return &Router{
		cfg:     cfg,
		rand:    rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)),
		targets: map[string]*target{},
		kinds:   map[string]*kind{},
		tiers:   []*tier{{index: 0, region: cfg.Region}, {index: 1, region: cfg.Region}},
		far:     float64(max(cfg.FarBytesPerSecond, 0)),
		retries: cfg.RetryBurst,
	}
}

// CanServe reports whether some target takes one more request of the kind now.
func (r *Router) CanServe(now time.Duration, name string) bool {
	r.advance(now)
	k, ok := r.kinds[name]
	if !ok {
		return false
	}
	for i, free := range k.free {
		if len(free) > 0 && r.reachable(now, r.tiers[i], k, 0) {
			return true
		}
	}
	return false
}

// Pick chooses a target for a request. It changes nothing; Begin counts the
// request in.
func (r *Router) Pick(now time.Duration, q Query) (string, bool) {
	r.advance(now)
	k, ok := r.kinds[q.Kind]
	if !ok {
		return "", false
	}
	for i, free := range k.free {
		if len(free) == 0 || !r.reachable(now, r.tiers[i], k, q.Bytes) {
			continue
		}
		if t := r.choose(now, free, q.Exclude); t != nil {
			return t.Name, true
		}
	}
	return "", false
}

// choose returns the least loaded of a few random targets of the list.
func (r *Router) choose(now time.Duration, free []*link, exclude []string) *target {
	var best *target
	var bestLoad float64
	start := r.rand.IntN(len(free))
	for i, tried := 0, 0; i < len(free) && tried < r.cfg.Choices; i++ {
		// Neighbours in the list stand in no relation to each other, but one
		// draw for each choice keeps the choices independent. After an excluded
		// target the list is walked, so that the last one is found.
		t := free[(start+i)%len(free)].target
		if len(exclude) > 0 && slices.Contains(exclude, t.Name) {
			continue
		}
		tried++
		load := r.load(now, t)
		if best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
		if len(exclude) == 0 && len(free) > 2 {
			start = r.rand.IntN(len(free))
		}
	}
	return best
}

func (r *Router) load(now time.Duration, t *target) float64 {
	return (float64(t.own) + t.othersNow(now, r.cfg.OthersHalfLife)) / float64(t.Slots)
}

// reachable reports whether the tier takes a request with a body of that length.
func (r *Router) reachable(now time.Duration, t *tier, k *kind, bytes int) bool {
	if !t.far {
		return true
	}
	if now < t.until || t.closed > 0 && t.open > 0 {
		return false
	}
	r.refill(now)
	need := min(float64(bytes)+k.bytes, float64(r.cfg.FarBytesPerSecond))
	return r.far > 0 && r.far >= need
}

// refill adds to the byte budget; at most one second's worth is saved up.
func (r *Router) refill(now time.Duration) {
	rate := float64(max(r.cfg.FarBytesPerSecond, 0))
	if now > r.farAt {
		r.far = min(r.far+rate*(now-r.farAt).Seconds(), rate)
		r.farAt = now
	}
}

// tierOf returns the distance of a place.
func (r *Router) tierOf(region, zone string) *tier {
	if region == r.cfg.Region {
		if zone == r.cfg.Zone {
			return r.tiers[0]
		}
		return r.tiers[1]
	}
	for _, t := range r.tiers[2:] {
		if t.region == region {
			return t
		}
	}
	t := &tier{index: len(r.tiers), region: region, far: true}
	r.tiers = append(r.tiers, t)
	for _, k := range r.kinds {
		k.free = append(k.free, nil)
	}
	return t
}

func (r *Router) kind(name string) *kind {
	k, ok := r.kinds[name]
	if !ok {
		k = &kind{name: name, free: make([][]*link, len(r.tiers))}
		r.kinds[name] = k
	}
	return k
}

func (k *kind) add(l *link, tier int) {
	l.at = len(k.free[tier])
	k.free[tier] = append(k.free[tier], l)
}

func (k *kind) remove(l *link, tier int) {
	free := k.free[tier]
	last := len(free) - 1
	free[l.at] = free[last]
	free[l.at].at = l.at
	free[last] = nil
	k.free[tier] = free[:last]
	l.at = -1
}
