package graphs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// worthLeastA and worthLeastB are the targets of the page on scarce capacity for the
	// days with disturbances.
	worthLeastA = 0.57
	worthLeastB = 0.74
	// guarantee is the number of accelerators guaranteed to a large account: a gang of
	// five tasks on whole workers.
	guarantee = 40
	// maxWork limits the work of a task, so that the tail of a log-normal distribution does
	// not exceed drainLimit.
	maxWork = time.Minute
)

// room128GB is a worker of deployment A.
var room128GB = chestnutpond.Resources{CPU: 64_000, Memory: 128_000, Accelerators: 8}

// perSecond returns the mean time between jobs.
func perSecond(rate float64) time.Duration { return seconds(1 / rate) }

// median returns the median of log-normal work of the given mean.
func median(mean, spread float64) time.Duration { return seconds(mean * math.Exp(-spread*spread/2)) }

// kindsA returns the kinds of deployment A. The deviations are those that the page gives
// for its durations and its callers' estimates.
func kindsA(load float64) []kind {
	return []kind{
		{
			name: "urgent", value: 4, every: perSecond(1.29 * load), work: median(2.5, 0.47), spread: 0.47, off: 0.39,
			width: 5, gang: true, need: chestnutpond.Resources{CPU: 7500, Memory: 11_000}, shapes: shapes,
			stretch: 1.5, target: 400 * time.Millisecond, detail: detail{lateValue: 0.8, sameRack: 0.3},
		},
		{
			name: "standard", priority: 1, value: 3, every: perSecond(0.508 * load), work: median(11, 0.85), spread: 0.85, off: 1.35,
			width: 6, gang: true, need: chestnutpond.Resources{CPU: 26_000, Memory: 50_000}, shapes: shapes,
			stretch: 3, target: 1200 * time.Millisecond, detail: detail{lateValue: 0.3, sameRack: 0.3},
		},
		{
			name: "bulk", priority: 2, value: 1, every: perSecond(0.299 * load), work: median(7.6, 0.88), spread: 0.74, off: 0.93,
			width: 39, need: chestnutpond.Resources{CPU: 5600, Memory: 8_000}, shapes: []int64{1},
			stretch: 3, target: 3 * time.Second,
			detail: detail{lateValue: 0.1, within: 0.47, secondStep: 0.3, dataRack: 0.2, checkpointable: true},
		},
	}
}

// kindsB returns the kinds of deployment B.
func kindsB(load float64) []kind {
	all := kindsA(load)
	u, s, b := &all[0], &all[1], &all[2]
	u.every, u.work, u.spread, u.off, u.need.Memory = perSecond(1.21*load), median(2.1, 0.59), 0.59, 0.52, 22_000
	s.every, s.work, s.spread, s.off, s.need.Memory = perSecond(0.522*load), median(9.4, 0.38), 0.38, 0.33, 100_000
	b.every, b.work, b.spread, b.off, b.need.Memory = perSecond(0.351*load), median(5.2, 0.40), 0.295, 0.38, 16_000
	b.within, b.secondStep = 0.27, 0
	s.lateValue, b.lateValue = 1.5, 0.5
	return all
}

// accounts returns ten accounts, three of which have two thirds of the jobs and guarantees.
func accounts() []accountLoad {
	all := make([]accountLoad, 10)
	for i := range all {
		all[i] = accountLoad{name: fmt.Sprintf("account-%d", i+1), weight: 1}
		if i < 3 {
			all[i].weight, all[i].guarantee = 5, guarantee
		}
	}
	return all
}

func deploymentA(name string, load float64) Row {
	return Row{
		Name: name, workers: 60, room: room128GB, kinds: kindsA(load), rack: 5, zones: 6, accounts: accounts(),
		stop: 400 * time.Millisecond, checkpoint: time.Second, restore: 100 * time.Millisecond, worthLeast: worthLeastA,
	}
}

// deployments returns deployments A and B; A at one and a half times its load with bursts
// of bulk and of urgent work; A with a tenth of the workers failing or slow; and A with
// one account that sends four times the urgent work of all.
func deployments() []Row {
	a, scarce := deploymentA("deployment_a", 1), deploymentA("a_scarce", 1.5)
	faulty, flooded := deploymentA("a_faulty", 1), deploymentA("a_flooded", 1)
	scarce.bursts = []burst{
		{kind: "bulk", from: 4 * time.Second, to: 14 * time.Second, factor: 5},
		{kind: "urgent", from: 8 * time.Second, to: 20 * time.Second, factor: 5},
	}
	for i := range faulty.workers / 10 {
		faulty.faults = append(faulty.faults, fault{
			worker: 10*i + 3, from: 10 * time.Second, to: 18 * time.Second, rate: 0.2 * float64(i%2),
		})
	}
	flooded.bursts = []burst{{kind: "urgent", from: 8 * time.Second, to: 20 * time.Second, factor: 5, account: "account-10"}}
	b := deploymentA("deployment_b", 1)
	b.workers, b.room, b.kinds, b.rack, b.restore, b.worthLeast = 55, room64, kindsB(1), 4, 600*time.Millisecond, worthLeastB
	return []Row{a, b, scarce, faulty, flooded}
}

// drawDetail draws the account, the second step, the racks and the work of each task.
func (r Row) drawDetail(k *kind, random *rand.Rand, j *job, b burst) {
	if len(r.accounts) == 0 {
		return
	}
	j.graph.Account = r.drawAccount(random)
	if b.account != "" && random.Float64() < 1-1/b.factor {
		j.graph.Account = b.account
	}
	step := &j.graph.Steps[0]
	step.Checkpointable = k.checkpointable
	rackRoom := int64(r.rack) * r.room.Accelerators
	step.SameRack = random.Float64() < k.sameRack && step.Gang && int64(step.Count)*step.Need.Accelerators <= rackRoom
	if random.Float64() < k.dataRack {
		step.DataRack = r.rackName(random.IntN(r.workers))
	}
	if random.Float64() < k.secondStep {
		next := *step
		next.After = []int{0}
		j.graph.Steps = append(j.graph.Steps, next)
	}
	// The bound takes one resource, so that it holds for jobs that need different ones.
	waves := math.Max(1, math.Ceil(j.share/waveShare))
	j.share = float64(step.Count) * float64(step.Need.Accelerators) / float64(int64(r.workers)*r.room.Accelerators)
	total, path := time.Duration(0), time.Duration(0)
	for range j.graph.Steps {
		longest := time.Duration(0)
		works := make([]time.Duration, step.Count)
		for i := range works {
			works[i] = min(maxWork, time.Duration(float64(j.work)*math.Exp(k.within*random.NormFloat64())))
			longest = max(longest, works[i])
			total += works[i] / time.Duration(step.Count)
		}
		path += longest
		j.tasks = append(j.tasks, works)
	}
	j.work = total
	j.objective = k.target + seconds(k.stretch*path.Seconds()*waves)
}

func (r Row) drawAccount(random *rand.Rand) string {
	total := 0
	for _, a := range r.accounts {
		total += a.weight
	}
	n := random.IntN(total)
	for _, a := range r.accounts {
		if n -= a.weight; n < 0 {
			return a.name
		}
	}
	return account
}

// rackName returns the rack of a worker.
func (r Row) rackName(worker int) string {
	size := r.rack
	if size == 0 {
		size = rackSize
	}
	return fmt.Sprintf("rack-%d", worker/size+1)
}

// zoneName returns the zone of a worker, empty if the row has no zones.
func (r Row) zoneName(worker int) string {
	if r.zones == 0 {
		return ""
	}
	return fmt.Sprintf("zone-%d", worker/r.rack%r.zones+1)
}
