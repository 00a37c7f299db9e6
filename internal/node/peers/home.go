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
	// signal holds one element while the stream has something to send.
	signal chan struct{}
	// received gets the agent's messages; it is closed when the stream ends.
	received chan *inner.AnnounceRequest

	// The fields below belong to the goroutine of serve.

	name string
	// version is the document version in force at the agent.
	version int64
	// sentVersion, sentInterval and sentEntries are what this stream sent last.
	sentVersion  int64
	sentInterval time.Duration
	sentEntries  []place
	// greeted means that the first answer was sent.
	greeted bool
	// full is true until the agent was told to look for another home.
	full bool
}

// Announce serves one agent until its stream ends.
func (g *Group) Announce(stream grpc.BidiStreamingServer[inner.AnnounceRequest, inner.AnnounceReply]) error {
	s := &session{
		group: g, stream: stream, signal: make(chan struct{}, 1),
		received: make(chan *inner.AnnounceRequest),
	}
	g.mu.Lock()
	g.notices[s] = struct{}{}
	g.mu.Unlock()
	defer s.close()
	go s.run()
	return s.serve()
}

// run receives until the stream ends. serve ends the stream when it returns.
func (s *session) run() {
	defer close(s.received)
	for {
		req, err := s.stream.Recv()
		if err != nil {
			return
		}
		select {
		case s.received <- req:
		case <-s.stream.Context().Done():
			return
		}
	}
}

func (s *session) serve() error {
	var asked bool
	for {
		select {
		case req, ok := <-s.received:
			if !ok {
				return nil
			}
			if !s.hear(req) {
				return status.Error(codes.InvalidArgument, "the first message must carry the member row")
			}
			asked = true
		case <-s.signal:
			asked = false
		}
		if s.group.isDraining() {
			return status.Error(codes.Unavailable, "entry is draining")
		}
		if !s.group.vouches() {
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

// hear takes in one message. It reports whether the agent is known.
func (s *session) hear(req *inner.AnnounceRequest) bool {
	s.group.meters.heartbeats.Inc(1)
	s.version = max(s.version, req.GetConfigVersion())
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
	s.group.hear(m)
	if first {
		s.full = s.group.full(m)
	}
	return true
}

// register makes this the stream of the agent.
func (s *session) register(name string) {
	if s.name == name {
		return
	}
	s.name = name
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.streams[name] = s
}

func (g *Group) heartbeat(name string) {
	now := g.Now()
	g.mu.Lock()
	row, ok := g.table.Get(name)
	revived := ok && row.Lost
	if revived {
		g.table.Hear(now, row.Member)
		row, _ = g.table.Get(name)
		g.bump()
	}
	g.table.Heartbeat(now, name)
	g.mu.Unlock()
	if revived {
		g.cfg.Listener.AgentChanged(row)
	}
}

func (g *Group) hear(m *inner.Member) {
	now := g.Now()
	g.mu.Lock()
	old, known := g.table.Get(m.GetName())
	news := g.table.Hear(now, m)
	row, _ := g.table.Get(m.GetName())
	if news {
		g.bump()
	}
	g.mu.Unlock()
	if !news {
		return
	}
	g.noteHeard(old, known, m)
	g.cfg.Listener.AgentChanged(row)
}

func (g *Group) noteHeard(old fleet.Row, known bool, m *inner.Member) {
	if !known || old.Member.GetIncarnation() < m.GetIncarnation() {
		detail := fmt.Sprintf("incarnation %d", m.GetIncarnation())
		g.cfg.Events.Add(chestnutpond.Event{Kind: chestnutpond.EventJoined, Upstream: m.GetName(), Detail: detail})
	}
	if m.GetDraining() && (!known || !old.Member.GetDraining()) {
		g.cfg.Events.Add(chestnutpond.Event{Kind: chestnutpond.EventLeaving, Upstream: m.GetName()})
	}
}

// send tells the agent what is new. Every message of the agent is answered, even
// without news; a change of the log is not, because most changes concern other
// agents. An agent that did not announce its row yet gets nothing.
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

// reply holds only what changed since the last one on this stream, so that the
// answer to a heartbeat is empty as a rule.
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
	if entries := g.places(); !slices.Equal(entries, s.sentEntries) {
		s.sentEntries = entries
		reply.Entries = placeMessages(entries)
	}
	reply.Full, s.full = s.full, false
	if !s.greeted {
		s.greeted = true
		reply.Keepalive = durationpb.New(conns.PingEvery)
	}
	// A job that the fold does not know may be ahead of it, until the log has
	// been read for long enough after the row came.
	settled := g.cfg.Tail.Available() && g.Now()-row.Since > unknownGrace
	g.cfg.Tail.View(func(st *ledger.State) {
		s.addConfig(reply, st)
		if known {
			reply.Release = endedTasks(row.Member, st, settled)
			reply.Over = overTasks(row.Member, st)
		}
	})
	return reply
}

func (s *session) addConfig(reply *inner.AnnounceReply, st *ledger.State) {
	config, ok := st.Current()
	if ok && config.Version > s.version && config.Version > s.sentVersion {
		reply.ConfigVersion = config.Version
		s.sentVersion = config.Version
	}
}

// endedTasks returns the ids of the ended tasks of an agent whose end the log
// knows, so that the agent may forget them. A task of a job that the fold does
// not know is kept, unless settled says that the fold would know a live job.
func endedTasks(m *inner.Member, st *ledger.State, settled bool) []string {
	var ids []string
	for _, t := range m.GetTasks() {
		if !ended(t.GetState()) {
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

// overTasks returns the ids of the tasks of an agent that wait or run although
// the log says that their attempt is over. A job that the fold does not know
// may be ahead of it.
func overTasks(m *inner.Member, st *ledger.State) []string {
	var ids []string
	for _, t := range m.GetTasks() {
		if ended(t.GetState()) || t.GetState() == inner.TaskState_TASK_STATE_HELD {
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

func ended(s inner.TaskState) bool {
	switch s {
	case inner.TaskState_TASK_STATE_STOPPED, inner.TaskState_TASK_STATE_COMPLETED, inner.TaskState_TASK_STATE_FAILED:
		return true
	}
	return false
}

// notice tells the stream that there may be something to send. It never blocks.
func (s *session) notice() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

func (s *session) close() {
	g := s.group
	g.mu.Lock()
	delete(g.notices, s)
	if g.streams[s.name] == s {
		delete(g.streams, s.name)
		g.table.Depart(g.Now(), s.name)
	}
	g.mu.Unlock()
}
