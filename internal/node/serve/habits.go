package serve

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/admit"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// maxHabits is the maximum number of habits in a list. A habit is the usual
	// service rate of one caller and kind, in service seconds per second.
	maxHabits = 1024
	// MaxHabitsBytes is the maximum encoded size of a list in bytes. It is needed
	// besides maxHabits because a caller's name has up to 128 bytes.
	MaxHabitsBytes = 48 << 10
	// minHabitPeriod is the shortest period of observation from which an entry
	// derives habits. A shorter one could consist entirely of a flood that began
	// before the entry started.
	minHabitPeriod = time.Minute
)

// Habits returns the usual service rates of callers at this entry, highest rates
// first. It returns nil if there are none, or if this entry has observed them for
// less than minHabitPeriod.
func (s *Server) Habits() *inner.Habits {
	s.mu.Lock()
	now := s.now()
	past := s.queue.BaselineAge(now)
	var usual []admit.BaselineRate
	if past >= minHabitPeriod {
		usual = s.queue.BaselineRates(now, maxHabits)
	}
	s.mu.Unlock()
	if len(usual) == 0 {
		return nil
	}
	list := &inner.Habits{Past: durationpb.New(past)}
	size := proto.Size(list)
	for _, u := range usual {
		h := &inner.Habit{Account: u.Account, Caller: u.Caller, Kind: u.Kind, Rate: float32(u.Rate)}
		// Each element adds a field key of one byte and a length of up to two bytes.
		if size += proto.Size(h) + 3; size > MaxHabitsBytes {
			break
		}
		list.Habits = append(list.Habits, h)
	}
	return list
}

// ImportHabits adopts a list that another entry's Habits returned. It reports
// whether the list was usable, so that no further lists are needed. If no document
// is in force yet, the list is applied once there is one.
func (s *Server) ImportHabits(list *inner.Habits) bool {
	if list.GetPast().AsDuration() < minHabitPeriod || len(list.GetHabits()) == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingHabits = list
	s.applyPendingHabits()
	return true
}

// applyPendingHabits applies the pending list if there is a document, which gives
// the class of each kind. The caller holds mu.
func (s *Server) applyPendingHabits() {
	if s.pendingHabits == nil || len(s.classes) == 0 {
		return
	}
	var usual []admit.BaselineRate
	for _, h := range s.pendingHabits.GetHabits() {
		usual = append(usual, admit.BaselineRate{
			Account: h.GetAccount(), Caller: h.GetCaller(), Kind: h.GetKind(),
			Class: s.classes[h.GetKind()], Rate: float64(h.GetRate()),
		})
	}
	if s.queue.ImportBaselines(s.now(), s.pendingHabits.GetPast().AsDuration(), usual) {
		s.cfg.Logger.Info("serve: adopted the callers' usual service rates from another entry", "habits", len(usual))
	}
	s.pendingHabits = nil
}

// classesByKind maps the names of the document's kinds to their classes.
func classesByKind(doc chestnutpond.Document) map[string]chestnutpond.Class {
	classes := make(map[string]chestnutpond.Class, len(doc.Kinds))
	for _, k := range doc.Kinds {
		classes[k.Name] = k.Class
	}
	return classes
}
