package fcast

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// LateFactor is the multiple of its objective after which a job has no value left for
	// its caller.
	LateFactor = 3
	// waveShare is the share of a service's capacity beyond which a step is expected to run
	// in waves; its objective allows for them.
	waveShare = 0.25
	// maxAccounts limits the accounts of a digest. Those that use most are kept; the urgent
	// work of the others counts as guaranteed.
	maxAccounts = 64
)

// Digest is the part of a forecast that the entries receive. It is immutable.
type Digest struct {
	// Computed is the leader's time of day when it computed the forecast.
	Computed time.Time
	// Queues have at least one class each.
	Queues []Queue
	// Accounts are those with unfinished urgent work.
	Accounts []AccountUse
}

// Queue is the forecast for a queue.
type Queue struct {
	Name string
	// Duration is the expected duration of a task by the queue's statistics; zero if not known.
	Duration time.Duration
	// Capacity is the total capacity of the usable workers of the queue's service.
	Capacity chestnutpond.Resources
	Classes  []Class
}

// Class is the forecast for the jobs of a queue that cover a shape: lower bounds of the
// delays until their tasks start, counted from when the forecast was computed.
type Class struct {
	Shape
	// First and Last are the delays until the first and the last task start, behind the
	// waiting work that can meet its objective.
	First, Last time.Duration
	// LateLast is the delay until the last task starts if all waiting work of the same
	// priority goes ahead. It applies to a job that misses its objective.
	LateLast time.Duration
}

// WithComputed returns a copy of d with the given time.
func (d Digest) WithComputed(at time.Time) Digest {
	d.Computed = at
	return d
}

// WithoutSmallestDelay returns a copy of d without the class that starts earliest.
func (d Digest) WithoutSmallestDelay() Digest {
	queue, class := -1, -1
	for i, q := range d.Queues {
		for j, c := range q.Classes {
			if queue < 0 || c.Last < d.Queues[queue].Classes[class].Last {
				queue, class = i, j
			}
		}
	}
	if queue < 0 {
		d.Accounts = d.Accounts[:len(d.Accounts)/2]
		return d
	}
	d.Queues = slices.Clone(d.Queues)
	q := &d.Queues[queue]
	q.Classes = slices.Delete(slices.Clone(q.Classes), class, class+1)
	if len(q.Classes) == 0 {
		d.Queues = slices.Delete(d.Queues, queue, queue+1)
	}
	return d
}

// limitAccounts returns the maxAccounts accounts that use most, in order of name.
func limitAccounts(all []AccountUse) []AccountUse {
	all = slices.Clone(all)
	if len(all) > maxAccounts {
		slices.SortFunc(all, func(a, b AccountUse) int {
			return cmp.Or(-cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.Account, b.Account))
		})
		all = all[:maxAccounts]
	}
	slices.SortFunc(all, func(a, b AccountUse) int { return cmp.Compare(a.Account, b.Account) })
	return all
}

// UrgentUse returns the number of accelerators that the account's unfinished urgent work
// needs.
func (d Digest) UrgentUse(account string) int64 {
	for _, a := range d.Accounts {
		if a.Account == account {
			return a.Accelerators
		}
	}
	return 0
}

// Delay returns the forecast for a job: the latest starts of all classes that it covers.
// Queue says which queue's; the second result is false if there is none.
func (d Digest) Delay(g *chestnutpond.Graph) (Queue, Class, bool) {
	shape := ShapeOf(&g.Steps[0])
	i := slices.IndexFunc(d.Queues, func(q Queue) bool { return q.Name == g.Queue.Name })
	if i < 0 {
		return Queue{}, Class{}, false
	}
	found, most := false, Class{Shape: shape}
	for _, c := range d.Queues[i].Classes {
		if shape.Covers(c.Shape) {
			found = true
			most.First, most.Last = max(most.First, c.First), max(most.Last, c.Last)
			most.LateLast = max(most.LateLast, c.LateLast)
		}
	}
	return d.Queues[i], most, found
}

// ShapeOf returns the shape of a step.
func ShapeOf(s *chestnutpond.Step) Shape {
	return Shape{Need: s.Reserved(), Width: s.Count, Gang: s.Gang, SameRack: s.Gang && s.SameRack && s.Count > 1}
}

// Judgement is what a digest says about a job.
type Judgement struct {
	// Hopeless means that the job would end later than LateFactor times its objective.
	Hopeless bool
	// Delay is the predicted delay until the job's last task starts, End that until the job
	// ends, and Limit the time within which it has value.
	Delay, End, Limit time.Duration
	// Excess is how much earlier the job would have to start not to be hopeless.
	Excess time.Duration
}

// Judge compares the forecast for a job with its objective. Credit is the time by which the
// job starts earlier than the digest says: the age of the digest, and what the caller has
// waited already. The durations are taken once from the caller's estimates and once from the
// queue's statistics; the job is hopeless only by both.
func (d Digest) Judge(g *chestnutpond.Graph, credit time.Duration) Judgement {
	q, c, ok := d.Delay(g)
	if !ok {
		return Judgement{}
	}
	byEstimate := judge(g, q, c, credit, func(s *chestnutpond.Step) time.Duration { return s.Estimate })
	if q.Duration == 0 {
		return byEstimate
	}
	byQueue := judge(g, q, c, credit, func(*chestnutpond.Step) time.Duration { return q.Duration })
	if byQueue.Excess < byEstimate.Excess {
		return byQueue
	}
	return byEstimate
}

func judge(g *chestnutpond.Graph, q Queue, c Class, credit time.Duration, duration func(s *chestnutpond.Step) time.Duration) Judgement {
	path := CriticalPath(g.Steps, duration)
	objective := g.Queue.TargetLatency + time.Duration(g.Queue.Stretch*float64(CriticalPath(g.Steps, func(s *chestnutpond.Step) time.Duration {
		return duration(s) * time.Duration(Waves(s, q.Capacity))
	})))
	limit := LateFactor * objective
	onTime := max(0, c.Last-credit) + path
	late := max(0, c.LateLast-credit) + path
	excess := min(onTime-objective, late-limit)
	return Judgement{
		Hopeless: excess > 0, Delay: max(0, c.LateLast-credit), End: late, Limit: limit, Excess: max(0, excess),
	}
}

// CriticalPath returns the length of the longest path through the steps.
func CriticalPath(steps []chestnutpond.Step, length func(s *chestnutpond.Step) time.Duration) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := range steps {
		start := time.Duration(0)
		for _, a := range steps[i].After {
			start = max(start, ends[a])
		}
		ends[i] = start + length(&steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}

// Waves returns the number of waves in which a step is expected to run on a service of the
// given capacity.
func Waves(s *chestnutpond.Step, capacity chestnutpond.Resources) int {
	need := s.Reserved()
	share := 0.0
	raiseShare := func(need, capacity int64) {
		if capacity > 0 {
			share = max(share, float64(need)*float64(s.Count)/float64(capacity))
		}
	}
	raiseShare(int64(need.CPU), int64(capacity.CPU))
	raiseShare(int64(need.Memory), int64(capacity.Memory))
	raiseShare(need.Accelerators, capacity.Accelerators)
	return max(1, int(math.Ceil(share/waveShare)))
}

// UrgentDemand returns the number of accelerators that the steps of a job need that depend
// on no other step.
func UrgentDemand(g *chestnutpond.Graph) int64 {
	sum := int64(0)
	for i := range g.Steps {
		if len(g.Steps[i].After) == 0 {
			sum += int64(g.Steps[i].Count) * g.Steps[i].Need.Accelerators
		}
	}
	return sum
}

// Spread returns a number from 0 to n-1 that depends on the job's id only, so that callers
// that are told to return at the same time do not do so at once.
func Spread(id chestnutpond.JobID, n int) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum64() % uint64(max(1, n)))
}
