package gangs

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// The fixed seed makes runs reproducible; -rapid.seed overrides it.
func init() {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
}

// tableModel records what the table has promised to a scheduler and a worker.
type tableModel struct {
	*fixture

	term    int64
	started map[Key]bool
	// stopped holds the members that the agent reported as stopped.
	stopped map[Key]bool
}

// drive runs the next step of a task, whose call may fail.
func (m *tableModel) drive(t *rapid.T, key Key) {
	var err error
	if rapid.Bool().Draw(t, "fails") {
		err = errors.New("call failed")
	}
	switch m.Next(key, m.now).Action {
	case Start:
		assert.Assert(t, !m.started[key] && !m.stopped[key], "%v", key)
		m.started[key] = true
		m.Started(key, err, m.now)
	case Renew:
		if err == nil {
			m.Renewed(key, m.now)
		}
	case Checkpoint:
		m.Checkpointed(key, "c", err, m.now)
	case Stop:
		m.Stopped(key, err, m.now)
	}
}

// Checks, over random orders of messages, time and failed calls, that no
// accelerator is granted twice, no member starts twice, none starts after the
// agent reported it as stopped, and no message of an old term has an effect.
func TestTableProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &tableModel{fixture: newFixture(t), started: map[Key]bool{}, stopped: map[Key]bool{}}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			key := Key{
				Job: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "job"), Attempt: rapid.Int64Range(1, 3).Draw(rt, "attempt"),
			}
			first := rapid.Int32Range(0, 3).Draw(rt, "first")
			term := 5 + rapid.Int64Range(0, 1).Draw(rt, "term")*rapid.Int64Range(0, 1).Draw(rt, "newer")
			accelerators := []int32{first, (first + 1) % 4}
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0, 1:
				prepare := prepareReq(key.Job, key.Attempt, 0, accelerators...)
				commit := commitReq(key.Job, key.Attempt, accelerators...)
				prepare.Term, commit.Term = term, term
				if m.Prepare(prepare, m.now).OK {
					assert.Assert(rt, term >= m.term && !m.stopped[key])
				}
				if rapid.Bool().Draw(rt, "commit") {
					m.Commit(commit, m.now)
				}
			case 2:
				req := &inner.StopRequest{
					Region: "amd", Term: term, Job: key.Job, Attempt: key.Attempt, Fence: rapid.Bool().Draw(rt, "fence"),
				}
				s := m.Stop(req, m.now)
				assert.Assert(rt, term >= m.term || s.Reply.GetRefusal() == inner.Refusal_REFUSAL_STALE)
				if s.Reply.GetStopped() {
					m.stopped[key] = true
				}
			case 3:
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			case 4:
				m.Release([]string{string(key.Task())}, m.now)
			case 5:
				m.ApplyReply(key, m.now, &inner.BeatReply{Go: true}, m.now)
				m.drive(rt, key)
			case 6:
				m.drive(rt, key)
			}
			m.term = m.Table.term
			used := map[int32]bool{}
			for _, row := range m.Rows(m.now) {
				for _, a := range row.GetAccelerators() {
					assert.Assert(rt, !used[a], "accelerator %d is granted twice", a)
					used[a] = true
				}
			}
		}
	})
}
