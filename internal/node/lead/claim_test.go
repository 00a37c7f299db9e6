package lead

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/roster"
	"github.com/chestnutpond/chestnutpond/internal/obs/guard"
	"github.com/chestnutpond/chestnutpond/internal/obs/stats"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// pausingStore pauses its process after the effect of an append and before the process
// sees the answer. No timeout of the process ends the pause.
type pausingStore struct {
	chestnutpond.Store

	pause time.Duration
	// loseAnswer replaces the first answer by a failure that leaves the append in doubt.
	loseAnswer bool
}

func (s *pausingStore) Append(ctx context.Context, topic chestnutpond.Topic, a chestnutpond.KeyedAppend) (int64, error) {
	offset, err := s.Store.Append(ctx, topic, a)
	time.Sleep(s.pause)
	if s.loseAnswer {
		s.loseAnswer = false
		return 0, &chestnutpond.StoreError{Fault: chestnutpond.StoreInDoubt}
	}
	return offset, err
}

func newManager(name string, store chestnutpond.Store) *Manager {
	log, metrics, began := slog.New(slog.DiscardHandler), stats.New(), time.Now().Add(-time.Hour)
	m := New(Config{
		Self: &inner.EntryRow{Name: name}, Boot: name, Store: store, Roster: roster.New(roster.Config{Self: name, Log: log}),
		Direct: func() bool { return true }, Now: func() time.Duration { return time.Since(began) }, WallClock: time.Now,
		Log: log, Lease: 6 * time.Second, Metrics: metrics, Guard: guard.New(guard.Config{Log: log, Metrics: metrics}),
	})
	m.SetDocument(chestnutpond.Document{Version: 1})
	return m
}

// TestPauseAfterClaim guards against an entry that is paused between the effect of its claim
// and its own knowledge of it, and that then grants leases for the whole window by the time
// at which it woke, while another entry has claimed and waits for less.
func TestPauseAfterClaim(t *testing.T) {
	tests := map[string]struct {
		pause      time.Duration
		loseAnswer bool
		mayGrant   bool
	}{
		"short":                    {pause: 100 * time.Millisecond, mayGrant: true},
		"of half the window":       {pause: grantWindow / 2, mayGrant: true},
		"of the window":            {pause: grantWindow},
		"longer":                   {pause: 30 * time.Second},
		"short, answer lost":       {pause: 100 * time.Millisecond, loseAnswer: true, mayGrant: true},
		"longer, with answer lost": {pause: 30 * time.Second, loseAnswer: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := stand.NewKeyedStore()
				m := newManager("a", &pausingStore{Store: store, pause: tc.pause, loseAnswer: tc.loseAnswer})
				m.claim(t.Context(), "test")
				now := m.cfg.Now()
				if term := m.currentTerm(); term != nil {
					assert.Equal(t, m.mayGrant(term), tc.mayGrant)
					if !tc.loseAnswer {
						// A successor that claimed right after it waits for the window from then on.
						assert.Assert(t, term.confirmedAt <= now-tc.pause, "by %s later than its claim", term.confirmedAt-(now-tc.pause))
					}
				} else {
					assert.Assert(t, !tc.mayGrant)
				}
				// Whoever claims next, the paused entry learns of it from its first read.
				if next := newManager("b", store); tc.pause > claimTimeout {
					assert.NilError(t, next.feed.CatchUp(t.Context()))
					next.claim(t.Context(), "test")
					assert.Assert(t, next.Leads())
					assert.NilError(t, m.feed.CatchUp(t.Context()))
					assert.Assert(t, !m.Leads())
				}
			})
		})
	}
}

// TestClaimsAtOnce guards against two entries that both lead after claims at the same time,
// with answers of the store that are late or lost: their orders would go out twice.
func TestClaimsAtOnce(t *testing.T) {
	pauses := []time.Duration{0, time.Millisecond, time.Second, 5 * time.Second}
	for _, a := range pauses {
		for _, b := range pauses {
			for lost := range 4 {
				t.Run(fmt.Sprint(a, b, lost), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						store := stand.NewKeyedStore()
						managers := []*Manager{
							newManager("a", &pausingStore{Store: store, pause: a, loseAnswer: lost&1 != 0}),
							newManager("b", &pausingStore{Store: store, pause: b, loseAnswer: lost&2 != 0}),
						}
						var claims sync.WaitGroup
						for _, m := range managers {
							claims.Go(func() { m.claim(t.Context(), "test") })
						}
						for range 200 {
							time.Sleep(100 * time.Millisecond)
							assert.Assert(t, !managers[0].Leads() || !managers[1].Leads())
						}
						claims.Wait()
						if lost == 0 {
							assert.Assert(t, managers[0].Leads() || managers[1].Leads())
						}
					})
				})
			}
		}
	}
}
