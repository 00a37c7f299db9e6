package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// Query describes the request for Pick.
type Query struct {
	Kind string
	// Bytes is the length of the body.
	Bytes int
	// Exclude names the targets that already had an attempt of the request.
	Exclude []string
}

// Router chooses targets for the requests of one entry.
type Router struct {
	cfg     Config
	rand    *rand.Rand
	targets map[string]*target
	// order holds the targets in the order in which they were added.
	order         []*target
	firstTargetAt time.Duration
	// evacuations holds the zones that operators evacuate.
	evacuations chestnutpond.Evacuations
	kinds       map[string]*kind
	// tiers has the entry's zone, its region, then other regions in the order of
	// their first targets.
	tiers  []*tier
	timers timers
	// ejectedCount is the number of ejected targets.
	ejectedCount int
	// farBudget is the number of bytes that may be exchanged with other regions.
	// It is negative after answers longer than expected.
	farBudget   float64
	farBudgetAt time.Duration
	// retryTokens is the number of retries that may be granted. grantedRetries
	// counts granted retries whose Begin is still to come.
	retryTokens    float64
	grantedRetries int
}

// tier is a group of targets at the same distance from the entry.
type tier struct {
	index  int
	region string
	far    bool
	// losses counts consecutive lost connections. backoffs counts consecutive
	// backoffs, of which the last ends at backoffUntil.
	losses, backoffs int
	backoffUntil     time.Duration
	open             int
}

// kind is a kind of request.
type kind struct {
	name      string
	endpoints []*endpoint
	// free holds, for each tier, the endpoints that can accept another request.
	free    [][]*endpoint
	results resultCounts
	// ejectedCount is the number of ejected endpoints.
	ejectedCount int
	// answerBytes is the moving average of the length of answers.
	answerBytes float64
}

// New returns a router without targets.
func New(cfg Config) *Router {
	cfg = cfg.withDefaults()
	return &Router{
		cfg:         cfg,
		rand:        rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)),
		targets:     map[string]*target{},
		kinds:       map[string]*kind{},
		tiers:       []*tier{{index: 0, region: cfg.Region}, {index: 1, region: cfg.Region}},
		farBudget:   float64(max(cfg.CrossRegionBytesPerSecond, 0)),
		retryTokens: cfg.RetryBurst,
	}
}

// CanServe reports whether a target can accept a request of the kind now.
func (r *Router) CanServe(now time.Duration, name string) bool {
	r.runTimers(now)
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

// Pick chooses a target for a request. It does not count the request; Begin does.
func (r *Router) Pick(now time.Duration, q Query) (string, bool) {
	r.runTimers(now)
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

// choose returns the least loaded of a few random targets in the list.
func (r *Router) choose(now time.Duration, free []*endpoint, exclude []string) *target {
	var best *target
	var bestLoad float64
	start := r.rand.IntN(len(free))
	for i, tried := 0, 0; i < len(free) && tried < r.cfg.Choices; i++ {
		// Neighbors in the list are unrelated, but a draw for each choice makes
		// the choices independent. With excluded targets the list is walked
		// instead, so that a single remaining candidate is found.
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
	return (float64(t.open) + t.othersBusyNow(now, r.cfg.OthersHalfLife)) / float64(t.Slots)
}

// reachable reports whether the tier may get a request with a body of the given
// length. The expected length of the answer counts too.
func (r *Router) reachable(now time.Duration, t *tier, k *kind, bytes int) bool {
	if !t.far {
		return true
	}
	if now < t.backoffUntil || t.backoffs > 0 && t.open > 0 {
		return false
	}
	r.refillFarBudget(now)
	need := min(float64(bytes)+k.answerBytes, float64(r.cfg.CrossRegionBytesPerSecond))
	return r.farBudget > 0 && r.farBudget >= need
}

// refillFarBudget adds to the byte budget, which holds at most one second's worth.
func (r *Router) refillFarBudget(now time.Duration) {
	rate := float64(max(r.cfg.CrossRegionBytesPerSecond, 0))
	if now > r.farBudgetAt {
		r.farBudget = min(r.farBudget+rate*(now-r.farBudgetAt).Seconds(), rate)
		r.farBudgetAt = now
	}
}

// tierOf returns the tier of a zone, adding one for a new region.
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
		k = &kind{name: name, free: make([][]*endpoint, len(r.tiers))}
		r.kinds[name] = k
	}
	return k
}

func (k *kind) addFree(e *endpoint, tier int) {
	e.freeIndex = len(k.free[tier])
	k.free[tier] = append(k.free[tier], e)
}

func (k *kind) removeFree(e *endpoint, tier int) {
	free := k.free[tier]
	last := len(free) - 1
	free[e.freeIndex] = free[last]
	free[e.freeIndex].freeIndex = e.freeIndex
	free[last] = nil
	k.free[tier] = free[:last]
	e.freeIndex = -1
}
