package gangs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	stateWaiting   = inner.TaskState_TASK_STATE_WAITING
	stateRunning   = inner.TaskState_TASK_STATE_RUNNING
	stateCompleted = inner.TaskState_TASK_STATE_COMPLETED
)

// Guards against a leader that starts a gang too early or keeps it running
// although a member is silent. Each case is a series of beats, and the test
// checks the last reply.
func TestLeader(t *testing.T) {
	type beat struct {
		after time.Duration
		// delay is how long the beat took to arrive.
		delay       time.Duration
		member      int32
		state       inner.TaskState
		sequence    int64
		incarnation int64
	}
	joined := []beat{{member: 0, state: stateWaiting, sequence: 1}, {member: 1, state: stateWaiting, sequence: 1}}
	cases := map[string]struct {
		beats                      []beat
		wantGo, wantStop, wantDone bool
		wantOldest                 time.Duration
	}{
		"one waits":   {beats: joined[:1]},
		"all joined":  {beats: joined, wantGo: true},
		"joined late": {beats: []beat{joined[0], {after: GangLease, member: 1, state: stateWaiting, sequence: 1}}, wantStop: true},
		"silent":      {beats: append(joined[:2:2], beat{after: GangLease, state: stateRunning, sequence: 2}), wantStop: true},
		"almost silent": {
			beats: append(joined[:2:2], beat{after: GangLease - 1, state: stateRunning, sequence: 2}), wantGo: true, wantOldest: GangLease - 1,
		},
		"a delayed beat after the gang lease": {
			beats: append(joined[:2:2],
				beat{after: 2 * time.Second, state: stateRunning, sequence: 2},
				beat{after: time.Second, member: 1, state: stateRunning, sequence: 2},
				beat{state: stateRunning, sequence: 3}),
			wantStop: true,
		},
		"a beat out of order": {
			beats: append(joined[:2:2],
				beat{after: 2 * time.Second, member: 1, state: stateRunning, sequence: 1},
				beat{state: stateRunning, sequence: 2}),
			wantGo: true, wantOldest: 2 * time.Second,
		},
		"a delayed beat counts from when it was sent": {
			beats: append(joined[:2:2],
				beat{after: 2 * time.Second, delay: 500 * time.Millisecond, member: 1, state: stateRunning, sequence: 2},
				beat{after: time.Second, state: stateRunning, sequence: 2}),
			wantStop: true,
		},
		"a completed member is silent": {
			beats: append(joined[:2:2],
				beat{member: 1, state: stateCompleted, sequence: 2},
				beat{after: 2 * time.Second, state: stateRunning, sequence: 2},
				beat{after: 2 * time.Second, state: stateRunning, sequence: 3}),
			wantGo: true,
		},
		"all completed": {
			beats: append(joined[:2:2],
				beat{member: 1, state: stateCompleted, sequence: 2}, beat{state: stateCompleted, sequence: 2},
				beat{after: time.Hour, member: 1, state: stateCompleted, sequence: 3}),
			wantGo: true, wantDone: true,
		},
		"other incarnation": {beats: append(joined[:1:1], beat{member: 1, incarnation: 4, state: stateWaiting, sequence: 1}), wantStop: true},
		"no such member":    {beats: []beat{{member: 2, state: stateWaiting, sequence: 1}}, wantStop: true},
		"a member failed": {
			beats: append(joined[:2:2],
				beat{member: 1, state: inner.TaskState_TASK_STATE_FAILED, sequence: 2}, beat{state: stateRunning, sequence: 2}),
			wantStop: true,
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
				reply = f.HandleBeat(&inner.BeatRequest{
					Echo: int64(f.now.Sub(start) - b.delay),
					Job:  "j", Attempt: 1, Member: b.member, Agent: agent, Incarnation: incarnation,
					State: b.state, Sequence: b.sequence,
				}, f.now)
			}
			assert.Equal(t, reply.GetGo(), c.wantGo)
			assert.Equal(t, reply.GetStop(), c.wantStop, reply.GetReason())
			assert.Equal(t, reply.GetDone(), c.wantDone)
			if !c.wantStop {
				assert.Equal(t, reply.GetOldest().AsDuration(), c.wantOldest)
			}
		})
	}
}

// Guards the replies of an agent that has no record of the gang, for example
// after a restart: only a member at the barrier may continue, and the reply does
// not extend its gang lease.
func TestUnknownGang(t *testing.T) {
	cases := map[string]struct {
		state inner.TaskState
		fence bool
		stop  bool
	}{
		"at the barrier": {state: stateWaiting},
		"fenced":         {state: stateWaiting, fence: true, stop: true},
		"running":        {state: stateRunning, stop: true},
		"completed":      {state: stateCompleted, stop: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			if c.fence {
				f.stop("j", 1, 5, true)
			}
			reply := f.HandleBeat(&inner.BeatRequest{Job: "j", Attempt: 1, Member: 1, State: c.state}, f.now)
			assert.Equal(t, reply.GetStop(), c.stop)
			assert.Assert(t, !reply.GetGo())
			assert.Assert(t, c.stop || reply.GetOldest().AsDuration() >= GangLease)
		})
	}
}

// Guards against a scheduler that cannot learn why a gang was stopped: member 0
// has completed and the other member is silent.
func TestCompletedLeaderReportsBrokenGang(t *testing.T) {
	cases := map[string]struct {
		otherState inner.TaskState
		wantReason bool
	}{
		"other silent":    {stateRunning, true},
		"other completed": {stateCompleted, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			key := f.commit("j", 1, 0)
			own, _ := f.Beat(key, f.now)
			f.HandleBeat(own.Request, f.now)
			f.ApplyReply(key, f.now, f.HandleBeat(&inner.BeatRequest{
				Job: "j", Attempt: 1, Member: 1, Agent: "a1", Incarnation: 9, State: c.otherState, Sequence: 1,
			}, f.now), f.now)
			assert.Equal(t, f.Next(key, f.now).Action, Start)
			f.Started(key, nil, f.now)
			f.ApplyTaskList([]chestnutpond.TaskStatus{{ID: key.Task(), Phase: chestnutpond.TaskCompleted}}, f.now, f.now)
			for {
				beat, more := f.Beat(key, f.now)
				if !more {
					break
				}
				f.ApplyReply(key, f.now, f.HandleBeat(beat.Request, f.now), f.now)
				f.now = f.now.Add(BeatInterval)
			}
			row := f.Rows(f.now)[0]
			assert.Equal(t, row.GetState(), stateCompleted)
			assert.Equal(t, row.GetReason() != "", c.wantReason, row.GetReason())
		})
	}
}
