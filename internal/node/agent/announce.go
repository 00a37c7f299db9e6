package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/home"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// initialInterval is the heartbeat interval before an entry sets one.
	initialInterval = time.Second
	// minInterval and maxInterval bound the interval that an entry may set.
	minInterval = 100 * time.Millisecond
	maxInterval = 10 * time.Minute
	// minReplyTimeout is the minimum time without a reply after which a stream
	// is closed.
	minReplyTimeout = 3 * time.Second
	// replyTimeoutIntervals is the number of heartbeat intervals without a reply
	// after which a stream is closed.
	replyTimeoutIntervals = 3
	// pingSlack is how late a keepalive ping of the entry may be before the
	// stream is closed. The time after which fleet.Table declares the agent lost
	// includes it.
	pingSlack = 3 * time.Second
	// minRetry and maxRetry bound the jittered backoff between streams.
	minRetry = 100 * time.Millisecond
	maxRetry = 3 * time.Second
	// isolationSlack is the minimum time that an agent has after the reply timeout
	// of its stream to find another entry before it counts as isolated. The home
	// entry declares the agent lost after the same timeout. A scheduler that
	// reaches no member of a gang waits 29 s from then before it restarts the gang.
	isolationSlack = 5 * time.Second
)

// announcer maintains one Announce stream to the home entry.
type announcer struct {
	agent *Agent
	// startedAt is the origin of the times passed to entries.
	startedAt time.Time
	// announceAllowed is closed once the agent may announce itself.
	announceAllowed chan struct{}

	mu      sync.Mutex
	entries *home.Candidates
	// up is true while a stream is open on which the entry has replied.
	up       bool
	interval time.Duration
	// lastReply is the time of the last reply of any entry, initially the start.
	lastReply time.Time
	// stream is the stream to the home entry, nil until the entry replies on it.
	// lastHeard is the time of the last activity on the previous stream.
	stream    stream
	lastHeard time.Time
	// keepalive is the maximum time between messages or pings of the last home
	// entry; 0 if the entry does not report one.
	keepalive time.Duration
	// version is the highest configuration version in force that an entry
	// reported; it never decreases.
	version int64
	// row is the current member row. Its sequence increases with each change and
	// with each stream, so that a loss reported by a previous home entry has a
	// lower sequence.
	row *inner.Member
}

func newAnnouncer(a *Agent) *announcer {
	now := time.Now()
	return &announcer{
		agent:     a,
		startedAt: now,
		entries: home.New(home.Config{
			Name: a.cfg.Name, Region: a.cfg.Region, Zone: a.cfg.Zone, Seeds: a.cfg.Entries,
		}),
		interval:        initialInterval,
		lastReply:       now,
		announceAllowed: make(chan struct{}),
	}
}

// now returns the time in the form that entries expects.
func (n *announcer) now() time.Duration { return time.Since(n.startedAt) }

// run keeps a stream open, choosing an entry for each new stream.
func (n *announcer) run(ctx context.Context) error {
	select {
	case <-n.announceAllowed:
	case <-ctx.Done():
		return nil
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRetry, maxRetry
	retry.Reset()
	for ctx.Err() == nil {
		end := n.session(ctx)
		if end != unanswered {
			retry.Reset()
		}
		if end == moved {
			continue
		}
		waitUntil(ctx, time.Now().Add(retry.NextBackOff()), nil)
	}
	return nil
}

// outcome is the way in which a stream ended.
type outcome uint8

const (
	unanswered outcome = iota
	answered
	// moved means that the agent left a responsive entry for a preferred one.
	moved
)

// session maintains one stream until it breaks, times out, or another entry is
// preferred as home.
func (n *announcer) session(ctx context.Context) outcome {
	n.mu.Lock()
	entry, ok := n.entries.Next(n.now())
	n.bumpSequence()
	n.mu.Unlock()
	if !ok {
		return unanswered
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The first reply is due within minReplyTimeout, whatever the heartbeat
	// interval is: an agent that is partitioned from most entries must find a
	// reachable one before isolation stops its tasks.
	watchdog := newWatchdog(minReplyTimeout, cancel)
	defer watchdog.stop()
	end := unanswered
	if s, err := n.agent.net.Announce(ctx, entry); err == nil {
		end = n.runStream(ctx, cancel, &receiver{
			announcer: n, entry: entry, stream: s, watchdog: watchdog,
			cancel: cancel, done: make(chan struct{}),
		})
	}
	if end == moved {
		n.agent.cfg.Log.Info("agent: moving to a preferred home entry", "from", entry)
		return moved
	}
	n.mu.Lock()
	n.up = false
	n.entries.Failed(n.now(), entry)
	n.mu.Unlock()
	n.agent.meters.reconnects.Inc(1)
	n.agent.cfg.Log.Info("agent: announce stream ended", "entry", entry, "answered", end == answered)
	return end
}

// runStream sends on a stream until it ends and then waits for its receiver.
func (n *announcer) runStream(ctx context.Context, cancel context.CancelFunc, r *receiver) outcome {
	go r.run()
	if err := (&sender{announcer: n, stream: r.stream}).run(ctx); err != nil {
		n.agent.cfg.Log.Debug("agent: sending on the announce stream failed", "entry", r.entry, "error", err)
	}
	cancel()
	r.stream.Close()
	<-r.done
	n.detach()
	return r.end
}

// replyTimeout returns the time without a reply after which a stream is closed.
// The caller holds mu.
func (n *announcer) replyTimeout() time.Duration {
	return max(minReplyTimeout, replyTimeoutIntervals*n.interval)
}

func (n *announcer) connected() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up
}

func (n *announcer) configVersion() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version
}

func (n *announcer) heartbeat() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.interval
}

// receiver reads the replies on one stream.
type receiver struct {
	announcer *announcer
	entry     string
	stream    stream
	watchdog  *watchdog
	cancel    context.CancelFunc
	// end may be read after done is closed.
	end  outcome
	done chan struct{}
}

func (r *receiver) run() {
	defer close(r.done)
	defer r.cancel()
	for {
		reply, err := r.stream.Recv()
		if err != nil {
			return
		}
		if r.end == unanswered {
			r.announcer.attach(r.stream, reply)
			r.end = answered
		}
		replyLimit, activityLimit, move := r.announcer.applyReply(r.entry, reply)
		if move {
			r.end = moved
			return
		}
		r.watchdog.extend(replyLimit, r.stream, activityLimit)
	}
}

// applyReply applies a reply. It returns how long the stream may now go without
// a reply and without any activity, and whether to move to a preferred home entry.
func (n *announcer) applyReply(entry string, reply *inner.AnnounceReply) (replyLimit, activityLimit time.Duration, move bool) {
	n.agent.gangs.Release(reply.GetRelease(), time.Now())
	n.agent.gangs.StopEnded(reply.GetOver(), "the log says that the attempt is over", time.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.up, n.lastReply = true, time.Now()
	now := n.now()
	n.entries.Answered(now, entry)
	n.entries.Learn(now, entriesIn(reply))
	if reply.GetFull() {
		n.entries.Full(now, entry)
	}
	if d := reply.GetHeartbeat().AsDuration(); d > 0 {
		before := n.interval
		n.interval = min(max(d, minInterval), maxInterval)
		if n.interval < before {
			// Wakes the sender, which waits for the end of the longer interval,
			// while the entry and its timeout use the new one.
			n.agent.rowChanged.notify()
		}
	}
	if reply.GetConfigVersion() > n.version {
		n.version = reply.GetConfigVersion()
		n.agent.record(chestnutpond.Event{
			Kind: chestnutpond.EventConfigInForce, Detail: fmt.Sprintf("version %d", n.version),
		})
	}
	if n.keepalive > 0 {
		activityLimit = n.keepalive + pingSlack
	}
	return n.replyTimeout(), activityLimit, n.entries.ShouldMove(now)
}

func entriesIn(reply *inner.AnnounceReply) []home.Entry {
	entries := make([]home.Entry, 0, len(reply.GetEntries()))
	for _, e := range reply.GetEntries() {
		entries = append(entries, home.Entry{Address: e.GetAddress(), Region: e.GetRegion(), Zone: e.GetZone()})
	}
	return entries
}

// nextRow builds the agent's row and compares it with the current one. A changed
// row gets the next sequence and becomes current, unless only the busy count
// differs and deferBusy is true; then the current row is returned with changeBusy.
func (n *announcer) nextRow(deferBusy bool) (*inner.Member, change) {
	n.mu.Lock()
	defer n.mu.Unlock()
	row := n.agent.memberRow(time.Now())
	c := compare(n.row, row)
	if c == changeNone || c == changeBusy && deferBusy {
		return n.row, c
	}
	row.Sequence = n.row.GetSequence() + 1
	n.row = row
	return row, c
}

// bumpSequence increments the sequence of the current row. The caller holds mu.
func (n *announcer) bumpSequence() {
	if n.row == nil {
		return
	}
	row := proto.Clone(n.row).(*inner.Member)
	row.Sequence++
	n.row = row
}

// change is the difference between two rows.
type change uint8

const (
	changeNone change = iota
	// changeBusy means that only the busy count differs.
	changeBusy
	changeRow
)

// compare returns the difference between two rows, ignoring their sequences. It
// sets row's sequence to that of old.
func compare(old, row *inner.Member) change {
	if old == nil {
		return changeRow
	}
	row.Sequence = old.GetSequence()
	if proto.Equal(old, row) {
		return changeNone
	}
	busy := row.GetUpstream().GetBusy()
	row.Upstream.Busy = old.GetUpstream().GetBusy()
	same := proto.Equal(old, row)
	row.Upstream.Busy = busy
	if same {
		return changeBusy
	}
	return changeRow
}

// memberRow returns the agent's row without a sequence. An upstream that is down
// has no slots. The accelerators are included once the worker runs no task of a
// previous incarnation.
func (a *Agent) memberRow(now time.Time) *inner.Member {
	s := a.slots.Status()
	m := &inner.Member{
		Name:        a.cfg.Name,
		Incarnation: a.cfg.Incarnation,
		Address:     a.cfg.Advertise,
		Region:      a.cfg.Region,
		Zone:        a.cfg.Zone,
		Rack:        a.cfg.Rack,
		Draining:    s.Draining,
		Tasks:       a.gangs.Rows(now),
		Upstream: &inner.Upstream{
			Connections: int32(a.cfg.Connections),
			Kinds:       a.cfg.Kinds,
			Busy:        int32(s.Busy),
			Up:          s.Up,
		},
	}
	if s.Up {
		m.Upstream.Slots = int32(a.cfg.Slots)
	}
	if a.gangs.Clean() {
		m.Accelerators = int32(a.cfg.Accelerators)
	}
	a.meters.busy.Update(int64(s.Busy))
	a.meters.tasks.Update(int64(len(m.Tasks)))
	return m
}
