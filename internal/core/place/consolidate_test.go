package place

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// checkMove wants a borrower that ran neither too long nor at other accelerators
// a short time ago, and room for it on another worker that is in use.
func (w *world) checkMove(a Action, guaranteed bool) {
	j, cfg := w.c.jobs[a.Job], w.c.cfg
	if last, ok := w.moved[a.Job]; ok && w.now-last < cfg.ConsolidateAgain {
		w.t.Fatalf("%s moves twice in %s", a.Job, w.now-last)
	}
	w.moved[a.Job] = w.now
	if _, ok := w.live[a.Job]; !ok || guaranteed || w.now-j.since > cfg.ConsolidateMaxRun {
		w.t.Fatalf("%s, guaranteed %v, moves after %s", a.Job, guaranteed, w.now-j.since)
	}
	from, to := j.held[0].w, w.c.moves[len(w.c.moves)-1].to.w
	for _, m := range w.c.moves {
		if m.job == j {
			to = m.to.w
		}
	}
	if to == from || to.isWhole() || to.count[viewLend] < j.size() {
		w.t.Fatalf("%s moves from %s to %s, which has %d free", a.Job, from.Name, to.Name, to.count[viewLend])
	}
}

// Guards against moves that break an invariant or their own bounds; the work of
// TestInvariants is too large and runs too rarely to be moved often.
func TestInvariantsOfMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		explore(t, Config{Region: "r", ConsolidateLimit: 8, ConsolidateAgain: time.Minute}, true)
	})
}
