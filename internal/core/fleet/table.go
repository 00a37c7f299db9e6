package fleet

import (
	"sort"
	"time"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// maxHeartbeatRate is the number of heartbeats per second that an entry asks
	// its agents for. It bounds the fan-in of a home entry for any size of the
	// fleet.
	maxHeartbeatRate = 40
	// minHeartbeatInterval is the shortest heartbeat interval.
	minHeartbeatInterval = time.Second
	// maxMissedHeartbeats is the number of intervals without a heartbeat after
	// which an agent is lost.
	maxMissedHeartbeats = 3
	// orphanTimeout is how long the agents of a lost entry stay usable while they
	// look for another home.
	orphanTimeout = 5 * time.Second
	// reconnectTimeout is how long an agent whose stream ended may take to
	// reconnect, to this entry or another one. An agent closes a stream on which
	// it received nothing for 8 s, and what it received before may have been in
	// transit for up to 3 s, the timeout of pings. With less than the sum, a
	// delayed ping could postpone the agent's isolation timeout until after the
	// scheduler has stopped waiting for it.
	reconnectTimeout = 11 * time.Second
	// maxSharePercent is how many agents an entry may have before it is
	// overloaded, in percent of the mean per entry; maxHeartbeatRate agents are
	// always allowed. When one of three entries is lost, the other two have 150%
	// each.
	maxSharePercent = 150
)

// Row is an entry's record of one agent.
type Row struct {
	// Member is never modified once it is stored.
	Member *inner.Member
	// Home is the name of the entry that the agent announced itself to. It is
	// empty after that entry restarted and no longer lists the agent.
	Home string
	// Lost means that the agent was silent for too long. Its tasks may still run.
	Lost bool
	// LostAt is when Lost was set.
	LostAt time.Duration
	// Since is when this entry received the agent's newest row.
	Since time.Duration
	// Heard is when this entry, as the home, last heard from the agent, or when
	// it last received the row from the home.
	Heard time.Duration

	// disconnected means that the agent's stream to this entry ended at
	// disconnectedAt.
	disconnected   bool
	disconnectedAt time.Duration
	// changeIndex is the index of the row's last change, if this entry is its home.
	changeIndex int64
}

// Usable reports whether the agent may get new work.
func (r Row) Usable() bool {
	return !r.Lost && !r.Member.GetDraining()
}

// Config configures a Table.
type Config struct {
	// Self is the name of this entry.
	Self string
}

// Table is a table of all agents.
type Table struct {
	cfg  Config
	rows map[string]*Row
	// lastIndex is the index of the last change of a row whose home is this entry.
	lastIndex int64
	// homed is the number of agents whose home is this entry.
	homed int
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, rows: make(map[string]*Row)}
}

// PutLocal stores a row that the agent itself announced to this entry. It reports
// whether the row changed.
func (t *Table) PutLocal(now time.Duration, m *inner.Member) bool {
	changed := t.put(now, m, t.cfg.Self)
	if !older(m, t.rows[m.GetName()].Member) {
		t.Heartbeat(now, m.GetName())
	}
	return changed
}

// PutRemote stores a row that the agent's home forwarded. It reports whether the
// row changed.
func (t *Table) PutRemote(now time.Duration, m *inner.Member, home string) bool {
	return t.put(now, m, home)
}

func (t *Table) put(now time.Duration, m *inner.Member, home string) bool {
	old, known := t.rows[m.GetName()]
	if known && older(m, old.Member) {
		return false
	}
	if known && !newer(m, old.Member) {
		return t.refresh(now, old, m, home)
	}
	row := &Row{Member: m, Home: home, Since: now, Heard: now}
	t.replace(m.GetName(), row, now, m.GetLost())
	return true
}

// refresh handles a row with the incarnation and sequence of the stored one. Only
// its home and whether it is lost can differ.
func (t *Table) refresh(now time.Duration, old *Row, m *inner.Member, home string) bool {
	if home != t.cfg.Self && old.Home == t.cfg.Self && !old.Lost {
		return false
	}
	old.Heard = now
	if old.Home == home && old.Lost == m.GetLost() {
		return false
	}
	row := &Row{Member: m, Home: home, Heard: now}
	t.replace(m.GetName(), row, now, m.GetLost())
	return true
}

// replace stores a row, numbers the change if this entry is the row's home, and
// updates the number of agents homed here.
func (t *Table) replace(name string, row *Row, now time.Duration, lost bool) {
	if old, ok := t.rows[name]; ok && old.Home == t.cfg.Self {
		t.homed--
	}
	if row.Home == t.cfg.Self {
		t.homed++
		t.lastIndex++
		row.changeIndex = t.lastIndex
	}
	row.Lost = lost
	if lost {
		row.LostAt = now
	}
	t.rows[name] = row
}

// Heartbeat records that the agent is alive and its row has not changed.
func (t *Table) Heartbeat(now time.Duration, name string) {
	if row, ok := t.rows[name]; ok && row.Home == t.cfg.Self {
		row.Heard = now
		row.disconnected = false
	}
}

// Disconnect records that the agent's stream to this entry ended.
func (t *Table) Disconnect(now time.Duration, name string) {
	if row, ok := t.rows[name]; ok && row.Home == t.cfg.Self {
		row.disconnected, row.disconnectedAt = true, now
	}
}

// Interval returns the heartbeat interval for the agents of this entry.
func (t *Table) Interval() time.Duration {
	byRate := time.Duration(t.homed) * time.Second / maxHeartbeatRate
	return max(minHeartbeatInterval, byRate)
}

// Expire marks agents as lost that have been silent for too long. An agent of
// another entry counts as silent while that entry is lost; entryLostSince reports
// whether an entry is lost, and since when. Expire returns the names of the
// agents that it marked, in order.
func (t *Table) Expire(now time.Duration, entryLostSince func(name string) (time.Duration, bool)) []string {
	limit := maxMissedHeartbeats * t.Interval()
	var lost []string
	for name, row := range t.rows {
		if row.Lost {
			continue
		}
		if row.Home == t.cfg.Self {
			if now-row.Heard > limit || row.disconnected && now-row.disconnectedAt > reconnectTimeout {
				lost = append(lost, name)
			}
			continue
		}
		since, entryLost := entryLostSince(row.Home)
		if row.Home == "" {
			since, entryLost = row.Heard, true
		}
		if entryLost && now-max(since, row.Heard) > orphanTimeout {
			lost = append(lost, name)
		}
	}
	sort.Strings(lost)
	for _, name := range lost {
		t.MarkLost(now, name)
	}
	return lost
}

// ClearHome clears the home of the rows that the entry home no longer lists because
// it was restarted. An agent that is alive announces itself again; the others
// expire.
func (t *Table) ClearHome(now time.Duration, home string, listed map[string]bool) {
	for name, old := range t.rows {
		if old.Home != home || listed[name] {
			continue
		}
		row := *old
		row.Home = ""
		row.Heard = now
		t.rows[name] = &row
	}
}

// MarkLost marks an agent as lost.
func (t *Table) MarkLost(now time.Duration, name string) {
	old, ok := t.rows[name]
	if !ok || old.Lost {
		return
	}
	row := *old
	t.replace(name, &row, now, true)
}

// Forget removes agents that have been lost for longer than keep. It returns
// their names in order.
func (t *Table) Forget(now time.Duration, keep time.Duration) []string {
	var forgotten []string
	for name, row := range t.rows {
		if row.Lost && now-row.LostAt > keep {
			forgotten = append(forgotten, name)
		}
	}
	sort.Strings(forgotten)
	for _, name := range forgotten {
		if t.rows[name].Home == t.cfg.Self {
			t.homed--
		}
		delete(t.rows, name)
	}
	return forgotten
}

// Get returns the row of an agent.
func (t *Table) Get(name string) (Row, bool) {
	row, ok := t.rows[name]
	if !ok {
		return Row{}, false
	}
	return *row, true
}

// Rows returns all rows, sorted by agent name.
func (t *Table) Rows() []Row {
	rows := make([]Row, 0, len(t.rows))
	for _, row := range t.rows {
		rows = append(rows, *row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Member.GetName() < rows[j].Member.GetName() })
	return rows
}

// LastIndex returns the index of the last change of a row whose home is this entry.
func (t *Table) LastIndex() int64 { return t.lastIndex }

// Since returns the rows homed here that changed after the given index, in order
// of their change, and the index to pass next time.
func (t *Table) Since(index int64) ([]Row, int64) {
	if index >= t.lastIndex {
		return nil, t.lastIndex
	}
	var rows []Row
	for _, row := range t.rows {
		if row.Home == t.cfg.Self && row.changeIndex > index {
			rows = append(rows, *row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].changeIndex < rows[j].changeIndex })
	return rows, t.lastIndex
}

// Overloaded reports whether this entry has more than its share of the agents, given
// the number of live entries. During a network partition the share grows, because
// the lost agents still count but the lost entries do not. That is intended: the
// agents on this side have no better home.
func (t *Table) Overloaded(entries int) bool {
	share := len(t.rows) * maxSharePercent / (100 * max(entries, 1))
	return t.homed > max(share, maxHeartbeatRate)
}

// Homed returns the number of agents whose home is this entry.
func (t *Table) Homed() int { return t.homed }

func older(m, than *inner.Member) bool {
	if m.GetIncarnation() != than.GetIncarnation() {
		return m.GetIncarnation() < than.GetIncarnation()
	}
	return m.GetSequence() < than.GetSequence()
}

func newer(m, than *inner.Member) bool {
	return older(than, m)
}
