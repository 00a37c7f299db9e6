package gangs

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// leader judges at the agent of member 0 whether a gang is whole.
type leader struct {
	// seats are indexed by member.
	seats []seat
	// created is when stamps begin.
	created time.Time
	// started is true once all members have joined; it is not taken back.
	started bool
	// stopped is true once the gang is not whole; it is not taken back.
	stopped bool
	reason  string
}

// seat is what the leader knows of one member.
type seat struct {
	agent       string
	incarnation int64
	joined      bool
	// heard is the latest time at which the member surely lived, and at first
	// that of the leader's creation.
	heard time.Time
	// sequence is that of the newest beat; a beat with a lower one is ignored.
	sequence int64
	state    inner.TaskState
	saved    bool
}

// newLeader returns the leader of a gang whose members must all join within
// GangLease of now.
func newLeader(gang []*inner.GangMember, now time.Time) *leader {
	l := &leader{seats: make([]seat, len(gang)), created: now}
	for _, m := range gang {
		l.seats[m.GetMember()] = seat{agent: m.GetAgent(), incarnation: m.GetIncarnation(), heard: now}
	}
	return l
}

// hear takes one beat and answers it. Silence is judged before the beat counts,
// so a beat that was delayed beyond GangLease cannot revive the gang.
func (l *leader) hear(beat *inner.BeatRequest, now time.Time) *inner.BeatReply {
	n := int(beat.GetMember())
	if n < 0 || n >= len(l.seats) {
		return &inner.BeatReply{Stop: true, Reason: "the gang has no such member"}
	}
	s := &l.seats[n]
	if s.agent != beat.GetAgent() || s.incarnation != beat.GetIncarnation() {
		return &inner.BeatReply{Stop: true, Reason: "the member belongs to another incarnation of its agent"}
	}
	l.check(now)
	if beat.GetSequence() > s.sequence {
		s.sequence, s.joined, s.heard = beat.GetSequence(), true, later(s.heard, l.sent(beat, now))
		s.saved = s.saved || beat.GetSaved()
		l.setState(n, beat.GetState())
	}
	l.start()
	return l.reply(now)
}

// sent returns the earliest time at which a beat may have been sent. A beat that
// was long on its way must not count as new: its sender may be gone. The first
// beat of a member echoes nothing and proves nothing but that it has joined.
func (l *leader) sent(beat *inner.BeatRequest, now time.Time) time.Time {
	if beat.GetEcho() <= 0 {
		return l.created
	}
	return earlier(now, l.created.Add(time.Duration(beat.GetEcho())+max(beat.GetSince().AsDuration(), 0)))
}

// setState records a member's state. A completed member stays completed.
func (l *leader) setState(n int, state inner.TaskState) {
	s := &l.seats[n]
	if s.state == inner.TaskState_TASK_STATE_COMPLETED {
		return
	}
	s.state = state
	switch state {
	case inner.TaskState_TASK_STATE_FAILED:
		l.stop(fmt.Sprintf("member %d failed", n))
	case inner.TaskState_TASK_STATE_STOPPED:
		l.stop(fmt.Sprintf("member %d stopped", n))
	}
}

// start opens the barrier once all members have joined.
func (l *leader) start() {
	if l.started || l.stopped {
		return
	}
	for i := range l.seats {
		if !l.seats[i].joined {
			return
		}
	}
	l.started = true
}

// check stops the gang when a member that has not completed is silent.
func (l *leader) check(now time.Time) {
	if n, age := l.oldest(now); age >= GangLease {
		l.stop(fmt.Sprintf("member %d is silent", n))
	}
}

// oldest returns the member heard longest ago, and the age of its newest beat.
// Completed members do not count.
func (l *leader) oldest(now time.Time) (member int, age time.Duration) {
	for i := range l.seats {
		s := &l.seats[i]
		if s.state == inner.TaskState_TASK_STATE_COMPLETED {
			continue
		}
		if a := now.Sub(s.heard); a >= age {
			member, age = i, a
		}
	}
	return member, age
}

// stop ends the gang unless it is done already.
func (l *leader) stop(reason string) {
	if l.stopped || l.done() {
		return
	}
	l.stopped, l.reason = true, reason
}

func (l *leader) done() bool {
	for i := range l.seats {
		if l.seats[i].state != inner.TaskState_TASK_STATE_COMPLETED {
			return false
		}
	}
	return true
}

// allSaved reports whether each member has completed or written a checkpoint.
func (l *leader) allSaved() bool {
	for i := range l.seats {
		s := &l.seats[i]
		if !s.saved && s.state != inner.TaskState_TASK_STATE_COMPLETED {
			return false
		}
	}
	return true
}

func (l *leader) reply(now time.Time) *inner.BeatReply {
	_, age := l.oldest(now)
	return &inner.BeatReply{
		Go:     l.started && !l.stopped,
		Stop:   l.stopped,
		Oldest: durationpb.New(age),
		Reason: l.reason,
		Done:   l.done(),
		Saved:  l.allSaved(),
		// A stamp of zero would count as none.
		Stamp: max(int64(now.Sub(l.created)), 1),
	}
}
