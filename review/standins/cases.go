package main

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"time"
)

// begin starts entries and workers and publishes the desired state.
func (s *stage) begin(entries, workers int, labels []string, capacity amount) error {
	s.publish(1)
	for i := range entries {
		if err := s.addEntry(i); err != nil {
			return err
		}
	}
	for i := range workers {
		if err := s.addWorker(i, append([]string{}, labels...), capacity); err != nil {
			return err
		}
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	// A job that is done shows that the deployment works.
	for i := range workers {
		if !s.runToEnd(kind{need: amount{cpu: 100, memory: 10}, work: 200 * time.Millisecond}, 30*time.Second) {
			return fmt.Errorf("%w: a first job was not done, worker %d", errCannotRun, i)
		}
	}
	return nil
}

// runToEnd submits a small job and reports whether it is done in time.
func (s *stage) runToEnd(k kind, limit time.Duration) bool {
	id := newJobID()
	if !s.submit(id, "probe", k, map[string]any{"count": 1, "cpu": k.need.cpu, "mem_mb": k.need.memory, "estimate_ms": k.work.Milliseconds()}) {
		return false
	}
	return eventually(limit, func() bool { return s.state(0, id) == "done" })
}

// outage is how long the store is down, which is for_s of platform_down on the sheet.
const outage = 4500 * time.Millisecond

// endsInOutage has many short work items end on one worker while the store is down.
func endsInOutage(s *stage, trouble bool) ([]string, error) {
	// The jobs come as fast as in the largest burst of the sheet, 2.5 times 1.4 a second.
	const jobs, items, gap = 14, 50, 280 * time.Millisecond
	if err := s.begin(3, 1, []string{"a", "r1-1"}, amount{cpu: 128000, memory: 524288, gpu: 8}); err != nil {
		return nil, err
	}
	k := kind{need: amount{cpu: 100, memory: 200}, work: 9500 * time.Millisecond}
	began := time.Now()
	for i := range jobs {
		time.Sleep(time.Until(began.Add(time.Duration(i) * gap)))
		if !s.submit(newJobID(), "short work", k, map[string]any{"count": items, "cpu": k.need.cpu, "mem_mb": k.need.memory, "estimate_ms": k.work.Milliseconds()}) {
			return nil, fmt.Errorf("%w: a job was not accepted", errCannotRun)
		}
	}
	time.Sleep(time.Until(began.Add(k.work)))
	if trouble {
		s.store.setDown(true)
	}
	time.Sleep(outage)
	if trouble {
		s.store.setDown(false)
	}
	time.Sleep(14 * time.Second)
	return s.runs.breaksOfTwice(), nil
}

// finishTime is the bound finish_s, idleTime how long a job may then have nothing running
// though there is room.
const (
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// idleJobs returns the breaks of the rule LOST: from finish_s after the end of the traffic
// a job that is not done has had nothing running for 3 s, though there is room for a work
// item twice over and under half of the capacity is in use. It watches for the given time
// after the end of the traffic, or until all jobs are done.
func (s *stage) idleJobs(ended time.Time, watch time.Duration, ids []string) []string {
	time.Sleep(time.Until(ended.Add(finishTime)))
	idleSince := map[string]time.Time{}
	broken := map[string]string{}
	for time.Since(ended) < watch {
		unfinished := 0
		for _, id := range ids {
			on, done := s.runs.count(id)
			state := ""
			if on == 0 {
				state = s.state(0, id)
			}
			if on > 0 || state == "done" || !s.roomy() {
				delete(idleSince, id)
				if state != "done" {
					unfinished++
				}
				continue
			}
			unfinished++
			if idleSince[id].IsZero() {
				idleSince[id] = time.Now()
			}
			if time.Since(idleSince[id]) >= idleTime && broken[id] == "" {
				broken[id] = fmt.Sprintf("LOST: job %s is %q with nothing running for 3 s, %.1f s after the end of the traffic (%d of its runs have ended done), and the workers have room",
					id, state, time.Since(ended).Seconds(), done)
			}
		}
		if unfinished == 0 || len(broken) == len(ids) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, id := range ids {
		on, done := s.runs.count(id)
		s.rec.line("job %s: %s at the end, %d runs on, %d done", id, s.state(0, id), on, done)
	}
	return slices.Sorted(maps.Values(broken))
}

// roomy reports whether under half of the capacity of the workers is in use.
func (s *stage) roomy() bool {
	var used, all amount
	for _, w := range s.workers {
		w.mu.Lock()
		for _, r := range w.running {
			used.cpu, used.memory, used.gpu = used.cpu+r.kind.need.cpu, used.memory+r.kind.need.memory, used.gpu+r.kind.need.gpu
		}
		all.cpu, all.memory, all.gpu = all.cpu+w.capacity.cpu, all.memory+w.capacity.memory, all.gpu+w.capacity.gpu
		w.mu.Unlock()
	}
	return 2*used.cpu < all.cpu && 2*used.memory < all.memory && 2*used.gpu < all.gpu
}

// lateLeave has a worker leave and start again under its id, while a partition delays the
// leave until the new life is at work.
func lateLeave(s *stage, trouble bool) ([]string, error) {
	if err := s.begin(3, 2, []string{"a", "r1-1"}, amount{cpu: 128000, memory: 524288, gpu: 8}); err != nil {
		return nil, err
	}
	w, p := s.workers[0], s.pingers[0]
	delay := time.Duration(0)
	if trouble {
		delay = 5 * time.Second
	}
	proxy := s.address(2, controlPort)
	if err := s.delayingProxy(proxy, p.control, delay); err != nil {
		return nil, err
	}
	p.stop()
	s.rec.line("worker %s: says that it is draining, confirmed=%v", w.name, p.ping("draining"))
	time.Sleep(2500 * time.Millisecond)
	status, _, err := post(proxy, "/v1/instances/"+w.id+"/leave", map[string]any{"born": p.born}, time.Second)
	s.rec.line("worker %s: leave sent -> %d %v", w.name, status, err)
	if err != nil {
		time.Sleep(time.Second)
	}
	w.crash(500*time.Millisecond, w.id, w.labels)
	time.Sleep(500 * time.Millisecond)
	p.begin()
	time.Sleep(300 * time.Millisecond)
	k := kind{need: amount{cpu: 1000, memory: 1000, gpu: 1}, work: 6 * time.Second}
	if !s.submit(newJobID(), "work", k, map[string]any{"count": 6, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 6000}) {
		return nil, fmt.Errorf("%w: the job was not accepted", errCannotRun)
	}
	time.Sleep(12 * time.Second)
	return s.runs.breaksOfTwice(), nil
}

// delayingProxy accepts connections and passes on what it receives after a delay, also if
// the sender has gone by then.
func (s *stage) delayingProxy(address, to string, delay time.Duration) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.passOn(c, to, delay)
		}
	}()
	return nil
}

func (s *stage) passOn(c net.Conn, to string, delay time.Duration) {
	defer func() { _ = c.Close() }()
	buffer := make([]byte, 64<<10)
	n, err := c.Read(buffer)
	if err != nil {
		return
	}
	time.Sleep(delay)
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	_, _ = out.Write(buffer[:n])
	_ = out.SetReadDeadline(time.Now().Add(time.Second))
	got, err := out.Read(buffer)
	s.rec.line("proxy: %q delivered after %s, answered %d bytes, %v", strings.SplitN(string(buffer[:min(n, 60)]), "\r", 2)[0], delay, got, err)
	_, _ = c.Write(buffer[:got])
}

// oddPing has another writer send one ping with missing fields to each agent.
func oddPing(s *stage, trouble bool) ([]string, error) {
	if err := s.begin(3, 2, []string{"a", "r1-1"}, amount{cpu: 128000, memory: 524288, gpu: 8}); err != nil {
		return nil, err
	}
	if trouble {
		for _, p := range s.pingers {
			body := map[string]any{"service": service, "state": "ready", "born": time.Now().UnixMilli()}
			status, _, err := post(p.control, "/v1/instances/i-of-another/heartbeat", body, time.Second)
			s.rec.line("another writer: ping %v without the other fields -> %d %v", body, status, err)
		}
	}
	time.Sleep(2 * time.Second)
	k := kind{need: amount{cpu: 1000, memory: 1000, gpu: 1}, work: 2 * time.Second}
	id := newJobID()
	if !s.submit(id, "work", k, map[string]any{"count": 4, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 2000}) {
		return nil, fmt.Errorf("%w: the job was not accepted", errCannotRun)
	}
	return s.idleJobs(time.Now(), 25*time.Second, []string{id}), nil
}

// lasting submits a job of work items that last, one on each of some workers, and waits until
// they are at work.
func (s *stage) lasting(count, gpu int64) error {
	id := newJobID()
	k := kind{need: amount{cpu: 1000, memory: 1000, gpu: gpu}, lasts: true}
	if !s.submit(id, "serve", k, map[string]any{"count": count, "cpu": 1000, "mem_mb": 1000, "gpu": gpu, "anti_affinity": 1, "perpetual": true, "estimate_ms": 5000}) {
		return fmt.Errorf("%w: the lasting job was not accepted", errCannotRun)
	}
	if !eventually(5*time.Second, func() bool { on, _ := s.runs.count(id); return int64(on) == count }) {
		return fmt.Errorf("%w: the lasting job is not at work", errCannotRun)
	}
	time.Sleep(time.Second)
	return nil
}

// largeJobsWait has two jobs of 8 GPUs wait for room that work items that last hold on each
// worker, and small jobs of a less urgent queue come after them.
func largeJobsWait(s *stage, trouble bool) ([]string, error) {
	if err := s.begin(3, 2, []string{"a", "r1-1"}, amount{cpu: 128000, memory: 524288, gpu: 8}); err != nil {
		return nil, err
	}
	if err := s.lasting(2, 3); err != nil {
		return nil, err
	}
	if trouble {
		k := kind{need: amount{cpu: 8000, memory: 8000, gpu: 8}, work: 6800 * time.Millisecond}
		for range 2 {
			if !s.submit(newJobID(), "large", k, map[string]any{"count": 1, "cpu": 8000, "mem_mb": 8000, "gpu": 8, "estimate_ms": 6800}) {
				return nil, fmt.Errorf("%w: a large job was not accepted", errCannotRun)
			}
		}
		time.Sleep(time.Second)
	}
	k := kind{need: amount{cpu: 2000, memory: 2000, gpu: 1}, work: 3 * time.Second}
	var ids []string
	for range 3 {
		ids = append(ids, newJobID())
		if !s.submitTo(bulkPrefix, ids[len(ids)-1], "small", k, map[string]any{"count": 1, "cpu": 2000, "mem_mb": 2000, "gpu": 1, "estimate_ms": 3000}) {
			return nil, fmt.Errorf("%w: a small job was not accepted", errCannotRun)
		}
	}
	return s.idleJobs(time.Now(), 30*time.Second, ids), nil
}

// failsOnce has the first run of a work item fail on the only worker that has room for it.
func failsOnce(s *stage, trouble bool) ([]string, error) {
	if err := s.begin(3, 2, []string{"a", "r1-1"}, amount{cpu: 128000, memory: 524288, gpu: 8}); err != nil {
		return nil, err
	}
	if err := s.lasting(1, 5); err != nil {
		return nil, err
	}
	k := kind{need: amount{cpu: 2000, memory: 2000, gpu: 4}, work: 2 * time.Second}
	if trouble {
		k.fails = 1
	}
	id := newJobID()
	if !s.submit(id, "work", k, map[string]any{"count": 1, "cpu": 2000, "mem_mb": 2000, "gpu": 4, "estimate_ms": 2000}) {
		return nil, fmt.Errorf("%w: the job was not accepted", errCannotRun)
	}
	return s.idleJobs(time.Now(), 30*time.Second, []string{id}), nil
}
