// Package lanes puts the events of several processes into one order and shows
// them as lines of text or as a page with a lane for each process.
//
// Clocks of hosts differ, so the order follows what is known first: an event
// comes after the event that caused it, and after the events with lower
// sequences of the same process; a process's later incarnation comes after its
// earlier one. Only events that these rules leave open are ordered by their
// clocks.
package lanes

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/chestnutpond/chestnutpond"
)

// Order returns the events in their order. An event that is there twice is
// returned once. Causes that are not among the events are ignored. Events whose
// causes form a circle, which only a corrupt source can send, are ordered by
// their clocks.
func Order(events []chestnutpond.Event) []chestnutpond.Event {
	s := newSorter(events)
	ordered := make([]chestnutpond.Event, 0, len(s.nodes))
	for len(ordered) < len(s.nodes) {
		if s.ready.Len() == 0 {
			s.breakCircle()
		}
		n := heap.Pop(&s.ready).(*node)
		ordered = append(ordered, n.event)
		for _, after := range n.after {
			s.release(after)
		}
	}
	return ordered
}

// node is an event and what comes after it.
type node struct {
	event chestnutpond.Event
	after []*node
	// open counts the events before this one that are not yet in order.
	open int
	// done is true once the node is in the ready queue or beyond it.
	done bool
}

// sorter orders the events of one call of Order.
type sorter struct {
	// nodes are by process, incarnation and sequence.
	nodes []*node
	ready queue
}

// newSorter links the events.
func newSorter(events []chestnutpond.Event) *sorter {
	s := &sorter{}
	byID := map[chestnutpond.EventID]*node{}
	for _, e := range events {
		if byID[e.ID] == nil {
			n := &node{event: e}
			byID[e.ID] = n
			s.nodes = append(s.nodes, n)
		}
	}
	slices.SortFunc(s.nodes, func(a, b *node) int { return compareSequence(a.event, b.event) })
	for i, n := range s.nodes {
		if i > 0 && s.nodes[i-1].event.Process == n.event.Process {
			s.nodes[i-1].link(n)
		}
		if cause := byID[n.event.Cause]; cause != nil && cause != n {
			cause.link(n)
		}
	}
	for _, n := range s.nodes {
		if n.open == 0 {
			s.makeReady(n)
		}
	}
	return s
}

// link puts a node after n.
func (n *node) link(after *node) {
	n.after = append(n.after, after)
	after.open++
}

// release records that one event before n is in order.
func (s *sorter) release(n *node) {
	n.open--
	if n.open == 0 && !n.done {
		s.makeReady(n)
	}
}

// makeReady adds a node to the queue.
func (s *sorter) makeReady(n *node) {
	n.done = true
	heap.Push(&s.ready, n)
}

// breakCircle makes the open node with the earliest clock ready.
func (s *sorter) breakCircle() {
	var first *node
	for _, n := range s.nodes {
		if !n.done && (first == nil || compareClock(n.event, first.event) < 0) {
			first = n
		}
	}
	s.makeReady(first)
}

// compareSequence orders by process, incarnation and sequence.
func compareSequence(a, b chestnutpond.Event) int {
	return cmp.Or(
		cmp.Compare(a.Process, b.Process),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}

// compareClock orders by clock, and by compareSequence at the same time.
func compareClock(a, b chestnutpond.Event) int {
	return cmp.Or(a.At.Compare(b.At), compareSequence(a, b))
}

// queue is a heap of nodes by clock.
type queue []*node

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool { return compareClock(q[i].event, q[j].event) < 0 }

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(*node)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	n := old[len(old)-1]
	*q = old[:len(old)-1]
	return n
}
