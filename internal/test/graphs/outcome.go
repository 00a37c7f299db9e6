package graphs

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/plan"
)

// lateFactor is the multiple of its objective after which a job is worth nothing.
const lateFactor = 3

// tenth divides a number of accounts or jobs into tenths.
const tenth = 10

// Outcomes is what the callers of a load get.
type Outcomes struct {
	// Worth is the share of the value of all jobs that callers get, with that of late jobs.
	Worth float64
	// Kinds has the jobs by kind.
	Kinds map[string]Served
	// WorstAccounts is the share of its jobs in time that the worst tenth of the accounts
	// gets.
	WorstAccounts float64
	// Large is the share served, in time or late, of the largest tenth of the jobs of a
	// kind, relative to that of the kind; the least of all kinds.
	Large float64
	// Stops has the number of runs that were told to stop by reason, and Discarded the
	// core-seconds of work that were lost with these and with failed runs; Preempted is the
	// part of them that was lost to make room for urgent work.
	Stops     map[string]int
	Discarded float64
	Preempted float64
	// Gained is the core-seconds of urgent work that was done in time in jobs that
	// preempted other work.
	Gained float64
}

// Served is how many jobs were done in time, late, or when they were worth nothing any
// more.
type Served struct {
	InTime, Late, Expired int
}

// verdict is how a job ended for its caller.
type verdict int

const (
	expired verdict = iota
	late
	inTime
)

func newOutcomes() Outcomes {
	return Outcomes{Kinds: map[string]Served{}, Stops: map[string]int{}}
}

// add adds a job that ended.
func (o *Outcomes) add(j *job, n plan.Note) {
	k := o.Kinds[j.kind]
	switch {
	case n.State == chestnutpond.JobCompleted && n.Took <= j.objective:
		k.InTime++
		j.ended = inTime
		o.Worth += j.value
		if j.preempted && j.graph.Queue.Priority == 0 {
			step := &j.graph.Steps[0]
			o.Gained += float64(step.Count) * j.work.Seconds() * float64(step.Need.CPU) / 1000
		}
	case n.State == chestnutpond.JobCompleted && n.Took <= lateFactor*j.objective:
		k.Late++
		j.ended = late
		o.Worth += j.lateValue
	default:
		k.Expired++
	}
	o.Kinds[j.kind] = k
}

// finish computes the shares.
func (o *Outcomes) finish(jobs []job, value float64) {
	o.Worth /= value
	o.WorstAccounts, o.Large = worstAccounts(jobs), 1
	byKind := map[string][]*job{}
	for i := range jobs {
		byKind[jobs[i].kind] = append(byKind[jobs[i].kind], &jobs[i])
	}
	for _, name := range slices.Sorted(maps.Keys(byKind)) {
		all := byKind[name]
		slices.SortStableFunc(all, func(a, b *job) int { return -cmp.Compare(a.volume(), b.volume()) })
		if every := served(all); every > 0 {
			o.Large = min(o.Large, served(all[:(len(all)+tenth-1)/tenth])/every)
		}
	}
}

// served returns the share of the jobs that were done in time or late.
func served(jobs []*job) float64 {
	n := 0
	for _, j := range jobs {
		if j.ended != expired {
			n++
		}
	}
	return float64(n) / float64(len(jobs))
}

// worstAccounts returns the share of jobs in time of the worst tenth of the accounts.
func worstAccounts(jobs []job) float64 {
	count, good := map[string]int{}, map[string]int{}
	for i := range jobs {
		name := jobs[i].graph.Account
		count[name]++
		if jobs[i].ended == inTime {
			good[name]++
		}
	}
	var shares []float64
	for _, name := range slices.Sorted(maps.Keys(count)) {
		shares = append(shares, float64(good[name])/float64(count[name]))
	}
	slices.Sort(shares)
	sum, n := 0.0, (len(shares)+tenth-1)/tenth
	for _, s := range shares[:n] {
		sum += s
	}
	return sum / float64(n)
}

// plus adds those of another seed, so that their means can be taken.
func (o Outcomes) plus(b Outcomes) Outcomes {
	kinds := maps.Clone(b.Kinds)
	for name, k := range o.Kinds {
		kinds[name] = Served{k.InTime + kinds[name].InTime, k.Late + kinds[name].Late, k.Expired + kinds[name].Expired}
	}
	stops := maps.Clone(b.Stops)
	for reason, count := range o.Stops {
		stops[reason] += count
	}
	return Outcomes{
		Worth: o.Worth + b.Worth, Kinds: kinds, WorstAccounts: o.WorstAccounts + b.WorstAccounts, Large: o.Large + b.Large,
		Stops: stops, Discarded: o.Discarded + b.Discarded, Preempted: o.Preempted + b.Preempted, Gained: o.Gained + b.Gained,
	}
}

// row returns a row of the table, of the sum over n seeds.
func (o Outcomes) row(n float64) string {
	text := fmt.Sprintf("worth %.3f, in time/late/expired", o.Worth/n)
	for _, name := range slices.Backward(slices.Sorted(maps.Keys(o.Kinds))) {
		k := o.Kinds[name]
		text += fmt.Sprintf(" %s %d/%d/%d,", name, k.InTime, k.Late, k.Expired)
	}
	return text + fmt.Sprintf(" worst accounts %.2f, large %.2f, %.0f core-seconds discarded, %.0f for urgent work, %.2f for each gained, stops %v",
		o.WorstAccounts/n, o.Large/n, o.Discarded, o.Preempted, o.Preempted/max(1, o.Gained), o.Stops)
}

// countPrediction compares a run with its prediction.
func (r *Result) countPrediction(n plan.Note) {
	r.Predicted++
	if n.Took <= n.Prediction.P90 {
		r.UnderP90++
	}
	off := math.Log(float64(n.Took) / float64(n.Prediction.Median))
	r.SquaredError += off * off
}
