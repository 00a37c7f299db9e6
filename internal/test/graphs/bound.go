package graphs

import (
	"cmp"
	"slices"
	"time"
)

// bound returns a share of the jobs' value that no scheduler exceeds, even one that
// knows all jobs, stops and goes on without loss, and cuts tasks at will: what arrives
// and should be done within an interval needs no more than the service has in it. The
// interval that forces most value out gives the bound.
func bound(jobs []job) float64 {
	total, most := 0.0, 0.0
	for _, j := range jobs {
		total += j.value
	}
	if total == 0 {
		return 1
	}
	for _, first := range jobs {
		for _, last := range jobs {
			most = max(most, forcedOut(jobs, first.arrives, last.arrives+last.objective))
		}
	}
	return 1 - most/total
}

// forcedOut returns the value that cannot be done in time of the jobs that arrive and
// should be done within an interval. The jobs with the most value for their work stay.
func forcedOut(jobs []job, from, to time.Duration) float64 {
	var inside []*job
	work := 0.0
	for i := range jobs {
		j := &jobs[i]
		if j.arrives >= from && j.arrives+j.objective <= to {
			inside = append(inside, j)
			work += j.volume()
		}
	}
	excess := work - (to - from).Seconds()
	if excess <= 0 {
		return 0
	}
	slices.SortFunc(inside, func(a, b *job) int { return cmp.Compare(a.value*b.volume(), b.value*a.volume()) })
	out := 0.0
	for _, j := range inside {
		part := min(1, excess/j.volume())
		out += part * j.value
		if excess -= j.volume(); excess <= 0 {
			break
		}
	}
	return out
}

// volume returns how many seconds of the whole service the job takes.
func (j *job) volume() float64 { return j.share * j.work.Seconds() }
