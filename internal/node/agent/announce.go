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
	// firstInterval is the heartbeat interval until an entry sets one.
	firstInterval = time.Second
	// minInterval and maxInterval bound what an entry may set.
	minInterval = 100 * time.Millisecond
	maxInterval = 10 * time.Minute
	// minSilence is the least time after which a silent stream is given up.
	minSilence = 3 * time.Second
	// silentIntervals is the number of silent heartbeat intervals after which a
	// stream is given up.
	silentIntervals = 3
	// pingSlack is how late a ping of the entry may be before the stream is given
	// up. The time in which fleet.Table calls the agent lost counts on it.
	pingSlack = 3 * time.Second
	// firstRetry and lastRetry bound the jittered pause before the next stream.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 3 * time.Second
	// isolationSlack is the least time that an agent has after a silent stream to
	// find another entry before it counts as isolated. A scheduler waits 29 s after the home entry
	// declared the agent lost, which it does after the same silence, before it
	// starts a gang again of which it can reach no member.
	isolationSlack = 5 * time.Second
)

// announcer keeps one Announce stream to the home entry.
type announcer struct {
	agent *Agent
	// began is the zero of the list's time.
	began time.Time
	// settled is closed when the agent may announce itself.
	settled chan struct{}

	mu   sync.Mutex
	list *home.List
	// up is true while the open stream has been answered.
	up       bool
	interval time.Duration
	// answered is the time of the newest answer of any entry, or of the start.
	answered time.Time
	// stream is the one of the home, nil while none has been answered, and heard
	// the newest sign on the one before.
	stream stream
	heard  time.Time
	// keepalive is how often the newest home sends something at least; 0 if it
	// does not say.
	keepalive time.Duration
	// version is the highest document version in force at an entry that answered;
	// it never goes down.
	version int64
	// row is the newest row. Its sequence grows with each change and with each
	// stream, so that a loss that a former home reports is older.
	row *inner.Member
}

func newAnnouncer(a *Agent) *announcer {
	now := time.Now()
	return &announcer{
		agent: a,
		began: now,
		list: home.New(home.Config{
			Name: a.cfg.Name, Region: a.cfg.Region, Zone: a.cfg.Zone, Seeds: a.cfg.Entries,
		}),
		interval: firstInterval,
		answered: now,
		settled:  make(chan struct{}),
	}
}

// now is the time that the list takes.
func (n *announcer) now() time.Duration { return time.Since(n.began) }

// run opens a stream to one entry after another.
func (n *announcer) run(ctx context.Context) error {
	select {
	case <-n.settled:
	case <-ctx.Done():
		return nil
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = firstRetry, lastRetry
	retry.Reset()
	for ctx.Err() == nil {
		end := n.session(ctx)
		if end != unanswered {
			retry.Reset()
		}
		if end == moved {
			continue
		}
		wait(ctx, time.Now().Add(retry.NextBackOff()), nil)
	}
	return nil
}

// outcome says how a stream ended.
type outcome uint8

const (
	unanswered outcome = iota
	answered
	// moved means that the agent left an entry that answers for a better one.
	moved
)

// session holds one stream until it breaks, is silent, or another entry is a
// better home.
func (n *announcer) session(ctx context.Context) outcome {
	n.mu.Lock()
	entry, ok := n.list.Next(n.now())
	n.raise()
	n.mu.Unlock()
	if !ok {
		return unanswered
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// An entry that does not answer at first is left after minSilence, whatever
	// the heartbeat interval is: an agent that is cut off from most entries must
	// find one that it reaches before its isolation stops its tasks.
	watchdog := newWatchdog(minSilence, cancel)
	defer watchdog.stop()
	end := unanswered
	if s, err := n.agent.net.Announce(ctx, entry); err == nil {
		end = n.converse(ctx, cancel, &listener{
			announcer: n, entry: entry, stream: s, watchdog: watchdog,
			cancel: cancel, done: make(chan struct{}),
		})
	}
	if end == moved {
		n.agent.cfg.Log.Info("agent: moving to a better home entry", "from", entry)
		return moved
	}
	n.mu.Lock()
	n.up = false
	n.list.Failed(n.now(), entry)
	n.mu.Unlock()
	n.agent.meters.reconnects.Inc(1)
	n.agent.cfg.Log.Info("agent: announce stream ended", "entry", entry, "answered", end == answered)
	return end
}

// converse sends on a stream until it ends and then waits for its listener.
func (n *announcer) converse(ctx context.Context, cancel context.CancelFunc, l *listener) outcome {
	go l.run()
	if err := (&speaker{announcer: n, stream: l.stream}).talk(ctx); err != nil {
		n.agent.cfg.Log.Debug("agent: announce failed", "entry", l.entry, "error", err)
	}
	cancel()
	l.stream.Close()
	<-l.done
	n.detach()
	return l.end
}

// silence is the time without an answer after which a stream is given up.
func (n *announcer) silence() time.Duration {
	return max(minSilence, silentIntervals*n.interval)
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

// listener reads the answers on one stream.
type listener struct {
	announcer *announcer
	entry     string
	stream    stream
	watchdog  *watchdog
	cancel    context.CancelFunc
	// end may be read once done has closed.
	end  outcome
	done chan struct{}
}

func (l *listener) run() {
	defer close(l.done)
	defer l.cancel()
	for {
		reply, err := l.stream.Recv()
		if err != nil {
			return
		}
		if l.end == unanswered {
			l.announcer.attach(l.stream, reply)
			l.end = answered
		}
		silence, quiet, move := l.announcer.take(l.entry, reply)
		if move {
			l.end = moved
			return
		}
		l.watchdog.answered(silence, l.stream, quiet)
	}
}

// take applies an answer. It returns how long the stream may be without an answer
// now, and without any sign of the entry, and whether to leave it for a better home.
func (n *announcer) take(entry string, reply *inner.AnnounceReply) (silence, quiet time.Duration, move bool) {
	n.agent.gangs.Release(reply.GetRelease(), time.Now())
	n.agent.gangs.Over(reply.GetOver(), "the log says that the attempt is over", time.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.up, n.answered = true, time.Now()
	now := n.now()
	n.list.Good(now, entry)
	n.list.Learn(now, entriesOf(reply))
	if reply.GetFull() {
		n.list.Full(now, entry)
	}
	if d := reply.GetHeartbeat().AsDuration(); d > 0 {
		before := n.interval
		n.interval = min(max(d, minInterval), maxInterval)
		if n.interval < before {
			// The speaker waits for the end of the former interval, which the
			// entry, and the limit of its silence, do not.
			n.agent.news.signal()
		}
	}
	if reply.GetConfigVersion() > n.version {
		n.version = reply.GetConfigVersion()
		n.agent.record(chestnutpond.Event{
			Kind: chestnutpond.EventConfigInForce, Detail: fmt.Sprintf("version %d", n.version),
		})
	}
	if n.keepalive > 0 {
		quiet = n.keepalive + pingSlack
	}
	return n.silence(), quiet, n.list.Move(now)
}

func entriesOf(reply *inner.AnnounceReply) []home.Entry {
	entries := make([]home.Entry, 0, len(reply.GetEntries()))
	for _, e := range reply.GetEntries() {
		entries = append(entries, home.Entry{Address: e.GetAddress(), Region: e.GetRegion(), Zone: e.GetZone()})
	}
	return entries
}

// current builds the agent's row and compares it with the newest one. A changed
// row gets the next sequence, unless only the busy count differs and quiet is
// true; then the newest row is returned with changeBusy.
func (n *announcer) current(quiet bool) (*inner.Member, change) {
	n.mu.Lock()
	defer n.mu.Unlock()
	row := n.agent.member(time.Now())
	c := compare(n.row, row)
	if c == changeNone || c == changeBusy && quiet {
		return n.row, c
	}
	row.Sequence = n.row.GetSequence() + 1
	n.row = row
	return row, c
}

// raise gives the newest row the next sequence. The caller holds mu.
func (n *announcer) raise() {
	if n.row == nil {
		return
	}
	row := proto.Clone(n.row).(*inner.Member)
	row.Sequence++
	n.row = row
}

// change says how two rows differ.
type change uint8

const (
	changeNone change = iota
	// changeBusy means that only the busy count differs.
	changeBusy
	changeRow
)

// compare ignores the sequences.
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

// member returns the agent's row without a sequence. An upstream that is down
// has no slots, and accelerators count once the worker holds nothing of a former
// incarnation.
func (a *Agent) member(now time.Time) *inner.Member {
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
