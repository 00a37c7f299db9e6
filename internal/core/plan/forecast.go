package plan

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fcast"
)

// ForecastSnapshot returns what a forecast needs of the state after a round. The second
// result is false while workers are still expected to report after a claim.
func (p *Planner) ForecastSnapshot(now time.Duration) (fcast.Snapshot, bool) {
	if !p.settled {
		return fcast.Snapshot{}, false
	}
	workers := p.forecastWorkers()
	use := p.urgentUse()
	s := fcast.Snapshot{Waiting: p.forecastWaiting(now, workers, use), Queues: p.forecastQueues()}
	for _, w := range workers {
		s.Workers = append(s.Workers, p.forecastWorker(now, w))
	}
	for _, a := range p.document.Accounts {
		if n := use[a.Name]; n > 0 && a.Accelerators > 0 {
			s.Accounts = append(s.Accounts, fcast.AccountUse{Account: a.Name, Accelerators: n})
		}
	}
	return s, true
}

// forecastWorkers returns the workers that may be given work now or are expected to return.
func (p *Planner) forecastWorkers() []*worker {
	var all []*worker
	for _, w := range p.sortedWorkers {
		if w.usable() || w.reported && !w.left && !w.leaseExpired && w.info.State == chestnutpond.WorkerReady {
			all = append(all, w)
		}
	}
	return all
}

// returnDelay is how long a worker that is not usable is expected to remain so. Most
// unhealthy and silent workers return within seconds; the lease of the others expires, and
// then nothing is expected of them.
const returnDelay = 2 * time.Second

func (p *Planner) forecastWorker(now time.Duration, w *worker) fcast.Worker {
	f := fcast.Worker{Service: w.info.Service, Rack: w.info.Rack, Capacity: w.info.Capacity}
	if excluded := max(w.health.ejectedUntil, w.health.backoffUntil) - now; excluded > 0 || !w.usable() {
		f.Releases = []fcast.Release{{After: max(returnDelay, excluded), Need: w.info.Capacity, Priority: -1}}
		return f
	}
	f.Free = w.free()
	runs := w.sortedRuns()
	f.Releases = make([]fcast.Release, 0, len(runs))
	for _, r := range runs {
		if left, expected := p.remaining(now, r); expected {
			f.Releases = append(f.Releases, fcast.Release{After: left, Need: r.need, Priority: r.job().graph.Queue.Priority})
		}
	}
	return f
}

// urgentUse returns the accelerators that each account's unfinished work of priority 0 needs,
// as guaranteed counts them.
func (p *Planner) urgentUse() map[string]int64 {
	use := map[string]int64{}
	for _, j := range p.active {
		if j.graph.Queue.Priority == 0 && !j.phase.Final() {
			use[j.graph.Account] += j.demand()
		}
	}
	return use
}

// forecastWaiting returns the steps with waiting tasks in the order in which they are placed.
func (p *Planner) forecastWaiting(now time.Duration, workers []*worker, use map[string]int64) []fcast.Work {
	var ranked []rankedUnit
	widths := map[*step]int{}
	for _, j := range p.active {
		if j.phase.Final() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				width := s.waitingWidth(now)
				if width == 0 {
					continue
				}
				u := unit{step: s}
				a := p.accounts[j.graph.Account]
				widths[s] = width
				ranked = append(ranked, rankedUnit{
					unit: u, timeliness: p.timeliness(u), slack: p.slack(u),
					guaranteed: a != nil && j.graph.Queue.Priority == 0 && use[a.name] <= a.guarantee,
				})
			}
		}
	}
	slices.SortStableFunc(ranked, compareRanked)
	all := make([]fcast.Work, len(ranked))
	eligible := map[string][]bool{}
	for i, r := range ranked {
		all[i] = p.forecastWork(r, widths[r.step], workers, eligible)
	}
	return all
}

// waitingWidth returns the number of tasks of the step that may be placed now.
func (s *step) waitingWidth(now time.Duration) int {
	if !s.open || s.done {
		return 0
	}
	n := 0
	for _, t := range s.tasks {
		if t.phase == taskWaiting && t.notBefore <= now {
			n++
		}
	}
	if s.def.Gang && n < len(s.tasks) {
		return 0
	}
	return n
}

// standings are the standings by timeliness.
var standings = [...]fcast.Standing{onTime: fcast.OnTime, late: fcast.Late, expired: fcast.Expired}

func (p *Planner) forecastWork(r rankedUnit, width int, workers []*worker, eligible map[string][]bool) fcast.Work {
	def, queue := r.step.def, &r.job().graph.Queue
	shape := fcast.ShapeOf(def)
	shape.Width = width
	w := fcast.Work{
		Service: queue.Service, Priority: queue.Priority, Standing: standings[r.timeliness], Shape: shape,
		Duration: p.expectedDuration(r.step), OnTimeFor: r.slack, ValidFor: r.slack + (lateFactor-1)*p.objective(r.unit),
	}
	if r.guaranteed {
		// Guaranteed work goes ahead of all other work of its priority.
		w.Standing, w.OnTimeFor = fcast.OnTime, fcast.Horizon
	}
	if def.Perpetual {
		w.Duration = fcast.Horizon
	}
	if def.Label != "" {
		if eligible[def.Label] == nil {
			for _, one := range workers {
				eligible[def.Label] = append(eligible[def.Label], one.info.HasLabel(def.Label))
			}
		}
		w.Label, w.Eligible = def.Label, eligible[def.Label]
	}
	return w
}

// shapeKey groups the jobs of a queue into classes of similar shape.
type shapeKey struct {
	// accelerators and cores are the numbers of binary digits of a task's need.
	accelerators, cores int
	gang, sameRack      bool
}

// shapeClass is a class of shape with the number of its jobs.
type shapeClass struct {
	shape fcast.Shape
	jobs  int
}

// forecastQueues returns the queues of the document with the classes of shape of their
// active jobs.
func (p *Planner) forecastQueues() []fcast.QueueSnapshot {
	classes := map[string]map[shapeKey]shapeClass{}
	for _, j := range p.active {
		if j.graph.Schedule.Repetitions > 0 || j.graph.Steps[0].Perpetual {
			continue
		}
		name := j.graph.Queue.Name
		if classes[name] == nil {
			classes[name] = map[shapeKey]shapeClass{}
		}
		shape := fcast.ShapeOf(&j.graph.Steps[0])
		key := shapeKey{
			accelerators: bits.Len64(uint64(shape.Need.Accelerators)), cores: bits.Len64(uint64(shape.Need.CPU / 1000)),
			gang: shape.Gang, sameRack: shape.SameRack,
		}
		c, ok := classes[name][key]
		if ok {
			shape.Need, shape.Width = minResources(c.shape.Need, shape.Need), min(c.shape.Width, shape.Width)
		}
		classes[name][key] = shapeClass{shape: shape, jobs: c.jobs + 1}
	}
	var all []fcast.QueueSnapshot
	for _, k := range p.document.Kinds {
		if k.Queue == nil || len(classes[k.Queue.Terms.Name]) == 0 {
			continue
		}
		terms := k.Queue.Terms
		all = append(all, fcast.QueueSnapshot{
			Name: terms.Name, Service: terms.Service, Priority: terms.Priority, Duration: p.meanDuration(terms.Name),
			Capacity: p.serviceCapacity(terms.Service), Classes: mostFrequent(classes[terms.Name]),
		})
	}
	return all
}

// mostFrequent returns the shapes of the classes with the most jobs, at most
// fcast.MaxClasses.
func mostFrequent(classes map[shapeKey]shapeClass) []fcast.Shape {
	keys := make([]shapeKey, 0, len(classes))
	for k := range classes {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b shapeKey) int {
		return cmp.Or(
			-cmp.Compare(classes[a].jobs, classes[b].jobs), cmp.Compare(a.accelerators, b.accelerators),
			cmp.Compare(a.cores, b.cores), compareBool(a.gang, b.gang), compareBool(a.sameRack, b.sameRack),
		)
	})
	var shapes []fcast.Shape
	for _, k := range keys[:min(len(keys), fcast.MaxClasses)] {
		shapes = append(shapes, classes[k].shape)
	}
	return shapes
}

// meanDuration returns the mean duration of the queue's tasks, or zero if too few have
// ended.
func (p *Planner) meanDuration(queue string) time.Duration {
	d := p.stats[queue]
	if d == nil || d.count < minSamples {
		return 0
	}
	return seconds(math.Exp(d.duration.mean + d.duration.variance/2))
}
