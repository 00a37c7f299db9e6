package fleet

import (
	"sort"
	"time"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// heartbeatBudget is how many heartbeats a second one entry takes in. It
	// keeps the fan-in of a home entry constant, whatever the size of the fleet.
	heartbeatBudget = 40
	// minHeartbeat is the shortest heartbeat interval.
	minHeartbeat = time.Second
	// missedHeartbeats is how many intervals of silence make an agent lost.
	missedHeartbeats = 3
	// orphanAfter is how long the rows of a lost entry stay in use while its
	// agents look for another home.
	orphanAfter = 5 * time.Second
	// departedAfter is how long an agent whose stream ended may take to come back,
	// here or at another entry. An agent gives up a stream on which nothing came
	// for 8 s, and what came before was under way for up to 3 s, the timeout of
	// pings. With less than the sum, a ping that is late could put off the end of
	// its isolation until after the scheduler's wait.
	departedAfter = 11 * time.Second
	// An entry has its share of the agents up to crowdPercent of their mean, and
	// in any case up to heartbeatBudget of them. Two entries of three that share
	// the agents of the third have 150%.
	crowdPercent = 150
)

// Row is one agent as this entry knows it.
type Row struct {
	// Member is never changed after it was stored.
	Member *inner.Member
	// Home is the name of the entry that heard the agent itself; empty after
	// that entry restarted without it.
	Home string
	// Lost means that the agent is silent; its tasks may still run.
	Lost bool
	// LostAt is when Lost was set.
	LostAt time.Duration
	// Since is when this entry got the member's newest row.
	Since time.Duration
	// Heard is when the home heard the agent, or when this entry got the row.
	Heard time.Duration

	// departed means that the agent's stream to this entry ended at departedAt.
	departed   bool
	departedAt time.Duration
	index      int64
}

// Usable reports whether new work may be sent to the agent.
func (r Row) Usable() bool {
	return !r.Lost && !r.Member.GetDraining()
}

// Config makes a Table.
type Config struct {
	// Self is the name of this entry.
	Self string
}

// Table holds the rows of all agents.
type Table struct {
	cfg  Config
	rows map[string]*Row
	// index counts changes of rows whose home is this entry.
	index int64
	// homed is the number of agents whose home is this entry.
	homed int
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, rows: make(map[string]*Row)}
}

// Hear stores a row that the agent itself announced to this entry. It reports
// whether the row is news.
func (t *Table) Hear(now time.Duration, m *inner.Member) bool {
	news := t.put(now, m, t.cfg.Self)
	if !older(m, t.rows[m.GetName()].Member) {
		t.Heartbeat(now, m.GetName())
	}
	return news
}

// Learn stores a row that the entry home heard. It reports whether the row is
// news.
func (t *Table) Learn(now time.Duration, m *inner.Member, home string) bool {
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

// refresh handles a row that this table has already: only its home or its loss
// can be news.
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

func (t *Table) replace(name string, row *Row, now time.Duration, lost bool) {
	if old, ok := t.rows[name]; ok && old.Home == t.cfg.Self {
		t.homed--
	}
	if row.Home == t.cfg.Self {
		t.homed++
		t.index++
		row.index = t.index
	}
	row.Lost = lost
	if lost {
		row.LostAt = now
	}
	t.rows[name] = row
}

// Heartbeat notes that the agent is there, without news.
func (t *Table) Heartbeat(now time.Duration, name string) {
	if row, ok := t.rows[name]; ok && row.Home == t.cfg.Self {
		row.Heard = now
		row.departed = false
	}
}

// Depart notes that the agent's stream to this entry ended.
func (t *Table) Depart(now time.Duration, name string) {
	if row, ok := t.rows[name]; ok && row.Home == t.cfg.Self {
		row.departed, row.departedAt = true, now
	}
}

// Interval returns the heartbeat interval for the agents of this entry.
func (t *Table) Interval() time.Duration {
	paced := time.Duration(t.homed) * time.Second / heartbeatBudget
	return max(minHeartbeat, paced)
}

// Expire marks agents as lost that are silent for too long. An agent of another
// entry counts as silent when that entry is lost; lostEntry tells since when.
// It returns the names of the agents that it marked, sorted.
func (t *Table) Expire(now time.Duration, lostEntry func(name string) (time.Duration, bool)) []string {
	limit := missedHeartbeats * t.Interval()
	var lost []string
	for name, row := range t.rows {
		if row.Lost {
			continue
		}
		if row.Home == t.cfg.Self {
			if now-row.Heard > limit || row.departed && now-row.departedAt > departedAfter {
				lost = append(lost, name)
			}
			continue
		}
		since, gone := lostEntry(row.Home)
		if row.Home == "" {
			since, gone = row.Heard, true
		}
		if gone && now-max(since, row.Heard) > orphanAfter {
			lost = append(lost, name)
		}
	}
	sort.Strings(lost)
	for _, name := range lost {
		t.Lose(now, name)
	}
	return lost
}

// Orphan takes the home of the rows that the entry home does not list any more,
// because it was restarted. An agent that is alive announces itself again;
// another one expires.
func (t *Table) Orphan(now time.Duration, home string, listed map[string]bool) {
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

// Lose marks an agent as lost.
func (t *Table) Lose(now time.Duration, name string) {
	old, ok := t.rows[name]
	if !ok || old.Lost {
		return
	}
	row := *old
	t.replace(name, &row, now, true)
}

// Forget removes agents that are lost for longer than keep. It returns their
// names.
func (t *Table) Forget(now time.Duration, keep time.Duration) []string {
	var gone []string
	for name, row := range t.rows {
		if row.Lost && now-row.LostAt > keep {
			gone = append(gone, name)
		}
	}
	sort.Strings(gone)
	for _, name := range gone {
		if t.rows[name].Home == t.cfg.Self {
			t.homed--
		}
		delete(t.rows, name)
	}
	return gone
}

// Get returns the row of an agent.
func (t *Table) Get(name string) (Row, bool) {
	row, ok := t.rows[name]
	if !ok {
		return Row{}, false
	}
	return *row, true
}

// Rows returns all rows, by agent name.
func (t *Table) Rows() []Row {
	rows := make([]Row, 0, len(t.rows))
	for _, row := range t.rows {
		rows = append(rows, *row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Member.GetName() < rows[j].Member.GetName() })
	return rows
}

// Index returns the index of the last change of a row homed here.
func (t *Table) Index() int64 { return t.index }

// Since returns the rows homed here that changed after the index, and the index
// to ask from next time.
func (t *Table) Since(index int64) ([]Row, int64) {
	if index >= t.index {
		return nil, t.index
	}
	var rows []Row
	for _, row := range t.rows {
		if row.Home == t.cfg.Self && row.index > index {
			rows = append(rows, *row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].index < rows[j].index })
	return rows, t.index
}

// Crowded reports whether this entry has more than its share of the agents among
// that many live entries. After a cut the share grows, because the lost agents
// are still counted: an agent that is cut off has no better home.
func (t *Table) Crowded(entries int) bool {
	share := len(t.rows) * crowdPercent / (100 * max(entries, 1))
	return t.homed > max(share, heartbeatBudget)
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
