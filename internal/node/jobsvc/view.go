package jobsvc

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// staleAfter is the age of the newest read after which the store counts as
// unavailable. It covers the wait of one read and one failed read.
const staleAfter = 2 * time.Second

var _ chestnutpond.Inspector = (*Service)(nil)

// Identify implements chestnutpond.Inspector.
func (f *Service) Identify(token string) (string, chestnutpond.CallResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.document.Version == 0 {
		return "", notRun(chestnutpond.ReasonNoConfig)
	}
	account := f.account(token)
	if account == "" {
		return "", verdict(chestnutpond.OutcomeRejected, chestnutpond.ReasonUnauthorized)
	}
	return account, verdict(chestnutpond.OutcomeAnswered, "")
}

// Jobs implements chestnutpond.Inspector.
func (f *Service) Jobs(account string) []chestnutpond.GraphView { return f.cfg.Lead.Views(account) }

// Overview implements chestnutpond.Inspector.
func (f *Service) Overview() chestnutpond.FleetView {
	view := f.cfg.Lead.Overview()
	status := f.cfg.Lead.Feed().Status()
	view.Available = status.Loaded && !status.Disconnected && f.cfg.Now()-status.Fresh < staleAfter
	view.Next = status.Next
	f.mu.Lock()
	defer f.mu.Unlock()
	view.Service, view.Version = f.document.Service, f.document.Version
	view.Guarantees = map[string]int64{}
	for _, a := range f.document.Accounts {
		view.Guarantees[a.Name] = a.Accelerators
	}
	for i, e := range view.Evacuations {
		view.Evacuations[i].Offset = f.evacuations[e.Zone].offset
	}
	return view
}
