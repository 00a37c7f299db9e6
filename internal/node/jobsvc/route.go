package jobsvc

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/chestnutpond/chestnutpond"
)

// Route implements chestnutpond.GraphService.
func (f *Service) Route(call chestnutpond.RouteRequest) (chestnutpond.RouteTarget, chestnutpond.CallResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.document.Version == 0 {
		f.cfg.Log.Info("call refused: no document has been loaded yet", "kind", call.Kind, "host", call.Host, "path", call.Path)
		return chestnutpond.RouteTarget{}, notRun(chestnutpond.ReasonNoConfig)
	}
	best := f.selectQueue(call)
	if best == nil {
		f.logRejected(call, "", chestnutpond.ReasonUnknownKind)
		return chestnutpond.RouteTarget{}, verdict(chestnutpond.OutcomeRejected, chestnutpond.ReasonUnknownKind)
	}
	target := chestnutpond.RouteTarget{Queue: *best, Account: f.account(call.Token)}
	if call.Kind == "" {
		target.PathSuffix = call.Path[len(best.PathPrefix):]
	}
	if target.Account == "" && !best.Public {
		f.logRejected(call, target.PathSuffix, chestnutpond.ReasonUnauthorized)
		return chestnutpond.RouteTarget{}, verdict(chestnutpond.OutcomeRejected, chestnutpond.ReasonUnauthorized)
	}
	return target, verdict(chestnutpond.OutcomeAnswered, "")
}

// selectQueue returns the queue of a call, or nil if none matches. The lock is
// held.
func (f *Service) selectQueue(call chestnutpond.RouteRequest) *chestnutpond.Queue {
	var best *chestnutpond.Queue
	for i := range f.document.Kinds {
		q := f.document.Kinds[i].Queue
		switch {
		case q == nil:
		case call.Kind != "":
			if q.Terms.Name == call.Kind {
				return q
			}
		case q.Host != call.Host || !strings.HasPrefix(call.Path, q.PathPrefix):
		case best == nil || len(q.PathPrefix) > len(best.PathPrefix):
			best = q
		}
	}
	return best
}

// account returns the account that a token belongs to, or the empty string. The
// lock is held.
func (f *Service) account(token string) string {
	digest := sha256.Sum256([]byte(token))
	return f.tokens[hex.EncodeToString(digest[:])]
}

// logRejected logs a call that the document in force does not allow. The job is
// empty if the path matches no queue. The lock is held.
func (f *Service) logRejected(call chestnutpond.RouteRequest, job string, why chestnutpond.Reason) {
	f.cfg.Log.Info("call rejected", "job", job, "kind", call.Kind, "host", call.Host, "path", call.Path, "reason", why,
		"version", f.document.Version)
}
