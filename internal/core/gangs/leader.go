package gangs

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// leader tracks the beats of a gang's members at the agent of member 0, and
// decides when the gang starts and when it must stop.
type leader struct {
	// members are indexed by member.
	members []memberState
	// created is the time that stamps count from.
	created time.Time
	// started is set once all members have joined, and never reset.
	started bool
	// stopped is set once a member was silent, failed or stopped, and never reset.
	stopped bool
	reason  string
}

// memberState is the leader's record of one member.
type memberState struct {
	agent       string
	incarnation int64
	joined      bool
	// aliveAt is the latest time at which the member is known to have been
	// alive. It starts as the time at which the leader was created.
	aliveAt time.Time
	// sequence is the number of the newest beat; older beats are ignored.
	sequence     int64
	state        inner.TaskState
	checkpointed bool
}

// newLeader returns the leader of a gang whose members must all join within
// GangLease of now.
func newLeader(gang []*inner.GangMember, now time.Time) *leader {
	l := &leader{members: make([]memberState, len(gang)), created: now}
	for _, m := range gang {
		l.members[m.GetMember()] = memberState{agent: m.GetAgent(), incarnation: m.GetIncarnation(), aliveAt: now}
	}
	return l
}

// handleBeat records a beat and returns the reply. It checks for silence first,
// so a beat that was delayed beyond GangLease cannot keep the gang alive.
func (l *leader) handleBeat(beat *inner.BeatRequest, now time.Time) *inner.BeatReply {
	n := int(beat.GetMember())
	if n < 0 || n >= len(l.members) {
		return &inner.BeatReply{Stop: true, Reason: "the gang has no such member"}
	}
	s := &l.members[n]
	if s.agent != beat.GetAgent() || s.incarnation != beat.GetIncarnation() {
		return &inner.BeatReply{Stop: true, Reason: "the member belongs to another incarnation of its agent"}
	}
	l.checkSilence(now)
	if beat.GetSequence() > s.sequence {
		s.sequence, s.joined, s.aliveAt = beat.GetSequence(), true, later(s.aliveAt, l.earliestSent(beat, now))
		s.checkpointed = s.checkpointed || beat.GetSaved()
		l.setState(n, beat.GetState())
	}
	l.openBarrier()
	return l.reply(now)
}

// earliestSent returns the earliest time at which the member may have sent a
// beat. A beat that was delayed in the network counts from then and not from
// its arrival, because its sender may no longer be alive. The first beat of a
// member has no echo, so it proves only that the member has joined.
func (l *leader) earliestSent(beat *inner.BeatRequest, now time.Time) time.Time {
	if beat.GetEcho() <= 0 {
		return l.created
	}
	return earlier(now, l.created.Add(time.Duration(beat.GetEcho())+max(beat.GetSince().AsDuration(), 0)))
}

// setState records a member's state and stops the gang if the member failed or
// stopped. A completed member stays completed.
func (l *leader) setState(n int, state inner.TaskState) {
	s := &l.members[n]
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

// openBarrier lets the gang start if all members have joined.
func (l *leader) openBarrier() {
	if l.started || l.stopped {
		return
	}
	for i := range l.members {
		if !l.members[i].joined {
			return
		}
	}
	l.started = true
}

// checkSilence stops the gang if a member that has not completed has been silent
// for GangLease.
func (l *leader) checkSilence(now time.Time) {
	if n, age := l.longestSilence(now); age >= GangLease {
		l.stop(fmt.Sprintf("member %d is silent", n))
	}
}

// longestSilence returns the member that has been silent for longest, and for
// how long. It skips completed members.
func (l *leader) longestSilence(now time.Time) (member int, age time.Duration) {
	for i := range l.members {
		s := &l.members[i]
		if s.state == inner.TaskState_TASK_STATE_COMPLETED {
			continue
		}
		if a := now.Sub(s.aliveAt); a >= age {
			member, age = i, a
		}
	}
	return member, age
}

// stop stops the gang unless all members have completed.
func (l *leader) stop(reason string) {
	if l.stopped || l.done() {
		return
	}
	l.stopped, l.reason = true, reason
}

func (l *leader) done() bool {
	for i := range l.members {
		if l.members[i].state != inner.TaskState_TASK_STATE_COMPLETED {
			return false
		}
	}
	return true
}

// allCheckpointed reports whether each member has completed or written a
// checkpoint.
func (l *leader) allCheckpointed() bool {
	for i := range l.members {
		s := &l.members[i]
		if !s.checkpointed && s.state != inner.TaskState_TASK_STATE_COMPLETED {
			return false
		}
	}
	return true
}

func (l *leader) reply(now time.Time) *inner.BeatReply {
	_, age := l.longestSilence(now)
	return &inner.BeatReply{
		Go:     l.started && !l.stopped,
		Stop:   l.stopped,
		Oldest: durationpb.New(age),
		Reason: l.reason,
		Done:   l.done(),
		Saved:  l.allCheckpointed(),
		// Zero means that there is no stamp.
		Stamp: max(int64(now.Sub(l.created)), 1),
	}
}
