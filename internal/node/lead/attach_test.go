package lead

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/test/stand"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Guards against runs that are settled, and run twice, by a report that a connection held up
// since an earlier term.
func TestReportOfAnotherTerm(t *testing.T) {
	for name, tc := range map[string]struct {
		// ahead is the epoch of the report, from that of the term.
		ahead int64
		want  bool
	}{
		"of this term":                {0, true},
		"made before this term":       {-1, false},
		"of an agent that knows more": {1, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newManager("a", stand.NewKeyedStore())
				m.claim(t.Context(), "test")
				term := m.currentTerm()
				assert.Assert(t, term != nil)
				s := &stream{manager: m, agent: "agent-1", notify: make(chan struct{}, 1), done: make(chan struct{})}
				m.attach(s)
				s.handleReport(&inner.WorkerReport{
					Agent: s.agent, Epoch: term.epoch + tc.ahead, Left: true, Worker: &inner.WorkerLife{Id: "worker-1", Born: 7},
				})
				m.mu.Lock()
				defer m.mu.Unlock()
				_, known := term.planner.Orders(m.cfg.Now(), "worker-1")
				assert.Equal(t, known, tc.want)
			})
		})
	}
}
