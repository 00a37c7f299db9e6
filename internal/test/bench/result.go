package bench

import (
	"sort"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// Result holds the figures of one run. Times are in seconds; a figure that the
// row does not have is -1.
type Result struct {
	// Mean, P50 and P99 are completion times of the jobs that completed, from
	// submission; Slowdown is the mean of them relative to an empty fleet.
	Mean, P50, P99, Slowdown float64
	// Fragmentation is the share of free accelerators that cannot serve the
	// largest guaranteed shape, while jobs arrive.
	Fragmentation float64
	// Utilisation is the share of accelerators that are held, while jobs arrive.
	Utilisation float64
	// KeptWork is the accelerator time of the ordinary jobs that ended within
	// the window of the flood.
	KeptWork float64
	// SmallP99 is the p99 of the small callers; SmallOverLarge divides it by
	// that of the others.
	SmallP99, SmallOverLarge float64
	// Jain is Jain's index over the callers' mean of one over slowdown.
	Jain float64
	// Reclaim is the longest time from a claim of a guaranteed shape to its
	// start.
	Reclaim float64
	// GangWait is the longest wait of a large gang.
	GangWait float64
	// UrgentWait is the p99 of the time from submission to the first start of the
	// urgent jobs that are not part of a flood.
	UrgentWait float64
	// Lost is the accelerator time lost to preemption and failures, in percent
	// of the useful time.
	Lost float64
	// BadStarts is the percentage of starts on bad workers after the first minute.
	BadStarts float64
	// Preempted counts preemptions, Unfinished the jobs that never ended,
	// WrongEnds those that ended as impossible and were not, or the reverse.
	Preempted, Unfinished, WrongEnds float64
}

// minSlowdownTime bounds the slowdown of very short jobs: run times below it
// count as this long.
const minSlowdownTime = 10 * time.Second

func (r *run) result() *Result {
	t := &r.tally
	out := &Result{
		Fragmentation: ratio(float64(t.freeLost), float64(t.freeTotal)),
		Utilisation:   ratio(float64(t.busyTotal), float64(t.samples*len(r.workers)*workerSize)),
		KeptWork:      -1, SmallP99: -1, SmallOverLarge: -1, Reclaim: -1, GangWait: -1, UrgentWait: -1,
		BadStarts: -1, Preempted: float64(t.preempted),
	}
	if len(r.load.Bad) > 0 {
		out.BadStarts = 100 * ratio(float64(t.badStarts), float64(t.lateStarts))
	}
	var all, small, large, urgent []float64
	var useful float64
	slow := 0.0
	for _, j := range r.jobs {
		out.count(j)
		if j.Spec.Class == chestnutpond.ClassUrgent && !j.Extra && !j.cancelled {
			urgent = append(urgent, j.firstWait())
		}
		if !j.finished {
			continue
		}
		took := (j.ended - j.Arrive).Seconds()
		slow += j.slowdown()
		all = append(all, took)
		useful += j.Work.Seconds() * float64(j.Spec.Shape.Accelerators)
		if j.Small {
			small = append(small, took)
		} else {
			large = append(large, took)
		}
		if r.load.To > 0 && !j.Extra && j.ended > r.load.From && j.ended <= r.load.To {
			out.KeptWork = max(0, out.KeptWork) + j.Work.Seconds()*float64(j.Spec.Shape.Accelerators)
		}
	}
	sort.Float64s(all)
	out.Mean, out.P50, out.P99 = mean(all), quantile(all, 0.5), quantile(all, 0.99)
	out.Slowdown = slow / float64(max(1, len(all)))
	out.Lost = 100 * ratio(t.lost.Seconds(), useful)
	if len(small) > 0 {
		sort.Float64s(small)
		sort.Float64s(large)
		out.SmallP99 = quantile(small, 0.99)
		out.SmallOverLarge = ratio(out.SmallP99, quantile(large, 0.99))
	}
	if len(urgent) > 0 {
		sort.Float64s(urgent)
		out.UrgentWait = quantile(urgent, 0.99)
	}
	out.Jain = r.jain()
	return out
}

// count adds the figures that include jobs that did not complete.
func (out *Result) count(j *runJob) {
	if j.ended < 0 {
		out.Unfinished++
	}
	if j.impossible != j.Impossible && !j.cancelled {
		out.WrongEnds++
	}
	wait := j.firstWait()
	if j.Claim {
		out.Reclaim = max(out.Reclaim, wait)
	}
	if j.Gang {
		out.GangWait = max(out.GangWait, wait)
	}
}

// firstWait is the time from submission to the first start, in seconds.
func (j *runJob) firstWait() float64 {
	if j.firstStart < 0 {
		return endOfTime.Seconds()
	}
	return (j.firstStart - j.Arrive).Seconds()
}

func (j *runJob) slowdown() float64 {
	return max(1, float64(j.ended-j.Arrive)/float64(max(j.Work, minSlowdownTime)))
}

// jain is (sum x)^2 / (n sum x^2) over the callers, where x is the caller's mean
// of one over slowdown.
func (r *run) jain() float64 {
	type key struct{ account, caller string }
	sum, n := map[key]float64{}, map[key]float64{}
	var order []key
	for _, j := range r.jobs {
		if !j.finished {
			continue
		}
		k := key{j.Spec.Account, j.Spec.Caller}
		if n[k] == 0 {
			order = append(order, k)
		}
		sum[k] += 1 / j.slowdown()
		n[k]++
	}
	total, squares := 0.0, 0.0
	for _, k := range order {
		x := sum[k] / n[k]
		total += x
		squares += x * x
	}
	return ratio(total*total, float64(len(order))*squares)
}

// sample counts the free accelerators while jobs arrive.
func (r *run) sample(d Deployment) {
	if r.now > day {
		return
	}
	total := len(r.workers) * workerSize
	free := 0
	for _, w := range r.workers {
		free += w.Accelerators - r.used[w.Name]
	}
	r.tally.samples++
	r.tally.busyTotal += total - free
	r.tally.freeTotal += free
	r.tally.freeLost += free - min(free, r.copies(d.Largest)*d.Largest.Accelerators)
}

// copies is how many of the shape fit the free accelerators at once. It is exact
// for shapes of one worker and for whole workers.
func (r *run) copies(shape chestnutpond.Shape) int {
	if shape.Adjacency == chestnutpond.AdjacencyWorker {
		n := 0
		for _, w := range r.workers {
			n += (w.Accelerators - r.used[w.Name]) / shape.Accelerators
		}
		return n
	}
	whole := map[string]int{}
	n := 0
	per := shape.Accelerators / workerSize
	for _, w := range r.workers {
		if r.used[w.Name] > 0 {
			continue
		}
		at := w.Zone
		if shape.Adjacency == chestnutpond.AdjacencyRack {
			at = w.Rack
		}
		whole[at]++
		if whole[at]%per == 0 {
			n++
		}
	}
	return n
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return ratio(sum, float64(len(v)))
}

// quantile returns the value at rank q of sorted values.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
