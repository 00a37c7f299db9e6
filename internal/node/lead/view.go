package lead

import (
	"cmp"
	"slices"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
)

// Views returns the jobs of an account in order of acceptance.
func (m *Manager) Views(account string) []chestnutpond.GraphView {
	m.mu.Lock()
	defer m.mu.Unlock()
	var jobs []*graph.Job
	m.table.Jobs(func(j *graph.Job) {
		if j.Graph.Account == account {
			jobs = append(jobs, j)
		}
	})
	slices.SortFunc(jobs, func(a, b *graph.Job) int {
		return cmp.Or(a.Graph.Accepted.Compare(b.Graph.Accepted), cmp.Compare(a.ID, b.ID))
	})
	views := make([]chestnutpond.GraphView, 0, len(jobs))
	for _, j := range jobs {
		views = append(views, j.View())
	}
	return views
}

// Overview returns the current leader and the known entries.
func (m *Manager) Overview() chestnutpond.FleetView {
	m.mu.Lock()
	leader := m.table.Leader()
	view := chestnutpond.FleetView{Epoch: leader.GetEpoch(), Evacuations: m.evacuationViews()}
	m.mu.Unlock()
	if !leader.GetReleased() {
		view.Leader = leader.GetEntry().GetName()
	}
	for _, e := range m.cfg.Roster.Entries() {
		view.Entries = append(view.Entries, chestnutpond.EntryView{Name: e.GetName(), Zone: e.GetZone(), Region: e.GetRegion()})
	}
	return view
}
