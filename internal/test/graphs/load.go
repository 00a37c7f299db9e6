// Package graphs measures the planner of graphs on loads in virtual time.
//
// A load is a fleet of equal workers and a list of jobs with their true work. The
// planner sees it through the methods that the leading entry calls; an event loop
// stands in for the workers. There is no network and no store: a decision takes
// effect in the next step of the loop. The share of the jobs' value that is done in
// time stands beside a bound that no scheduler exceeds, so that the table shows what
// is left to gain.
package graphs

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/plan"
)

// Seeds are the seeds of the table.
var Seeds = []uint64{11, 23, 37, 53, 71}

const (
	service = "service"
	account = "account"
	// rackSize is the number of workers of a rack where a row gives none.
	rackSize = 3
	// arrivals is how long jobs arrive.
	arrivals = 40 * time.Second
	// waveShare is the share of the service beyond which the objective of a step
	// allows for waves.
	waveShare = 0.25
)

// kind is a kind of job. All are one step.
type kind struct {
	name     string
	priority int
	// value of a job that is done in its objective.
	value float64
	// every is the mean time between two jobs.
	every time.Duration
	// work is the mean of the tasks' work, spread the deviation of its logarithm
	// from job to job, off that of the callers' estimates.
	work        time.Duration
	spread, off float64
	// width is the mean number of tasks.
	width   float64
	gang    bool
	need    chestnutpond.Resources
	shapes  []int64
	stretch float64
	target  time.Duration
	detail
}

// detail has what only the kinds of deployments A and B have. No random number is drawn
// for a zero value.
type detail struct {
	// lateValue is the value of a job that is done within lateFactor times its objective.
	lateValue float64
	// within is the deviation of the logarithm of the tasks' work within a job.
	within float64
	// secondStep, dataRack and sameRack are the shares of jobs with a second step, with
	// data on one rack, and with gangs that are slow unless they run on one rack.
	secondStep, dataRack, sameRack float64
	checkpointable                 bool
}

// Row is a load.
type Row struct {
	Name    string
	workers int
	room    chestnutpond.Resources
	kinds   []kind
	// submitters is the number of client accounts that submit in turn, 0 for one. The
	// estimates of every third one are too long by biasedBy.
	submitters int
	// lasting is how long jobs arrive, if it is not the constant arrivals.
	lasting time.Duration
	// inside is the deviation of the logarithm of the work within a step that is no gang.
	inside float64
	bursts []burst
	// rack is the number of workers of a rack, zero for rackSize, and zones the number
	// of zones.
	rack, zones int
	accounts    []accountLoad
	faults      []fault
	// stop, checkpoint and restore are how long a run takes to stop, after how much work
	// it writes a checkpoint, and how long it takes to start from one.
	stop, checkpoint, restore time.Duration
	// worthLeast is the least share of the jobs' value that callers get, zero where
	// inTimeLeast applies instead.
	worthLeast float64
	// Policy is that of the planner.
	Policy plan.Policy
}

// burst is more work of a kind for some time.
type burst struct {
	kind     string
	from, to time.Duration
	// factor multiplies the arrivals.
	factor float64
	// account is the one whose jobs the additional ones are; empty for all.
	account string
}

// accountLoad is a client account.
type accountLoad struct {
	name string
	// weight is its part of the jobs relative to the others.
	weight int
	// guarantee is the number of accelerators guaranteed to its urgent jobs.
	guarantee int64
}

// fault is a fault of a worker for some time.
type fault struct {
	worker   int
	from, to time.Duration
	// rate is the speed of its runs; with zero they fail.
	rate float64
}

// biasedBy is the factor of the estimates of accounts whose estimates are wrong.
const biasedBy = 7

// job is a job with what the planner cannot know.
type job struct {
	graph   chestnutpond.Graph
	arrives time.Duration
	work    time.Duration
	value   float64
	// tasks has the work of each task by step, nil if it is that of the job.
	tasks     [][]time.Duration
	lateValue float64
	kind      string
	ended     verdict
	// preempted means that runs were stopped to make room for the job.
	preempted bool
	// share is the part of the service that its tasks take together, by its scarcest
	// resource.
	share float64
	// objective is the time in which it should be done.
	objective time.Duration
}

// room64 and room128 are workers of the two kinds of host that the users have.
var (
	room64  = chestnutpond.Resources{CPU: 64_000, Memory: 256_000, Accelerators: 8}
	room128 = chestnutpond.Resources{CPU: 128_000, Memory: 512_000, Accelerators: 8}
)

// shapes are the accelerators of a task of a gang.
var shapes = []int64{1, 2, 4, 8, 8}

// kinds returns an urgent, a standard and a bulk kind, whose arrivals are faster by a
// factor.
func kinds(faster float64, scale int64, width float64) []kind {
	every := func(d time.Duration) time.Duration { return time.Duration(float64(d) / faster) }
	need := func(cpu, memory int64) chestnutpond.Resources {
		return chestnutpond.Resources{CPU: chestnutpond.MilliCPU(cpu * scale), Memory: chestnutpond.MiB(memory * scale)}
	}
	return []kind{
		{
			name: "urgent", value: 4, every: every(2 * time.Second), work: 2500 * time.Millisecond, spread: 0.5, off: 0.3,
			width: 3 * width, gang: true, need: need(7500, 22_000), shapes: shapes, stretch: 1.5, target: 400 * time.Millisecond,
		},
		{
			name: "standard", priority: 1, value: 3, every: every(2 * time.Second), work: 7 * time.Second, spread: 0.3, off: 0.5,
			width: 1.5 * width, gang: true, need: need(26_000, 100_000), shapes: shapes, stretch: 3, target: 1200 * time.Millisecond,
		},
		{
			name: "bulk", priority: 2, value: 1, every: every(6 * time.Second), work: 9500 * time.Millisecond, spread: 0.3, off: 0.9,
			width: 9 * width, need: need(5600, 16_000), shapes: []int64{1}, stretch: 3, target: 3 * time.Second,
		},
	}
}

// Rows returns the loads: the two deployments of today, one of them in a burst of
// urgent jobs, a deployment of 53 workers, and deployments A and B.
func Rows() []Row {
	return append([]Row{
		{Name: "small_hosts", workers: 11, room: room64, kinds: kinds(1.8, 1, 1)},
		{Name: "large_hosts", workers: 11, room: room128, kinds: kinds(1.8, 2, 1)},
		{Name: "urgent_burst", workers: 11, room: room64, kinds: kinds(1.3, 1, 1), bursts: []burst{{kind: "urgent", from: 8 * time.Second, to: 16 * time.Second, factor: 4}}},
		{Name: "large_fleet", workers: 53, room: room128, kinds: kinds(5.5, 2, 1.8)},
	}, deployments()...)
}

// LearningRows returns loads of which there is something to learn: of several accounts, of
// which some estimate wrong, and with tasks that differ within a step.
func LearningRows() []Row {
	return []Row{
		{Name: "accounts_off", workers: 11, room: room64, kinds: kinds(1.8, 1, 1), submitters: 9, lasting: time.Minute},
		{Name: "tasks_differ", workers: 11, room: room64, kinds: kinds(1.8, 1, 1), submitters: 9, lasting: time.Minute, inside: 0.4},
	}
}

// accountNames returns the names of the accounts that submit.
func (r Row) accountNames() []string {
	if r.submitters == 0 {
		return []string{account}
	}
	var names []string
	for i := range r.submitters {
		names = append(names, fmt.Sprintf("%s-%d", account, i))
	}
	return names
}

// jobs draws the jobs of a row, in order of arrival.
func (r Row) jobs(seed uint64) []job {
	random := rand.New(rand.NewPCG(seed, 1))
	var all []job
	end := cmp.Or(r.lasting, arrivals)
	for i := range r.kinds {
		k := &r.kinds[i]
		for at := time.Duration(0); ; {
			gap := random.ExpFloat64() * k.every.Seconds()
			b := r.burstOf(k, at)
			gap /= b.factor
			if at += seconds(gap); at >= end {
				break
			}
			j := r.draw(k, random, at, len(all))
			r.drawDetail(k, random, &j, b)
			all = append(all, j)
		}
	}
	return all
}

// burstOf returns the burst of the kind at a time.
func (r Row) burstOf(k *kind, at time.Duration) burst {
	for _, b := range r.bursts {
		if b.kind == k.name && at > b.from && at < b.to {
			return b
		}
	}
	return burst{factor: 1}
}

// draw draws one job of a kind.
func (r Row) draw(k *kind, random *rand.Rand, at time.Duration, number int) job {
	work := k.work.Seconds() * math.Exp(k.spread*random.NormFloat64())
	estimate := work * math.Exp(k.off*random.NormFloat64())
	if r.submitters > 0 && number%r.submitters%3 == 2 {
		estimate *= biasedBy
	}
	count := min(max(1, int(random.ExpFloat64()*k.width+0.5)), 4*int(k.width)+1)
	step := chestnutpond.Step{
		Count: count, Need: k.need, Estimate: seconds(estimate), Gang: k.gang && count > 1,
	}
	step.Need.Accelerators = k.shapes[random.IntN(len(k.shapes))]
	for step.Gang && float64(count)*float64(step.Need.Accelerators) > float64(r.workers)*float64(r.room.Accelerators)/2 {
		step.Need.Accelerators /= 2
	}
	step.Need.Accelerators = max(1, step.Need.Accelerators)
	share := float64(count) / float64(r.workers) * max(
		float64(step.Need.CPU)/float64(r.room.CPU), float64(step.Need.Memory)/float64(r.room.Memory),
		float64(step.Need.Accelerators)/float64(r.room.Accelerators))
	var tasks [][]time.Duration
	if r.inside > 0 && !step.Gang {
		tasks = [][]time.Duration{nil}
		for range count {
			// The mean of the factors is 1.
			factor := math.Exp(r.inside*random.NormFloat64() - r.inside*r.inside/2)
			tasks[0] = append(tasks[0], seconds(work*factor))
		}
	}
	names := r.accountNames()
	waves := math.Max(1, math.Ceil(share/waveShare))
	return job{
		arrives: at, work: seconds(work), tasks: tasks, value: k.value, lateValue: k.lateValue, kind: k.name, share: share,
		objective: k.target + seconds(k.stretch*work*waves),
		graph: chestnutpond.Graph{
			ID: chestnutpond.JobID(fmt.Sprintf("%016x", number+1)), Account: names[number%len(names)],
			Steps: []chestnutpond.Step{step},
			Queue: chestnutpond.QueuePolicy{
				Name: k.name, Service: service, Priority: k.priority, MaxAttempts: 3, Stretch: k.stretch, TargetLatency: k.target,
			},
		},
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
