package gangs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	atBarrier = inner.TaskState_TASK_STATE_WAITING
	runs      = inner.TaskState_TASK_STATE_RUNNING
	completed = inner.TaskState_TASK_STATE_COMPLETED
)

// Guards the leader's judgement: each case is a series of beats, and the last
// answer counts.
func TestLeader(t *testing.T) {
	type beat struct {
		after time.Duration
		// late is the time that the beat was on its way.
		late        time.Duration
		member      int32
		state       inner.TaskState
		sequence    int64
		incarnation int64
	}
	joined := []beat{{member: 0, state: atBarrier, sequence: 1}, {member: 1, state: atBarrier, sequence: 1}}
	cases := map[string]struct {
		beats            []beat
		goes, stop, done bool
		oldest           time.Duration
	}{
		"one waits":   {beats: joined[:1]},
		"all joined":  {beats: joined, goes: true},
		"joined late": {beats: []beat{joined[0], {after: GangLease, member: 1, state: atBarrier, sequence: 1}}, stop: true},
		"silent":      {beats: append(joined[:2:2], beat{after: GangLease, state: runs, sequence: 2}), stop: true},
		"almost silent": {
			beats: append(joined[:2:2], beat{after: GangLease - 1, state: runs, sequence: 2}), goes: true, oldest: GangLease - 1,
		},
		"a late beat revives nothing": {
			beats: append(joined[:2:2],
				beat{after: 2 * time.Second, state: runs, sequence: 2},
				beat{after: time.Second, member: 1, state: runs, sequence: 2},
				beat{state: runs, sequence: 3}),
			stop: true,
		},
		"a beat out of order proves nothing": {
			beats: append(joined[:2:2],
				beat{after: 2 * time.Second, member: 1, state: runs, sequence: 1},
				beat{state: runs, sequence: 2}),
			goes: true, oldest: 2 * time.Second,
		},
		"a late beat counts from its sending": {
			beats: append(joined[:2:2],
				beat{after: 2 * time.Second, late: 500 * time.Millisecond, member: 1, state: runs, sequence: 2},
				beat{after: time.Second, state: runs, sequence: 2}),
			stop: true,
		},
		"completed is not missing": {
			beats: append(joined[:2:2],
				beat{member: 1, state: completed, sequence: 2},
				beat{after: 2 * time.Second, state: runs, sequence: 2},
				beat{after: 2 * time.Second, state: runs, sequence: 3}),
			goes: true,
		},
		"all completed": {
			beats: append(joined[:2:2],
				beat{member: 1, state: completed, sequence: 2}, beat{state: completed, sequence: 2},
				beat{after: time.Hour, member: 1, state: completed, sequence: 3}),
			goes: true, done: true,
		},
		"other incarnation": {beats: append(joined[:1:1], beat{member: 1, incarnation: 4, state: atBarrier, sequence: 1}), stop: true},
		"no such member":    {beats: []beat{{member: 2, state: atBarrier, sequence: 1}}, stop: true},
		"a member failed": {
			beats: append(joined[:2:2],
				beat{member: 1, state: inner.TaskState_TASK_STATE_FAILED, sequence: 2}, beat{state: runs, sequence: 2}),
			stop: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.commit("j", 1, 0)
			var reply *inner.BeatReply
			for _, b := range c.beats {
				f.now = f.now.Add(b.after)
				agent, incarnation := "a0", int64(3)
				if b.member == 1 {
					agent, incarnation = "a1", 9
				}
				if b.incarnation > 0 {
					incarnation = b.incarnation
				}
				reply = f.Hear(&inner.BeatRequest{
					Echo: int64(f.now.Sub(start) - b.late),
					Job:  "j", Attempt: 1, Member: b.member, Agent: agent, Incarnation: incarnation,
					State: b.state, Sequence: b.sequence,
				}, f.now)
			}
			assert.Equal(t, reply.GetGo(), c.goes)
			assert.Equal(t, reply.GetStop(), c.stop, reply.GetReason())
			assert.Equal(t, reply.GetDone(), c.done)
			if !c.stop {
				assert.Equal(t, reply.GetOldest().AsDuration(), c.oldest)
			}
		})
	}
}

// Guards the answers of an agent that does not lead the gang, such as one that
// was restarted: only a member at the barrier may go on, without any proof.
func TestUnknownGang(t *testing.T) {
	cases := map[string]struct {
		state inner.TaskState
		fence bool
		stop  bool
	}{
		"at the barrier": {state: atBarrier},
		"fenced":         {state: atBarrier, fence: true, stop: true},
		"running":        {state: runs, stop: true},
		"completed":      {state: completed, stop: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			if c.fence {
				f.stop("j", 1, 5, true)
			}
			reply := f.Hear(&inner.BeatRequest{Job: "j", Attempt: 1, Member: 1, State: c.state}, f.now)
			assert.Equal(t, reply.GetStop(), c.stop)
			assert.Assert(t, !reply.GetGo())
			assert.Assert(t, c.stop || reply.GetOldest().AsDuration() >= GangLease)
		})
	}
}

// Guards against a scheduler that cannot learn that the rest of a gang has
// stopped: member 0 has completed, the other one is silent.
func TestCompletedLeaderTells(t *testing.T) {
	cases := map[string]struct {
		other inner.TaskState
		tells bool
	}{
		"other silent":    {runs, true},
		"other completed": {completed, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			key := f.commit("j", 1, 0)
			own, _ := f.Beat(key, f.now)
			f.Hear(own.Request, f.now)
			f.Confirm(key, f.now, f.Hear(&inner.BeatRequest{
				Job: "j", Attempt: 1, Member: 1, Agent: "a1", Incarnation: 9, State: c.other, Sequence: 1,
			}, f.now), f.now)
			assert.Equal(t, f.Next(key, f.now).Action, Start)
			f.Started(key, nil, f.now)
			f.Report([]chestnutpond.TaskStatus{{ID: key.Task(), Phase: chestnutpond.TaskCompleted}}, f.now, f.now)
			for {
				beat, more := f.Beat(key, f.now)
				if !more {
					break
				}
				f.Confirm(key, f.now, f.Hear(beat.Request, f.now), f.now)
				f.now = f.now.Add(BeatEvery)
			}
			row := f.Rows(f.now)[0]
			assert.Equal(t, row.GetState(), completed)
			assert.Equal(t, row.GetReason() != "", c.tells, row.GetReason())
		})
	}
}
