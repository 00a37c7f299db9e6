package peers

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fleet"
	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/wire/conns"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// session is one Announce stream of an agent.
type session struct {
	group  *Group
	stream grpc.BidiStreamingServer[inner.AnnounceRequest, inner.AnnounceReply]
	// wakeCh holds one element while a wake-up is pending.
	wakeCh chan struct{}
	// requests receives the agent's messages; it is closed when the stream ends.
	requests chan *inner.AnnounceRequest

	// The fields below are only accessed by the goroutine that runs serve.

	name string
	// configVersion is the version of the document in force at the agent.
	configVersion int64
	// sentVersion, sentInterval and sentEntries are the values last sent.
	sentVersion  int64
	sentInterval time.Duration
	sentEntries  []entryAddress
	// keepaliveSent means that the first reply, which carries the keepalive, was made.
	keepaliveSent bool
	// rehome means that the next reply asks the agent to look for another home.
	rehome bool
}

// Announce serves one agent until its stream ends.
func (g *Group) Announce(stream grpc.BidiStreamingServer[inner.AnnounceRequest, inner.AnnounceReply]) error {
	s := &session{
		group: g, stream: stream, wakeCh: make(chan struct{}, 1),
		requests: make(chan *inner.AnnounceRequest),
	}
	g.mu.Lock()
	g.sessions[s] = struct{}{}
	g.mu.Unlock()
	defer s.close()
	go s.receive()
	return s.serve()
}

// receive reads messages until the stream ends, at the latest when serve returns.
func (s *session) receive() {
	defer close(s.requests)
	for {
		req, err := s.stream.Recv()
		if err != nil {
			return
		}
		select {
		case s.requests <- req:
		case <-s.stream.Context().Done():
			return
		}
	}
}

func (s *session) serve() error {
	var asked bool
	for {
		select {
		case req, ok := <-s.requests:
			if !ok {
				return nil
			}
			if !s.handle(req) {
				return status.Error(codes.InvalidArgument, "the first message must carry the member row")
			}
			asked = true
		case <-s.wakeCh:
			asked = false
		}
		if s.group.isDraining() {
			return status.Error(codes.Unavailable, "entry is draining")
		}
		if !s.group.isTrusted() {
			return status.Error(codes.Unavailable, "entry is cut off from the log and from most entries")
		}
		if err := s.send(asked); err != nil {
			return err
		}
	}
}

func (g *Group) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// handle processes one message. It reports whether the agent is known.
func (s *session) handle(req *inner.AnnounceRequest) bool {
	s.group.metrics.heartbeats.Inc(1)
	s.configVersion = max(s.configVersion, req.GetConfigVersion())
	m := req.GetMember()
	if m == nil {
		if s.name == "" {
			return false
		}
		s.group.heartbeat(s.name)
		return true
	}
	first := s.name == ""
	s.register(m.GetName())
	s.group.updateMember(m)
	if first {
		s.rehome = s.group.shouldRehome(m)
	}
	return true
}

// register makes this the current stream of the agent.
func (s *session) register(name string) {
	if s.name == name {
		return
	}
	s.name = name
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.agentSessions[name] = s
}

func (g *Group) heartbeat(name string) {
	now := g.Now()
	g.mu.Lock()
	row, ok := g.table.Get(name)
	revived := ok && row.Lost
	if revived {
		g.table.PutLocal(now, row.Member)
		row, _ = g.table.Get(name)
		g.wakeExchanges()
	}
	g.table.Heartbeat(now, name)
	g.mu.Unlock()
	if revived {
		g.cfg.Listener.AgentChanged(row)
	}
}

func (g *Group) updateMember(m *inner.Member) {
	now := g.Now()
	g.mu.Lock()
	old, known := g.table.Get(m.GetName())
	changed := g.table.PutLocal(now, m)
	row, _ := g.table.Get(m.GetName())
	if changed {
		g.wakeExchanges()
	}
	g.mu.Unlock()
	if !changed {
		return
	}
	g.reportMember(old, known, m)
	g.cfg.Listener.AgentChanged(row)
}

func (g *Group) reportMember(old fleet.Row, known bool, m *inner.Member) {
	if !known || old.Member.GetIncarnation() < m.GetIncarnation() {
		detail := fmt.Sprintf("incarnation %d", m.GetIncarnation())
		g.cfg.Events.Add(chestnutpond.Event{Kind: chestnutpond.EventJoined, Upstream: m.GetName(), Detail: detail})
	}
	if m.GetDraining() && (!known || !old.Member.GetDraining()) {
		g.cfg.Events.Add(chestnutpond.Event{Kind: chestnutpond.EventLeaving, Upstream: m.GetName()})
	}
}

// send sends the changes since the last reply. Every message of the agent gets a
// reply, even an empty one; a wake-up with nothing to send gets none, because most
// log changes concern other agents. Nothing is sent before the agent has announced
// its row.
func (s *session) send(asked bool) error {
	if s.name == "" {
		return nil
	}
	reply := s.reply()
	if !asked && proto.Size(reply) == 0 {
		return nil
	}
	return s.stream.Send(reply)
}

// reply returns only what changed since the last reply on this stream, so that the
// reply to a heartbeat is usually empty.
func (s *session) reply() *inner.AnnounceReply {
	g := s.group
	g.mu.Lock()
	interval := g.table.Interval()
	row, known := g.table.Get(s.name)
	g.mu.Unlock()
	reply := &inner.AnnounceReply{}
	if interval != s.sentInterval {
		s.sentInterval = interval
		reply.Heartbeat = durationpb.New(interval)
	}
	if entries := g.liveEntries(); !slices.Equal(entries, s.sentEntries) {
		s.sentEntries = entries
		reply.Entries = entryMessages(entries)
	}
	reply.Full, s.rehome = s.rehome, false
	if !s.keepaliveSent {
		s.keepaliveSent = true
		reply.Keepalive = durationpb.New(conns.PingEvery)
	}
	// A job that is missing from the fold may not have been read yet, until the
	// log has been available for long enough after the row arrived.
	settled := g.cfg.Tail.Available() && g.Now()-row.Since > unknownJobGrace
	g.cfg.Tail.View(func(st *ledger.State) {
		s.addConfig(reply, st)
		if known {
			reply.Release = releasableTasks(row.Member, st, settled)
			reply.Over = obsoleteTasks(row.Member, st)
		}
	})
	return reply
}

func (s *session) addConfig(reply *inner.AnnounceReply, st *ledger.State) {
	config, ok := st.Current()
	if ok && config.Version > s.configVersion && config.Version > s.sentVersion {
		reply.ConfigVersion = config.Version
		s.sentVersion = config.Version
	}
}

// releasableTasks returns the ids of the ended tasks of an agent whose end is
// recorded in the log, so that the agent may forget them. A task of a job that is
// not in the fold is kept, unless settled means that a live job would be in it.
func releasableTasks(m *inner.Member, st *ledger.State, settled bool) []string {
	var ids []string
	for _, t := range m.GetTasks() {
		if !isEnded(t.GetState()) {
			continue
		}
		job, ok := st.Job(chestnutpond.JobID(t.GetJob()))
		if !ok && !settled {
			continue
		}
		current := ok && job.Attempt == t.GetAttempt()
		open := current && !job.State.Final() && job.State != chestnutpond.JobQueued
		// A task of an attempt that the fold has not reached yet is kept.
		ahead := ok && t.GetAttempt() > job.Attempt
		if !open && !ahead {
			ids = append(ids, taskID(t))
		}
	}
	return ids
}

// obsoleteTasks returns the ids of an agent's waiting or running tasks whose attempt
// is over according to the log. Tasks of jobs that are not in the fold are skipped,
// because the fold may be behind.
func obsoleteTasks(m *inner.Member, st *ledger.State) []string {
	var ids []string
	for _, t := range m.GetTasks() {
		if isEnded(t.GetState()) || t.GetState() == inner.TaskState_TASK_STATE_HELD {
			continue
		}
		job, ok := st.Job(chestnutpond.JobID(t.GetJob()))
		if !ok || t.GetAttempt() > job.Attempt {
			continue
		}
		waits := job.State == chestnutpond.JobQueued
		if t.GetAttempt() < job.Attempt || waits || job.State.Final() {
			ids = append(ids, taskID(t))
		}
	}
	return ids
}

func taskID(t *inner.Task) string {
	return fmt.Sprintf("%s.%d.%d", t.GetJob(), t.GetAttempt(), t.GetMember())
}

func isEnded(s inner.TaskState) bool {
	switch s {
	case inner.TaskState_TASK_STATE_STOPPED, inner.TaskState_TASK_STATE_COMPLETED, inner.TaskState_TASK_STATE_FAILED:
		return true
	}
	return false
}

// wake signals that there may be something to send. It never blocks.
func (s *session) wake() {
	select {
	case s.wakeCh <- struct{}{}:
	default:
	}
}

func (s *session) close() {
	g := s.group
	g.mu.Lock()
	delete(g.sessions, s)
	if g.agentSessions[s.name] == s {
		delete(g.agentSessions, s.name)
		g.table.Disconnect(g.Now(), s.name)
	}
	g.mu.Unlock()
}
