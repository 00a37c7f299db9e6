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
	// usualLimit bounds the habits of one list.
	usualLimit = 1024
	// HabitsBytes bounds the size of one list in bytes, since names of callers
	// have up to 128.
	HabitsBytes = 48 << 10
	// leastPast is the past below which an entry does not know what is usual: in
	// less, a flood that began before the entry did fills all of it.
	leastPast = time.Minute
)

// Habits returns what callers usually get here, the greatest rates first. It
// returns nil if this entry does not know it.
func (s *Server) Habits() *inner.Habits {
	s.mu.Lock()
	now := s.now()
	past := s.queue.Past(now)
	var usual []admit.Usual
	if past >= leastPast {
		usual = s.queue.Usual(now, usualLimit)
	}
	s.mu.Unlock()
	if len(usual) == 0 {
		return nil
	}
	list := &inner.Habits{Past: durationpb.New(past)}
	size := proto.Size(list)
	for _, u := range usual {
		h := &inner.Habit{Account: u.Account, Caller: u.Caller, Kind: u.Kind, Rate: float32(u.Rate)}
		// A key of one byte and a length of up to two come on top.
		if size += proto.Size(h) + 3; size > HabitsBytes {
			break
		}
		list.Habits = append(list.Habits, h)
	}
	return list
}

// LearnHabits takes over what another entry returned by Habits. It reports whether
// this entry needs no more lists. Without a document the list is kept until there
// is one.
func (s *Server) LearnHabits(list *inner.Habits) bool {
	if list.GetPast().AsDuration() < leastPast || len(list.GetHabits()) == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.habits = list
	s.learn()
	return true
}

// learn applies the list that is kept, if there is a document. The class of a kind
// is that of the document. The caller holds mu.
func (s *Server) learn() {
	if s.habits == nil || len(s.classes) == 0 {
		return
	}
	var usual []admit.Usual
	for _, h := range s.habits.GetHabits() {
		usual = append(usual, admit.Usual{
			Account: h.GetAccount(), Caller: h.GetCaller(), Kind: h.GetKind(),
			Class: s.classes[h.GetKind()], Rate: float64(h.GetRate()),
		})
	}
	if s.queue.Learn(s.now(), s.habits.GetPast().AsDuration(), usual) {
		s.cfg.Logger.Info("serve: learned what callers usually get", "habits", len(usual))
	}
	s.habits = nil
}

// classesOf returns the classes of the document's kinds by name.
func classesOf(doc chestnutpond.Document) map[string]chestnutpond.Class {
	classes := make(map[string]chestnutpond.Class, len(doc.Kinds))
	for _, k := range doc.Kinds {
		classes[k.Name] = k.Class
	}
	return classes
}
