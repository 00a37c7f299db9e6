package load

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// figures collects what one run shows. Times are in seconds.
type figures struct {
	// completion and slow hold the requests of the ordinary day; those without an
	// answer count with their timeout.
	completion []float64
	urgent     []float64
	slow       []float64
	byGroup    [2][]float64
	slowGroup  [2]mean
	slowAcc    []mean
	callers    map[string]*mean
	answeredN  int
	// work is the slot time of the answered requests of the ordinary day.
	work float64
	// workRest leaves the small callers' requests of the most urgent kind out.
	workRest float64
	// refusal holds the microseconds from arrival to refusal.
	refusal *hdrhistogram.Histogram
	busy    float64
	// sends counts the attempts that reached an upstream, refusals those that
	// found no slot.
	sends, refusals  int
	starts, badStart int
}

type mean struct {
	sum float64
	n   int
}

func (m *mean) add(v float64) { m.sum, m.n = m.sum+v, m.n+1 }

func (m *mean) value() float64 { return m.sum / float64(max(m.n, 1)) }

func newFigures(dep *deployment) *figures {
	return &figures{
		slowAcc: make([]mean, len(dep.weights)), callers: map[string]*mean{},
		refusal: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
}

// other reports whether the request is one of the ordinary day, after the warm-up.
func (w *world) other(q *request) bool {
	flooded := w.row.known && q.group == small && q.kind == &w.dep.kinds[0]
	return q.group != extra && !flooded && q.arrived >= w.begin
}

func (f *figures) add(w *world, q *request, took time.Duration) {
	if !w.other(q) {
		return
	}
	s, least := took.Seconds(), (q.service + 2*zoneLatency + 2*clientLatency).Seconds()
	f.completion = append(f.completion, s)
	f.byGroup[q.group] = append(f.byGroup[q.group], s)
	if q.kind.Class.Rank() == 0 {
		f.urgent = append(f.urgent, s)
	}
	slow := max(s/least, 1)
	f.slow = append(f.slow, slow)
	f.slowGroup[q.group].add(slow)
	f.slowAcc[q.account].add(slow)
	key := accountName(q.account) + "/" + q.caller
	if f.callers[key] == nil {
		f.callers[key] = &mean{}
	}
	f.callers[key].add(slow)
}

func (f *figures) answered(w *world, q *request) {
	f.add(w, q, w.now-q.arrived+2*clientLatency)
	if !w.other(q) {
		return
	}
	f.answeredN++
	f.work += q.service.Seconds()
	if q.group != small || q.kind != &w.dep.kinds[0] {
		f.workRest += q.service.Seconds()
	}
}

func (f *figures) unanswered(w *world, q *request) {
	f.add(w, q, q.kind.Timeout)
}

// refused counts a request that is told that it did not run.
func (f *figures) refused(w *world, q *request) {
	if q.arrived < w.begin {
		return
	}
	_ = f.refusal.RecordValue(int64((w.now - q.arrived + 2*clientLatency) / time.Microsecond))
	f.unanswered(w, q)
}

// started counts the starts from one minute after upstreams went bad.
func (f *figures) started(w *world, u *upstream) {
	if !w.row.bad || w.now < w.badSince+time.Minute {
		return
	}
	f.starts++
	if u.bad {
		f.badStart++
	}
}

// result is the figures of one run in the order of columns.
type result [columnCount]float64

// The columns of the table.
const (
	colMean = iota
	colP50
	colP99
	colUrgent
	colSlow
	colSlowSmall
	colSlowLarge
	colSlowAccount
	colP99Small
	colRatio
	colJain
	colAnswered
	colWork
	colWorkRest
	colKept
	colRefuse99
	colRefuseMax
	colRefusedSends
	colBad
	colFar
	colUse
	columnCount
)

// columns holds the heading of each column, its number of decimals and whether
// more is worse.
var columns = [columnCount]struct {
	name     string
	decimals int
	lowBad   bool
}{
	{"mean s", 2, false},
	{"p50 s", 2, false},
	{"p99 s", 2, false},
	{"urgent p99 s", 2, false},
	{"slowdown", 2, false},
	{"small", 2, false},
	{"large", 2, false},
	{"worst account", 2, false},
	{"p99 small s", 2, false},
	{"p99 small/large", 2, false},
	{"Jain", 3, true},
	{"answered %", 1, true},
	{"work s", 0, true},
	{"rest s", 0, true},
	{"kept %", 1, true},
	{"refuse p99 ms", 0, false},
	{"refuse max ms", 0, false},
	{"refused sends %", 1, false},
	{"bad starts %", 2, false},
	{"far MB", 1, false},
	{"in use %", 1, true},
}

func percentile(v []float64, p float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(int(p*float64(len(v))), len(v)-1)]
}

func average(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(max(len(v), 1))
}

// jain is Jain's index over the callers' mean slowdown: 1 if all fare alike.
func (f *figures) jain() float64 {
	var v []float64
	for _, m := range f.callers {
		v = append(v, m.value())
	}
	slices.Sort(v)
	sum, squares := 0.0, 0.0
	for _, x := range v {
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(v)) * squares)
}

func percent(part, whole float64) float64 { return 100 * part / max(whole, 1e-9) }

func (f *figures) result(w *world) result {
	var r result
	r[colMean] = average(f.completion)
	r[colP50] = percentile(f.completion, 0.5)
	r[colP99] = percentile(f.completion, 0.99)
	r[colUrgent] = percentile(f.urgent, 0.99)
	r[colSlow] = average(f.slow)
	r[colSlowSmall] = f.slowGroup[small].value()
	r[colSlowLarge] = f.slowGroup[large].value()
	for i := range f.slowAcc {
		r[colSlowAccount] = max(r[colSlowAccount], f.slowAcc[i].value())
	}
	r[colP99Small] = percentile(f.byGroup[small], 0.99)
	r[colRatio] = r[colP99Small] / max(percentile(f.byGroup[large], 0.99), 1e-9)
	r[colJain] = f.jain()
	r[colAnswered] = percent(float64(f.answeredN), float64(len(f.completion)))
	r[colWork] = f.work
	r[colWorkRest] = f.workRest
	r[colRefuse99] = float64(f.refusal.ValueAtQuantile(99)) / 1000
	r[colRefuseMax] = float64(f.refusal.Max()) / 1000
	r[colRefusedSends] = percent(float64(f.refusals), float64(f.sends))
	r[colBad] = percent(float64(f.badStart), float64(f.starts))
	r[colFar] = (w.ways[0].bytes + w.ways[1].bytes) / 1e6
	r[colUse] = percent(f.busy, float64(len(w.upstreams)*slots)*(w.end-w.begin).Seconds())
	return r
}
