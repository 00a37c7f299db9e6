package lead

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/core/plan"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// stream is the connection of an agent. Its fields are guarded by the manager's
// lock.
type stream struct {
	manager *Manager
	server  grpc.BidiStreamingServer[inner.WorkerReport, inner.WorkerOrders]
	agent   string
	address string
	// worker is the id of the agent's worker, or empty.
	worker string
	// reported is the sequence number of the newest report, answered that of the
	// newest report that has been answered.
	reported, answered int64
	// version is the version of the orders that were sent last, in the term of
	// epoch.
	version, epoch int64
	// roster is the version of the list of entries that was sent last.
	roster int64
	// lastReport is when the agent last reported.
	lastReport time.Duration
	notify     chan struct{}
	done       chan struct{}
}

// Attach implements inner.LeadServer.
func (m *Manager) Attach(server grpc.BidiStreamingServer[inner.WorkerReport, inner.WorkerOrders]) error {
	first, err := server.Recv()
	if err != nil {
		return err
	}
	if first.GetAgent() == "" {
		return status.Error(codes.InvalidArgument, "the first report names no agent")
	}
	s := &stream{
		manager: m, server: server, agent: first.GetAgent(), address: first.GetAddress(), roster: -1,
		notify: make(chan struct{}, 1), done: make(chan struct{}),
	}
	m.attach(s)
	defer m.detach(s)
	go s.sendLoop()
	for report := first; ; {
		s.handleReport(report)
		if report, err = server.Recv(); err != nil {
			return err
		}
	}
}

// attach registers s as the newest stream of its agent.
func (m *Manager) attach(s *stream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streams[s.agent] = s
	m.cfg.Log.Info("agent attached", "agent", s.agent, "address", s.address)
}

func (m *Manager) detach(s *stream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(s.done)
	if m.streams[s.agent] == s {
		delete(m.streams, s.agent)
	}
	m.cfg.Log.Info("agent detached", "agent", s.agent)
}

// Agents returns the addresses of up to limit attached agents.
func (m *Manager) Agents(limit int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for _, s := range m.streams {
		if len(addresses) == limit {
			break
		}
		addresses = append(addresses, s.address)
	}
	return addresses
}

// agentTimeout is how long an agent counts as reporting after its last report. Idle
// streams report once a second.
const agentTimeout = 2500 * time.Millisecond

// reportingAgents returns the number of agents that currently report. The lock is
// held.
func (m *Manager) reportingAgents() int32 {
	now := m.cfg.Now()
	count := int32(0)
	for _, s := range m.streams {
		if now-s.lastReport < agentTimeout {
			count++
		}
	}
	return count
}

// handleReport records a report and, if this entry leads, passes it to the planner. A report
// that was made before the agent knew of this term may be outdated: the connection may have held
// it up while the worker started again and a former leader placed runs on it.
func (s *stream) handleReport(r *inner.WorkerReport) {
	m := s.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	s.reported, s.lastReport = r.GetSequence(), m.cfg.Now()
	if w := r.GetWorker(); w != nil {
		s.worker = w.GetId()
	}
	if m.term != nil && m.streams[s.agent] == s && r.GetWorker() != nil && r.GetEpoch() == m.term.epoch {
		now := m.cfg.Now()
		before := m.term.planner.OrdersVersion(s.worker)
		m.term.planner.Report(now, decodeReport(r, m.cfg.Log))
		if m.term.planner.OrdersVersion(s.worker) != before {
			m.wakeUp()
		}
	}
	s.wake()
}

func (s *stream) wake() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// sendLoop sends messages to the agent until the stream ends.
func (s *stream) sendLoop() {
	for {
		select {
		case <-s.done:
			return
		case <-s.notify:
		}
		message := s.nextMessage()
		if message == nil {
			continue
		}
		if err := s.server.Send(message); err != nil {
			// The stream has ended; Recv in Attach returns the error.
			return
		}
	}
}

// nextMessage returns the next message to the agent.
func (s *stream) nextMessage() *inner.WorkerOrders {
	m := s.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	leader := m.table.Leader()
	message := &inner.WorkerOrders{Epoch: leader.GetEpoch(), Leader: leader.GetEntry()}
	if v := m.cfg.Roster.Version(); v != s.roster {
		s.roster = v
		message.Entries = m.cfg.Roster.Entries()
	}
	if m.term == nil || m.streams[s.agent] != s {
		s.answered = s.reported
		return message
	}
	message.Leads, message.GrantSequence = true, s.reported
	now := m.cfg.Now()
	s.answered = s.reported
	m.holdStarts(m.term, now)
	if orders, known := m.term.planner.Orders(now, s.worker); known {
		encodeOrders(message, orders)
		if m.mayGrant(m.term) {
			// A grant is sent only together with the orders that it covers, so that
			// it never extends the validity of a former leader's orders.
			m.term.planner.LeaseGranted(now, s.worker)
			message.GrantMs = m.cfg.Lease.Milliseconds()
		}
	}
	s.version, s.epoch = m.term.planner.OrdersVersion(s.worker), m.term.epoch
	return message
}

// wakeStreams makes all streams send a message. The lock is held.
func (m *Manager) wakeStreams() {
	for _, s := range m.streams {
		s.wake()
	}
}

// wakeChangedStreams makes the streams whose orders have changed send a message.
// The lock is held.
func (m *Manager) wakeChangedStreams() {
	if m.term == nil {
		return
	}
	for _, s := range m.streams {
		if s.epoch != m.term.epoch || s.version != m.term.planner.OrdersVersion(s.worker) {
			s.wake()
		}
	}
}

func encodeOrders(message *inner.WorkerOrders, o plan.Orders) {
	message.Worker, message.Born, message.Fence = o.Life.ID, o.Life.StartedMs, o.Fence
	message.Acknowledged = o.Acknowledged
	for _, s := range o.Paces {
		message.Paces = append(message.Paces, &inner.PaceRow{Task: s.Task.String(), Run: s.Run, Percent: int32(s.Percent)})
	}
	for _, s := range o.Starts {
		message.Starts = append(message.Starts, &inner.StartRow{
			Task: s.Task.String(), Run: s.Run, Payload: s.Payload, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
			FirstBoot: s.FirstBoot,
		})
	}
	for _, s := range o.Stops {
		message.Stops = append(message.Stops, &inner.StopRow{Task: s.Task.String(), Run: s.Run})
	}
}

// logger is the part of a log that decoding uses.
type logger interface {
	Error(msg string, args ...any)
}

// decodeReport converts a report for the planner. Rows with an invalid task
// reference are skipped.
func decodeReport(r *inner.WorkerReport, log logger) plan.Report {
	w := r.GetWorker()
	rep := plan.Report{
		Agent: r.GetAgent(), Boot: r.GetBoot(),
		Info: chestnutpond.WorkerInfo{
			ID: w.GetId(), StartedMs: w.GetBorn(), Service: w.GetService(), Zone: w.GetZone(), Rack: w.GetRack(),
			Host: w.GetHost(), Labels: w.GetLabels(), Capacity: graph.DecodeVector(w.GetCapacity()),
			State:           chestnutpond.WorkerReady,
			Remaining:       time.Duration(w.GetRemainingMs()) * time.Millisecond,
			WarmupRemaining: time.Duration(w.GetColdMs()) * time.Millisecond,
		},
		Left: r.GetLeft(), EndsTruncated: r.GetEndsTruncated(),
		Clock:  time.Duration(r.GetClockMs()) * time.Millisecond,
		Listed: r.GetListed(), Fence: r.GetListedFence(), Silent: time.Duration(r.GetSilentMs()) * time.Millisecond,
		Unhealthy: r.GetUnhealthy() || r.GetLeaving(), LeaseOver: r.GetLeaseOver(),
	}
	if w.GetDraining() {
		rep.Info.State = chestnutpond.WorkerDraining
	}
	task := func(text string) (chestnutpond.TaskRef, bool) {
		ref, err := chestnutpond.ParseTaskRef(text)
		if err != nil {
			log.Error("skipping report row with an invalid task reference", "agent", r.GetAgent(), "error", err)
		}
		return ref, err == nil
	}
	for _, row := range r.GetRunning() {
		if ref, ok := task(row.GetTask()); ok {
			rep.Running = append(rep.Running, chestnutpond.RunStatus{
				Task: ref, Run: row.GetRun(), Checkpoint: row.GetCheckpoint(), Percent: int(row.GetPercent()), Load: row.GetLoad(),
			})
		}
	}
	for _, row := range r.GetEnded() {
		if ref, ok := task(row.GetTask()); ok {
			rep.Ended = append(rep.Ended, chestnutpond.RunEnd{
				Sequence: row.GetSequence(), Task: ref, Run: row.GetRun(),
				Ending: chestnutpond.RunOutcome(row.GetEnding()), Checkpoint: row.GetCheckpoint(),
			})
		}
	}
	refusals := func(rows []*inner.RefusalRow) []plan.RunRefusal {
		var all []plan.RunRefusal
		for _, row := range rows {
			if ref, ok := task(row.GetTask()); ok {
				all = append(all, plan.RunRefusal{Task: ref, Run: row.GetRun(), Refusal: chestnutpond.Refusal(row.GetRefusal())})
			}
		}
		return all
	}
	for _, row := range r.GetDoubts() {
		if ref, ok := task(row.GetTask()); ok {
			age := time.Duration(row.GetAgeMs()) * time.Millisecond
			rep.UnansweredStarts = append(rep.UnansweredStarts, plan.UnansweredStart{Task: ref, Run: row.GetRun(), Age: age})
		}
	}
	rep.Refused, rep.Stopped, rep.Lapsed = refusals(r.GetRefused()), refusals(r.GetStopped()), refusals(r.GetLapsed())
	return rep
}
