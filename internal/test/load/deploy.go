package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// kind is a kind of request with its load.
type kind struct {
	chestnutpond.Kind
	// share is the part of the requests, mean the average service time.
	share  float64
	mean   time.Duration
	body   int
	answer int
}

// deployment is one of the two early users.
type deployment struct {
	name    string
	regions [2]string
	kinds   []kind
	// accounts have these weights and parts of the demand.
	weights []int
	demand  []float64
}

const (
	// smallCallers and largeCallers are the callers of each account.
	smallCallers = 40
	largeCallers = 3
	// largeFactor is the demand of a large caller in small ones.
	largeFactor = 10
	// spread is the standard deviation of the logarithm of service times.
	spread = 0.6
	slots  = 8
)

// entryShare is the part of the requests that reaches each entry; it follows the
// upstreams in its zone.
var entryShare = []float64{0.4, 0.3, 0.3}

func newKind(name string, class chestnutpond.Class, idempotent bool, share float64, mean, timeout time.Duration, body, answer int) kind {
	return kind{
		Kind: chestnutpond.Kind{
			Name: name, Work: chestnutpond.WorkRequest, Class: class, Idempotent: idempotent, Timeout: timeout,
		},
		share: share, mean: mean, body: body, answer: answer,
	}
}

// deployments are the two early users. The first kind is the most urgent and the
// last the least.
var deployments = []deployment{
	{
		name: "ferraro", regions: [2]string{"pampa", "cuyo"},
		kinds: []kind{
			newKind("price_list", chestnutpond.ClassUrgent, true, 0.40, 400*time.Millisecond, 5*time.Second, 2_000, 40_000),
			newKind("stock_match", chestnutpond.ClassStandard, true, 0.35, 800*time.Millisecond, 10*time.Second, 8_000, 10_000),
			newKind("order_check", chestnutpond.ClassStandard, false, 0.10, time.Second, 10*time.Second, 4_000, 2_000),
			newKind("forecast_part", chestnutpond.ClassBulk, true, 0.15, 4*time.Second, 25*time.Second, 30_000, 100_000),
		},
		weights: []int{4, 3, 1, 1}, demand: []float64{0.4, 0.3, 0.15, 0.15},
	},
	{
		name: "sabarmati", regions: [2]string{"amd", "srt"},
		kinds: []kind{
			newKind("deadline_check", chestnutpond.ClassUrgent, true, 0.30, 600*time.Millisecond, 5*time.Second, 10_000, 10_000),
			newKind("transliteration", chestnutpond.ClassStandard, true, 0.30, 900*time.Millisecond, 10*time.Second, 20_000, 20_000),
			newKind("paid_check", chestnutpond.ClassStandard, false, 0.10, 800*time.Millisecond, 10*time.Second, 10_000, 5_000),
			newKind("grammar_pass", chestnutpond.ClassBulk, true, 0.30, 3*time.Second, 25*time.Second, 40_000, 40_000),
		},
		weights: []int{5, 2, 2, 1}, demand: []float64{0.45, 0.25, 0.2, 0.1},
	},
}

// service returns the average slot time of a request.
func (d deployment) service() float64 {
	s := 0.0
	for _, k := range d.kinds {
		s += k.share * k.mean.Seconds()
	}
	return s
}

func (d deployment) document() chestnutpond.Document {
	doc := chestnutpond.Document{Service: d.name, Version: 1}
	for i, w := range d.weights {
		doc.Accounts = append(doc.Accounts, chestnutpond.Account{Name: accountName(i), Weight: w, QueueLimit: 200})
	}
	for _, k := range d.kinds {
		doc.Kinds = append(doc.Kinds, k.Kind)
	}
	return doc
}

func accountName(i int) string { return fmt.Sprintf("account-%d", i) }

// group says which figures a request belongs to.
type group int

const (
	small group = iota
	large
	// extra requests are the flood or those of greedy callers.
	extra
)

// request is one request of a caller.
type request struct {
	id       string
	account  int
	caller   string
	group    group
	kind     *kind
	service  time.Duration
	arrived  time.Duration
	deadline time.Duration
	entry    *entry
	attempt  int
	tried    []string
	// gone is set when the entry of the request was replaced.
	gone bool
}

// stream is a source of requests.
type stream struct {
	from, to time.Duration
	// peak is the greatest number of requests a second, level the part of it at
	// a time; nil means all.
	peak  float64
	level func(now time.Duration) float64
	// draw fills in account, caller, group and kind.
	draw func(r *rand.Rand, q *request)
	rand *rand.Rand
}

func pick(r *rand.Rand, shares []float64) int {
	v := r.Float64()
	for i, s := range shares {
		if v -= s; v < 0 {
			return i
		}
	}
	return len(shares) - 1
}

func (d *deployment) drawKind(r *rand.Rand) *kind {
	v := r.Float64()
	for i := range d.kinds {
		if v -= d.kinds[i].share; v < 0 {
			return &d.kinds[i]
		}
	}
	return &d.kinds[len(d.kinds)-1]
}

// ordinary draws from the callers of an ordinary day.
func (d *deployment) ordinary(r *rand.Rand, q *request) {
	q.account = pick(r, d.demand)
	q.kind = d.drawKind(r)
	n := r.IntN(smallCallers + largeFactor*largeCallers)
	if n < smallCallers {
		q.caller, q.group = smallNames[n], small
		return
	}
	q.caller, q.group = fmt.Sprintf("large-%d", (n-smallCallers)/largeFactor), large
}

// draw returns a service time with the average of the kind.
func (k *kind) draw(r *rand.Rand) time.Duration {
	return time.Duration(float64(k.mean) * math.Exp(spread*r.NormFloat64()-spread*spread/2))
}
