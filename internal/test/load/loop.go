package load

import (
	"container/heap"
	"time"
)

// loop runs functions in the order of virtual time, then of their scheduling.
type loop struct {
	now    time.Duration
	seq    uint64
	events events
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	v := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return v
}

func (l *loop) after(d time.Duration, do func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now + max(d, 0), seq: l.seq, do: do})
}

// run ends when nothing is scheduled before the end.
func (l *loop) run(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.do()
	}
}
