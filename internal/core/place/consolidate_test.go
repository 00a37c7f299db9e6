package place

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// checkMigration checks that the job is a borrower that has not run longer than
// MigrationMaxRun or migrated within MigrationCooldown, and that its
// destination is another worker in use with enough room.
func (w *workload) checkMigration(a Action, guaranteed bool) {
	j, cfg := w.c.jobs[a.Job], w.c.cfg
	if last, ok := w.migratedAt[a.Job]; ok && w.now-last < cfg.MigrationCooldown {
		w.t.Fatalf("%s is migrated twice within %s", a.Job, w.now-last)
	}
	w.migratedAt[a.Job] = w.now
	if _, ok := w.live[a.Job]; !ok || guaranteed || w.now-j.runningSince > cfg.MigrationMaxRun {
		w.t.Fatalf("%s, guaranteed %v, is migrated after a run of %s", a.Job, guaranteed, w.now-j.runningSince)
	}
	from, to := j.held[0].w, w.c.migrations[len(w.c.migrations)-1].to.w
	for _, m := range w.c.migrations {
		if m.job == j {
			to = m.to.w
		}
	}
	if to == from || to.entirelyLendable() || to.count[poolLendable] < j.size() {
		w.t.Fatalf("%s is migrated from %s to %s, which has %d free accelerators", a.Job, from.Name, to.Name, to.count[poolLendable])
	}
}

// Guards against migrations that break an invariant or exceed their limits. In
// TestInvariants jobs are too large and run too rarely to be migrated often.
func TestMigrationInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		explore(t, Config{Region: "r", ConsolidateLimit: 8, MigrationCooldown: time.Minute}, true)
	})
}
