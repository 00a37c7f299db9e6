package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"syscall"
	"time"
)

// kindA and kindB are the kinds of workers.
const (
	kindA = "a"
	kindB = "b"
)

// kinds returns labels of worker i: kind b for the given workers, else kind a, and its rack.
func kinds(b ...int) func(i int) []string {
	return func(i int) []string {
		kind := kindA
		for _, one := range b {
			if one == i {
				kind = kindB
			}
		}
		return []string{kind, fmt.Sprintf("r1-%d", i/3)}
	}
}

// finish is how long after the end of the traffic jobs are asked for, idle how long a job may
// have nothing running although it could.
const (
	finish = 14 * time.Second
	idle   = 3 * time.Second
	// visible is how long after its confirmation a job may be unknown.
	visible = 3 * time.Second
	// lastingGrace is the time after the last run of a task that lasts from which on it has to
	// run again.
	lastingGrace = 6 * time.Second
)

// playLostWorker loses one of eleven workers for good, and hands in a job before anybody can
// know. The job has to be done all the same.
func playLostWorker(s *stage, trouble bool) (string, error) {
	if err := s.begin(kinds()); err != nil {
		return "", err
	}
	first, second := "00000000000000a1", "00000000000000a2"
	task := step{Count: 4, CPU: 1000, MemMB: 1024, GPU: 1, EstimateMs: 2000}
	if err := s.submit(bulkQueue, first, model{WorkMs: 2000, GPU: 1}, task); err != nil {
		return "", err
	}
	w, err := s.awaitRun(first)
	if err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if trouble {
		w.end("lost for good")
	}
	time.Sleep(200 * time.Millisecond)
	if err := s.submit(bulkQueue, second, model{WorkMs: 2000, GPU: 1}, task); err != nil {
		return "", err
	}
	s.rec.note("client", "the traffic ends")
	time.Sleep(finish + idle + 40*time.Second)
	for _, job := range []string{first, second} {
		if state := s.state(job); state != "done" {
			return fmt.Sprintf("LOST: job %s is %q %s after the end of the traffic; 10 of 11 workers are idle", job, state, finish+idle+40*time.Second), nil
		}
	}
	return "", nil
}

// playLateLeave freezes the machine of a leaving worker for 4 s, so that the worker's leave
// gets no confirmation.
func playLateLeave(s *stage, trouble bool) (string, error) {
	if err := s.begin(kinds(0, 1)); err != nil {
		return "", err
	}
	job := "00000000000000b1"
	st := step{Count: 1, CPU: 1000, MemMB: 1024, GPU: 1, EstimateMs: 1000, Perpetual: true, Requirements: kindB}
	if err := s.submit(bulkQueue, job, model{GPU: 1}, st); err != nil {
		return "", err
	}
	w, err := s.awaitRun(job)
	if err != nil {
		return "", err
	}
	agent := s.agents[0]
	if w == s.workers[1] {
		agent = s.agents[1]
	}
	ctx := context.Background()
	time.Sleep(2 * time.Second)
	w.drain(ctx, 3*time.Second)
	time.Sleep(3 * time.Second)
	if trouble {
		if err := s.signal(agent, syscall.SIGSTOP); err != nil {
			return "", err
		}
		time.AfterFunc(4*time.Second, func() { _ = s.signal(agent, syscall.SIGCONT) })
		time.Sleep(500 * time.Millisecond)
	}
	if !w.leave(ctx) {
		// Without a confirmation it ends some seconds later.
		time.Sleep(5 * time.Second)
	}
	w.end("left")
	time.Sleep(10 * time.Second)
	if twice := s.hist.twice(job); twice != "" {
		return "TWICE: " + twice, nil
	}
	return "", nil
}

// playPaceRefused has one of eleven workers refuse its orders for 4.5 s while a task that
// fills beside a serving one is paced down.
func playPaceRefused(s *stage, trouble bool) (string, error) {
	if err := s.begin(kinds(0)); err != nil {
		return "", err
	}
	serving, filling := "00000000000000c1", "00000000000000c2"
	const target, harm = 100, 4 * time.Second
	err := s.submit(urgentQueue, serving, model{GPU: 1, LoadMs: 40}, step{
		Count: 1, CPU: 4000, MemMB: 1024, GPU: 1, EstimateMs: 1000, Perpetual: true, Requirements: kindB, Image: "serves", TargetMs: target,
	})
	if err != nil {
		return "", err
	}
	w, err := s.awaitRun(serving)
	if err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	err = s.submit(bulkQueue, filling, model{WorkMs: 300_000, DisturbMs: 320}, step{
		Count: 1, CPU: 4000, MemMB: 1024, EstimateMs: 60_000, Requirements: kindB, Image: "fills", Fills: true,
	})
	if err != nil {
		return "", err
	}
	if _, err := s.awaitRun(filling); err != nil {
		return "", err
	}
	began := time.Now()
	if trouble {
		time.AfterFunc(time.Second, func() { w.setRefuse(http.StatusServiceUnavailable) })
		time.AfterFunc(5500*time.Millisecond, func() { w.setRefuse(0) })
	}
	// Over its target on end, counted from 10 s after the disturbance at the earliest.
	calm := began.Add(15500 * time.Millisecond)
	task := serving + ".0.0.0"
	var since time.Time
	last := int64(-1)
	for time.Since(began) < 40*time.Second {
		time.Sleep(20 * time.Millisecond)
		latency, alone, filled := w.latency(task)
		if latency != last {
			s.rec.note(w.cfg.id, "tail latency %d ms, %d ms without those that fill, target %d ms", latency, alone, int64(target))
			last = latency
		}
		over := latency > target && alone <= target && filled
		switch {
		case !over:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		}
		if over && since.Before(calm) && time.Now().After(calm) {
			since = calm
		}
		if over && !since.IsZero() && time.Since(since) > harm && (time.Now().After(calm) || !trouble) {
			return fmt.Sprintf("HARM: %s is at %d ms, over its target of %d ms, for %s on end, long after the disturbance", task, latency, int64(target), harm), nil
		}
	}
	return "", nil
}

// playPoisonStarves hands in a job whose tasks fail at every start, on workers that another
// job needs, too. The sound task of that one fails once, and has to be started again.
func playPoisonStarves(s *stage, trouble bool) (string, error) {
	if err := s.begin(kinds(0, 1)); err != nil {
		return "", err
	}
	sound, poison := "00000000000000d1", "00000000000000d2"
	lasting := step{Count: 1, CPU: 1000, MemMB: 1024, GPU: 1, EstimateMs: 1000, Perpetual: true, Requirements: kindB}
	if err := s.submit(bulkQueue, sound, model{GPU: 1}, lasting); err != nil {
		return "", err
	}
	w, err := s.awaitRun(sound)
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		hopeless := lasting
		hopeless.Count = 3
		if err := s.submit(urgentQueue, poison, model{GPU: 1, FailMs: 100}, hopeless); err != nil {
			return "", err
		}
	}
	time.Sleep(8 * time.Second)
	if !w.fail(sound + ".0.0.0") {
		return "", errors.New("the sound task did not run")
	}
	failed := time.Now()
	// It is due from then on, and judged from 6 s after its last run.
	time.Sleep(lastingGrace)
	for time.Since(failed) < 60*time.Second {
		if s.runs(sound) {
			return "", nil
		}
		if time.Since(failed) > 45*time.Second {
			return fmt.Sprintf("LOST: the sound task %s.0.0.0 has had nothing running for %s; 2 workers of its kind have 7 of 8 GPUs free",
				sound, time.Since(failed).Round(time.Second)), nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return "", nil
}

// playWideLimit hands in a job whose limit of tasks on one worker is far above their number.
func playWideLimit(s *stage, trouble bool) (string, error) {
	if err := s.begin(kinds()); err != nil {
		return "", err
	}
	job := "00000000000000e1"
	st := step{Count: 3, CPU: 1000, MemMB: 1024, GPU: 1, EstimateMs: 1000, AntiAffinity: 2}
	if trouble {
		st.AntiAffinity = math.MaxUint32
	}
	if err := s.submit(bulkQueue, job, model{WorkMs: 1000, GPU: 1}, st); err != nil {
		return "", err
	}
	// The state is judged from visible_ms after the confirmation on, which is 3 s.
	time.Sleep(visible)
	if state := s.state(job); state == "" {
		time.Sleep(finish + idle)
		state = s.state(job)
		return fmt.Sprintf("LOST: job %s was accepted, is not known %s later, and is %q %s after that; it had %d runs",
			job, visible, state, finish+idle, len(s.hist.of(job))), nil
	}
	time.Sleep(finish)
	if state := s.state(job); state != "done" {
		return fmt.Sprintf("LOST: job %s is %q", job, state), nil
	}
	return "", nil
}

// playDoubtRefused has the start of a task carried out 3 s late and without an answer, and
// kills and restarts the agent before it has tried again. Meanwhile its worker begins to
// drain.
func playDoubtRefused(s *stage, trouble bool) (string, error) {
	if err := s.begin(kinds(0, 1)); err != nil {
		return "", err
	}
	job := "00000000000000f1"
	first, agent := s.workers[0], s.agents[0]
	if trouble {
		first.loseNextStart(job+".0.0.0", 3*time.Second)
	}
	st := step{Count: 1, CPU: 1000, MemMB: 1024, GPU: 1, EstimateMs: 12_000, Requirements: kindB}
	if err := s.submit(bulkQueue, job, model{WorkMs: 12_000, GPU: 1}, st); err != nil {
		return "", err
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		if err := s.restart(agent, 300*time.Millisecond); err != nil {
			return "", err
		}
	}
	ctx := context.Background()
	first.drain(ctx, 8*time.Second)
	time.Sleep(8 * time.Second)
	first.leave(ctx)
	first.end("left")
	time.Sleep(15 * time.Second)
	if twice := s.hist.twice(job); twice != "" {
		return "TWICE: " + twice, nil
	}
	return "", nil
}

// drainLimit is how long after a confirmed heartbeat that says draining work may start on a
// worker, drain_ms.
const drainLimit = 2500 * time.Millisecond

// playDrainInDoubt has a worker reset its connections for 5.4 s. A task is placed on it at
// the beginning, and 1.5 s later it says that it drains.
func playDrainInDoubt(s *stage, trouble bool) (string, error) {
	if err := s.begin(kinds(0)); err != nil {
		return "", err
	}
	job, w := "00000000000000a3", s.workers[0]
	if trouble {
		w.setReset(true)
		time.AfterFunc(5400*time.Millisecond, func() { w.setReset(false) })
	}
	st := step{Count: 1, CPU: 1000, MemMB: 1024, GPU: 1, EstimateMs: 1000, Requirements: kindB}
	if err := s.submit(bulkQueue, job, model{WorkMs: 1000, GPU: 1}, st); err != nil {
		return "", err
	}
	time.Sleep(1500 * time.Millisecond)
	ctx := context.Background()
	w.drain(ctx, 6*time.Second)
	confirmed := time.Now()
	time.Sleep(6 * time.Second)
	w.leave(ctx)
	w.end("left")
	for _, i := range s.hist.of(job) {
		if i.worker == w.cfg.id && i.start.Sub(confirmed) > drainLimit {
			return fmt.Sprintf("DRAIN: %s began as run %d on %s %s after the confirmation that it drains; allowed are %s",
				i.task, i.run, i.worker, i.start.Sub(confirmed).Round(time.Millisecond), drainLimit), nil
		}
	}
	return "", nil
}

// playDoubtWaits has a worker reset its connections for 6.2 s. A job is placed on it at the
// beginning, which ends the traffic. 1.5 s later the worker says that it drains, and 4.5 s
// after that it leaves. The job has to be started elsewhere.
func playDoubtWaits(s *stage, trouble bool) (string, error) {
	if err := s.begin(kinds()); err != nil {
		return "", err
	}
	job, w := "00000000000000a4", s.workers[0]
	if trouble {
		w.setReset(true)
		time.AfterFunc(6200*time.Millisecond, func() { w.setReset(false) })
	}
	st := step{Count: 1, CPU: 1000, MemMB: 1024, GPU: 8, EstimateMs: 2500}
	if err := s.submit(bulkQueue, job, model{WorkMs: 2500, GPU: 8}, st); err != nil {
		return "", err
	}
	ended := time.Now()
	s.rec.note("client", "the traffic ends")
	time.Sleep(1500 * time.Millisecond)
	ctx := context.Background()
	w.drain(ctx, 4500*time.Millisecond)
	time.Sleep(4500 * time.Millisecond)
	w.leave(ctx)
	w.end("left")
	time.Sleep(time.Until(ended.Add(finish)))
	for time.Since(ended) < finish+idle {
		if s.runs(job) || s.state(job) == "done" {
			return "", nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Sprintf("LOST: job %s has nothing running from %s to %s after the end of the traffic; 10 of 11 workers are idle",
		job, finish, finish+idle), nil
}

// storeTime is how long the answers of the slow store take: 60 times the usual.
const storeTime = 60 * appendTime

// handIn is a client's attempt to hand in a job.
type handIn struct {
	stage  *stage
	key    string
	entry  int
	path   string
	body   any
	status int
	done   chan struct{}
}

func (h *handIn) run() {
	defer close(h.done)
	status, _, err := h.stage.callAs(h.key, h.entry, http.MethodPost, h.path, h.body)
	h.stage.rec.note("client", "POST %s with key %.4s.. -> %d %v", h.path, h.key, status, err)
	h.status = status
}

// playSameID has two tenants hand in jobs under one id, 50 ms apart at two entries, while the
// store is slow; six times, with an id of their own for each pair of entries. Whichever job is
// accepted has to be known to its tenant.
func playSameID(s *stage, trouble bool) (string, error) {
	if err := s.begin(kinds()); err != nil {
		return "", err
	}
	if trouble {
		s.rec.note("store", "its answers take %s longer for 4.5 s", storeTime)
		s.store.setSlow(storeTime)
		time.AfterFunc(4500*time.Millisecond, func() { s.store.setSlow(0) })
		time.Sleep(time.Second)
	}
	st := step{Count: 1, CPU: 1000, MemMB: 1024, GPU: 1, EstimateMs: 1000}
	body := map[string]any{"spec": `{"work_ms":1000,"gpu":1}`, "steps": []step{st}}
	var calls []*handIn
	for n, pair := range [][2]int{{0, 1}, {1, 2}, {2, 0}, {1, 0}, {2, 1}, {0, 2}} {
		path := fmt.Sprintf("%s%016x", bulkQueue, 0xa50+n)
		for i, key := range []string{apiKey, otherKey} {
			h := &handIn{stage: s, key: key, entry: pair[i], path: path, body: body, done: make(chan struct{})}
			calls = append(calls, h)
			go h.run()
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(400 * time.Millisecond)
	}
	for _, h := range calls {
		<-h.done
	}
	time.Sleep(finish)
	for _, h := range calls {
		if h.status != http.StatusOK {
			continue
		}
		for entry := range s.entries {
			status, state, err := s.callAs(h.key, entry, http.MethodGet, h.path, nil)
			s.rec.note("client", "GET %s with key %.4s.. at entry %d -> %d %s %v", h.path, h.key, entry, status, state, err)
			if status == http.StatusGone {
				return fmt.Sprintf("LOST: the job %s of the tenant with key %.4s.. was accepted, and is answered 410 %s later", h.path, h.key, finish), nil
			}
		}
	}
	return "", nil
}
