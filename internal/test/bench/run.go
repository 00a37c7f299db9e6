package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
)

const (
	// startDelay is the time from a decision until the tasks run; section 10
	// gives it 1.3 s at most.
	startDelay = 500 * time.Millisecond
	// stopDelay is the time of a stop call.
	stopDelay = 500 * time.Millisecond
	// sampleEvery is the interval of the samples of free accelerators.
	sampleEvery = 30 * time.Second
	// checkpointsFail is the share of checkpoints that are not written, in
	// percent; the work since the last one is lost then.
	checkpointsFail = 10
	// endOfTime stops a run whose policy leaves jobs waiting for ever.
	endOfTime = 20 * day
)

type eventKind int

const (
	eventArrive eventKind = iota
	eventRunning
	eventEnd
	eventFail
	eventStopped
	eventCancel
	eventWake
	eventSample
)

type event struct {
	at   time.Duration
	seq  int
	kind eventKind
	job  *runJob
	// attempt is the attempt that the event is about.
	attempt int64
	worker  string
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(v any) { *h = append(*h, v.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	v := old[len(old)-1]
	*h = old[:len(old)-1]
	return v
}

// runJob is a job during a run.
type runJob struct {
	*Job
	attempt int64
	// held are the accelerators of the attempt; empty when it has none.
	held    []chestnutpond.Placement
	running bool
	// since is when the attempt began to run, left what it has to do from then.
	since, left time.Duration
	stopping    bool
	// firstStart and ended are -1 until they happened.
	firstStart, ended time.Duration
	finished          bool
	impossible        bool
	cancelled         bool
}

// run is one load under one policy.
type run struct {
	load   Load
	policy Policy
	now    time.Duration
	events eventHeap
	seq    int
	wake   time.Duration
	jobs   []*runJob
	byID   map[chestnutpond.JobID]*runJob
	rng    *rand.Rand
	// used counts the held accelerators by worker.
	used    map[string]int
	workers []place.Worker
	open    int
	tally   tally
}

// tally holds what is counted during a run.
type tally struct {
	// freeTotal and freeLost are sums over the samples of the free accelerators
	// and of those that cannot serve the largest guaranteed shape.
	freeTotal, freeLost int
	busyTotal, samples  int
	preempted           int
	// lost is accelerator time that ran for nothing.
	lost time.Duration
	// lateStarts counts the starts after the first minute, badStarts those of
	// them on a bad worker.
	lateStarts, badStarts int
}

// Execute runs a load under a policy until all jobs have ended.
func Execute(d Deployment, load Load, p Policy, seed uint64) *Result {
	r := &run{
		load: load, policy: p, byID: map[chestnutpond.JobID]*runJob{}, rng: rand.New(rand.NewPCG(seed, 2)),
		used: map[string]int{}, workers: fleet(load.Scale), wake: -1, open: len(load.Jobs),
	}
	p.SetDocument(0, d.Document)
	for _, w := range r.workers {
		p.PutWorker(0, w)
	}
	for i := range load.Jobs {
		j := &runJob{Job: &load.Jobs[i], left: load.Jobs[i].Work, firstStart: -1, ended: -1}
		r.jobs = append(r.jobs, j)
		r.byID[j.Spec.ID] = j
		r.push(event{at: j.Arrive, kind: eventArrive, job: j})
		if j.Cancel > 0 {
			r.push(event{at: max(j.Cancel, j.Arrive), kind: eventCancel, job: j})
		}
	}
	r.push(event{at: sampleEvery, kind: eventSample})
	r.loop(d)
	return r.result()
}

func (r *run) push(e event) {
	r.seq++
	e.seq = r.seq
	heap.Push(&r.events, e)
}

func (r *run) loop(d Deployment) {
	for len(r.events) > 0 && r.open > 0 && r.now < endOfTime {
		r.now = r.events[0].at
		for len(r.events) > 0 && r.events[0].at == r.now {
			r.apply(d, heap.Pop(&r.events).(event))
		}
		for _, a := range r.policy.Decide(r.now) {
			r.act(a)
		}
		if at, ok := r.policy.NextWake(r.now); ok && (r.wake <= r.now || at < r.wake) {
			r.wake = max(at, r.now+1)
			r.push(event{at: r.wake, kind: eventWake})
		}
	}
}

func (r *run) apply(d Deployment, e event) {
	j := e.job
	switch e.kind {
	case eventWake:
		return
	case eventSample:
		r.sample(d)
		r.push(event{at: r.now + sampleEvery, kind: eventSample})
		return
	case eventArrive:
		r.policy.Submit(r.now, j.Spec, 0)
		return
	case eventCancel:
		r.cancel(j)
		return
	}
	if j.attempt != e.attempt || len(j.held) == 0 {
		return
	}
	switch e.kind {
	case eventRunning:
		if !j.stopping {
			r.begin(j)
		}
	case eventEnd:
		if j.running {
			r.finish(j)
		}
	case eventFail:
		r.tally.lost += (r.now - j.since) * time.Duration(j.Spec.Shape.Accelerators)
		r.free(j)
		r.policy.TaskFailed(r.now, j.Spec.ID, j.attempt, place.Failure{Worker: e.worker, WorkerSuspect: true, Reason: "exit 1"})
	case eventStopped:
		r.stopped(j)
	}
}

// begin starts the tasks of an attempt.
func (r *run) begin(j *runJob) {
	j.running = true
	j.since = r.now
	if j.firstStart < 0 {
		j.firstStart = r.now
	}
	r.policy.Running(r.now, j.Spec.ID, j.attempt)
	failing := ""
	for _, p := range j.held {
		if r.load.Bad[p.Worker] {
			failing = p.Worker
		}
	}
	if failing == "" && j.Impossible {
		failing = j.held[0].Worker
	}
	if failing != "" {
		r.push(event{at: r.now + failDelay, kind: eventFail, job: j, attempt: j.attempt, worker: failing})
		return
	}
	r.push(event{at: r.now + j.left, kind: eventEnd, job: j, attempt: j.attempt})
}

func (r *run) finish(j *runJob) {
	j.finished = true
	r.end(j)
}

// end removes a job that holds nothing any more from the policy.
func (r *run) end(j *runJob) {
	r.free(j)
	j.ended = r.now
	r.open--
	r.policy.Remove(r.now, j.Spec.ID)
}

func (r *run) free(j *runJob) {
	for _, p := range j.held {
		r.used[p.Worker] -= len(p.Accelerators)
	}
	j.held, j.running, j.stopping = nil, false, false
}

func (r *run) cancel(j *runJob) {
	if j.ended >= 0 {
		return
	}
	j.cancelled = true
	if len(j.held) == 0 {
		r.end(j)
		return
	}
	if !j.stopping {
		j.stopping = true
		r.push(event{at: r.now + stopDelay, kind: eventStopped, job: j, attempt: j.attempt})
	}
}

// stopped ends an attempt after a preemption or a cancellation.
func (r *run) stopped(j *runJob) {
	if j.cancelled {
		r.end(j)
		return
	}
	n := time.Duration(j.Spec.Shape.Accelerators)
	if j.running {
		if r.rng.IntN(100) < checkpointsFail {
			r.tally.lost += (r.now - j.since) * n
		} else {
			r.tally.lost += stopDelay * n
			j.left = max(time.Second, j.left-(r.now-j.since-stopDelay))
		}
	}
	r.free(j)
	r.policy.Stopped(r.now, j.Spec.ID, j.attempt)
}

func (r *run) act(a place.Action) {
	j := r.byID[a.Job]
	switch a.Kind {
	case place.ActionStart:
		j.attempt, j.held = a.Attempt, a.Placements
		bad := 0
		for _, p := range a.Placements {
			r.used[p.Worker] += len(p.Accelerators)
			if r.used[p.Worker] > workerSize {
				panic(fmt.Sprintf("%s is given out twice", p.Worker))
			}
			if r.load.Bad[p.Worker] {
				bad = 1
			}
		}
		if r.now > time.Minute {
			r.tally.lateStarts++
			r.tally.badStarts += bad
		}
		r.push(event{at: r.now + startDelay, kind: eventRunning, job: j, attempt: j.attempt})
	case place.ActionPreempt:
		r.tally.preempted++
		j.stopping = true
		// A checkpoint takes a fifth to all of the kind's limit.
		took := j.Spec.Checkpoint * time.Duration(20+r.rng.IntN(81)) / 100
		r.push(event{at: r.now + took + stopDelay, kind: eventStopped, job: j, attempt: j.attempt})
	case place.ActionGiveUp:
		j.impossible = true
		r.end(j)
	}
}
