package runner

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// linkCheckInterval is how often the set of links is checked.
	linkCheckInterval = 100 * time.Millisecond
	// spareLinks is the number of links in addition to the one to the leader. The
	// agent learns of a new leader through them.
	spareLinks = 2
	// failedEntryPenalty is how long an entry whose link failed is chosen after all
	// others.
	failedEntryPenalty = 2 * time.Second
	// reportInterval is the time between two reports to the leader, each of which
	// renews the grant; idleReportInterval is the same for links to other entries.
	reportInterval     = 400 * time.Millisecond
	idleReportInterval = time.Second
	// linkTimeout is how long an entry may leave a report unanswered before the
	// link is replaced.
	linkTimeout = 1200 * time.Millisecond
	// attachConnection is the use under which the mesh keeps connections for links.
	attachConnection = "attach"
)

// linkManager maintains the links to the leader and to a few other entries.
type linkManager struct {
	agent *Agent
	links map[string]*link
	// failedAt has when the link to an address last failed.
	failedAt map[string]time.Duration
}

// link is an attach stream to an entry.
type link struct {
	agent   *Agent
	address string
	cancel  context.CancelFunc
	ended   chan struct{}
	stream  grpc.BidiStreamingClient[inner.WorkerReport, inner.WorkerOrders]
	// reportNow makes the link send a report now.
	reportNow chan struct{}

	// The fields below are guarded by the agent's lock.
	//
	// sequence numbers the reports; sentAt has the send times of those that are
	// unanswered.
	sequence int64
	sentAt   map[int64]time.Duration
	// unansweredSince is when the first report after the entry's last message was
	// sent, or 0.
	unansweredSince time.Duration
	// leads means that the entry has stated that it is the leader, in the term of epoch.
	leads bool
	epoch int64
}

func (m *linkManager) loop(ctx context.Context) {
	m.failedAt = map[string]time.Duration{}
	for ctx.Err() == nil {
		m.removeEnded()
		for _, address := range m.wantedAddresses() {
			if m.links[address] == nil {
				m.links[address] = m.agent.dial(ctx, address)
			}
		}
		m.closeUnwanted()
		sleep(ctx, linkCheckInterval)
	}
}

// removeEnded removes the links that have ended.
func (m *linkManager) removeEnded() {
	now := m.agent.cfg.Now()
	for address, l := range m.links {
		select {
		case <-l.ended:
			delete(m.links, address)
			m.failedAt[address] = now
		default:
		}
	}
	for address, at := range m.failedAt {
		if now-at > failedEntryPenalty {
			delete(m.failedAt, address)
		}
	}
}

// wantedAddresses returns the addresses of the entries to keep links to.
func (m *linkManager) wantedAddresses() []string {
	a := m.agent
	a.mu.Lock()
	leader := a.leader.GetAddress()
	a.mu.Unlock()
	var addresses []string
	if leader != "" {
		addresses = append(addresses, leader)
	}
	others := a.cfg.Roster.PeerAddresses(a.cfg.Zone, a.cfg.Region)
	for _, failed := range []bool{false, true} {
		for _, o := range others {
			_, hasFailed := m.failedAt[o]
			if hasFailed == failed && len(addresses) < 1+spareLinks && !slices.Contains(addresses, o) {
				addresses = append(addresses, o)
			}
		}
	}
	return addresses
}

// closeUnwanted closes the links in excess of the limit that are no longer wanted.
func (m *linkManager) closeUnwanted() {
	wanted := m.wantedAddresses()
	for address, l := range m.links {
		if len(m.links) > 1+spareLinks && !slices.Contains(wanted, address) {
			l.cancel()
		}
	}
}

// dial opens a link.
func (a *Agent) dial(ctx context.Context, address string) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{
		agent: a, address: address, cancel: cancel, ended: make(chan struct{}), reportNow: make(chan struct{}, 1),
		sentAt: map[int64]time.Duration{},
	}
	go l.run(ctx)
	return l
}

// run attaches to the entry and handles its messages until the stream ends.
func (l *link) run(ctx context.Context) {
	defer close(l.ended)
	defer l.cancel()
	a := l.agent
	conn, err := a.cfg.Mesh.Conn(l.address, attachConnection)
	if err != nil {
		a.cfg.Log.Error("cannot create a connection to the entry", "entry", l.address, "error", err)
		return
	}
	l.stream, err = inner.NewLeadClient(conn).Attach(ctx)
	if err != nil {
		a.cfg.Log.Debug("cannot attach to the entry", "entry", l.address, "error", err)
		return
	}
	s := &sender{link: l}
	go s.loop(ctx)
	for {
		message, err := l.stream.Recv()
		if err != nil {
			a.meters.endedLinks.Inc(1)
			a.cfg.Log.Info("link to the entry has ended", "entry", l.address, "error", err)
			break
		}
		a.handleMessage(l, message)
	}
	a.mu.Lock()
	silent := l.unansweredSince > 0
	a.mu.Unlock()
	if silent {
		a.cfg.Mesh.Replace(l.address, attachConnection, conn)
	}
}

// sender sends the reports of a link.
type sender struct {
	link *link
}

func (s *sender) loop(ctx context.Context) {
	l, a := s.link, s.link.agent
	defer l.cancel()
	for {
		changed, message, wait := l.nextReport()
		if message == nil {
			return
		}
		if err := l.stream.Send(message); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-l.reportNow:
		case <-time.After(wait):
		}
		if l.timedOut() {
			a.cfg.Log.Warn("entry does not answer", "entry", l.address)
			return
		}
	}
}

// timedOut reports whether the entry has left reports unanswered for too long.
func (l *link) timedOut() bool {
	a := l.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	return l.unansweredSince > 0 && a.cfg.Now()-l.unansweredSince > linkTimeout
}

// nextReport returns the next report, a channel that is closed when there is more
// to report, and the time until the next report is due.
func (l *link) nextReport() (<-chan struct{}, *inner.WorkerReport, time.Duration) {
	a := l.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Now()
	l.sequence++
	l.sentAt[l.sequence] = now
	if l.unansweredSince == 0 {
		l.unansweredSince = now
	}
	message := &inner.WorkerReport{
		Agent: a.cfg.Name, Boot: a.cfg.Boot, Address: a.cfg.Address, Zone: a.cfg.Zone, Region: a.cfg.Region,
		Sequence: l.sequence, Epoch: a.epoch,
	}
	if !l.leads {
		return nil, message, idleReportInterval
	}
	a.fillReport(message, now)
	return a.changed, message, reportInterval
}

// fillReport adds the state that the leader needs. The lock is held.
func (a *Agent) fillReport(message *inner.WorkerReport, now time.Duration) {
	if !a.reported {
		return
	}
	w := a.worker
	message.Worker = &inner.WorkerLife{
		Id: w.ID, Born: w.StartedMs, Service: w.Service, Zone: w.Zone, Rack: w.Rack, Host: w.Host, Labels: w.Labels,
		Capacity: graph.EncodeVector(w.Capacity), Draining: w.State == chestnutpond.WorkerDraining,
		RemainingMs: w.Remaining.Milliseconds(), ColdMs: w.WarmupRemaining.Milliseconds(),
	}
	message.Left, message.Leaving = a.left, a.leaving || a.departingSince > 0
	message.Unhealthy = !a.described || a.unreachable
	if a.lists.unansweredSince > 0 {
		message.SilentMs = (now - a.lists.unansweredSince).Milliseconds()
		if message.SilentMs <= holdWait.Milliseconds()+1 {
			message.SilentMs = 0
		}
	}
	message.LeaseOver = a.leaseOver(now)
	for key := range a.lapsed {
		message.Lapsed = append(message.Lapsed, refusalRow(key, reasonLapsed))
	}
	for key, at := range a.doubts {
		if now-at < maxOrderDelay {
			message.Doubts = append(message.Doubts, &inner.DoubtRow{
				Task: key.task.String(), Run: key.run, AgeMs: (now - at).Milliseconds(),
			})
		}
	}
	if a.lists.fence == 0 {
		return
	}
	message.Listed, message.ListedFence, message.EndsTruncated = true, a.lists.fence, a.lists.truncated
	message.ClockMs = a.lists.clock.Milliseconds()
	for _, r := range a.lists.running {
		message.Running = append(message.Running, &inner.RunRow{
			Task: r.Task.String(), Run: r.Run, Checkpoint: r.Checkpoint, Percent: int32(r.Percent), Load: r.Load,
		})
	}
	for _, e := range a.lists.ended {
		if e.Sequence > a.orders.acknowledged {
			message.Ended = append(message.Ended, &inner.EndRow{
				Sequence: e.Sequence, Task: e.Task.String(), Run: e.Run, Ending: string(e.Ending), Checkpoint: e.Checkpoint,
			})
		}
	}
	for key, s := range a.starts {
		if s.outcome.absent {
			message.Refused = append(message.Refused, refusalRow(key, s.outcome.reason))
		}
	}
	for key, s := range a.stops {
		if s.outcome.absent {
			message.Stopped = append(message.Stopped, refusalRow(key, s.outcome.reason))
		}
	}
}

func refusalRow(key runKey, why chestnutpond.Refusal) *inner.RefusalRow {
	return &inner.RefusalRow{Task: key.task.String(), Run: key.run, Refusal: string(why)}
}

// handleMessage handles a message of an entry.
func (a *Agent) handleMessage(l *link, message *inner.WorkerOrders) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Now()
	l.unansweredSince = 0
	a.cfg.Roster.Merge(message.GetEntries())
	if message.GetEpoch() > a.epoch {
		a.epoch, a.leader = message.GetEpoch(), message.GetLeader()
		a.cfg.Log.Info("leader changed", "epoch", a.epoch, "leader", a.leader.GetName(), "told_by", l.address)
	}
	leads := message.GetLeads() && message.GetEpoch() == a.epoch
	if leads != l.leads || leads && message.GetEpoch() != l.epoch {
		// The leader ignores reports that were made before its term was known.
		l.leads, l.epoch = leads, message.GetEpoch()
		select {
		case l.reportNow <- struct{}{}:
		default:
		}
	}
	if !leads {
		clear(l.sentAt)
		return
	}
	if sent, ok := l.sentAt[message.GetGrantSequence()]; ok && message.GetGrantMs() > 0 {
		end := sent + time.Duration(message.GetGrantMs())*time.Millisecond
		if end > now {
			a.grantEnd = max(a.grantEnd, end)
		}
	}
	for sequence := range l.sentAt {
		if sequence <= message.GetGrantSequence() {
			delete(l.sentAt, sequence)
		}
	}
	a.setOrders(message)
}

// setOrders replaces the orders by those of the leader. The lock is held.
func (a *Agent) setOrders(message *inner.WorkerOrders) {
	if message.GetWorker() == "" {
		return
	}
	o := orders{
		epoch: message.GetEpoch(), fence: message.GetFence(), acknowledged: message.GetAcknowledged(),
		life:   chestnutpond.WorkerIncarnation{ID: message.GetWorker(), StartedMs: message.GetBorn()},
		starts: map[runKey]*inner.StartRow{}, stops: map[runKey]bool{},
		paces: map[runKey]int{},
	}
	for _, row := range message.GetStarts() {
		ref, err := chestnutpond.ParseTaskRef(row.GetTask())
		if err != nil {
			a.cfg.Log.Error("skipping order with an invalid task reference", "error", err)
			continue
		}
		o.starts[runKey{ref, row.GetRun()}] = row
	}
	for _, row := range message.GetStops() {
		ref, err := chestnutpond.ParseTaskRef(row.GetTask())
		if err != nil {
			a.cfg.Log.Error("skipping order with an invalid task reference", "error", err)
			continue
		}
		o.stops[runKey{ref, row.GetRun()}] = true
	}
	for _, row := range message.GetPaces() {
		ref, err := chestnutpond.ParseTaskRef(row.GetTask())
		if err != nil {
			a.cfg.Log.Error("skipping order with an invalid task reference", "error", err)
			continue
		}
		o.paces[runKey{ref, row.GetRun()}] = int(row.GetPercent())
	}
	for key := range a.lapsed {
		if o.starts[key] == nil && !o.stops[key] {
			delete(a.lapsed, key)
		}
	}
	a.orders = o
	select {
	case a.ordersChanged <- struct{}{}:
	default:
	}
}
