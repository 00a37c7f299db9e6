package sched

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/fleet"
	"github.com/chestnutpond/chestnutpond/internal/core/gangs"
	"github.com/chestnutpond/chestnutpond/internal/core/place"
	"github.com/chestnutpond/chestnutpond/internal/node/peers"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// rowGrace is how long after the commit a row may not show the task yet.
	rowGrace = 3 * time.Second
	// gangMargin covers the calls between the leases of gangGone.
	gangMargin = 1500 * time.Millisecond
	// gangGone is how long after one member surely stopped all others have
	// stopped too.
	gangGone = gangs.HoldTTL + gangs.GangLease + gangs.TaskLease + gangMargin
	// unreachableGone is how long after the last contact with any member a whole
	// gang has stopped, if no entry is lost that its agents may still reach.
	unreachableGone = gangs.IsolationLimit + gangGone
	// cutOffGone is the same while entries are lost. peerLost and the detection
	// of the cut by the other side are in its last term.
	cutOffGone = peers.VouchLimit + unreachableGone + 10*time.Second
)

// goneAfter returns how long after the last contact a whole gang has surely
// stopped. It is not known while entries are lost and this entry hears no
// majority: the agents may then follow the others.
func (r *region) goneAfter() (time.Duration, bool) {
	heard, lost := 1, 0
	for _, p := range r.m.cfg.Members.Peers() {
		if p.Lost {
			lost++
		} else {
			heard++
		}
	}
	if lost == 0 {
		return unreachableGone, true
	}
	return cutOffGone, heard > lost
}

// isGone reports whether a worker that is silent has surely stopped its part of
// a gang of which no member can be reached. A worker that this entry never heard
// of may run: the entry may have started a moment ago.
func (a *attempt) isGone(row fleet.Row, known bool) bool {
	limit, sure := a.region.goneAfter()
	now := a.region.m.cfg.Members.Now()
	if !known {
		return sure && now-a.since > limit
	}
	return sure && row.Lost && now-row.LostAt > limit
}

// sight is what the rows say about an attempt.
type sight struct {
	running   bool
	completed bool
	result    string
	failed    *place.Failure
	// broken is why the gang cannot be whole; empty while it may be.
	broken string
}

// inspect reads the members' rows. A silent agent alone breaks nothing: its
// gang notices by itself when it is gone, and the rows of the others tell.
func (a *attempt) inspect() sight {
	members := a.region.m.cfg.Members
	now := members.Now()
	var s sight
	running, completed, silent := 0, 0, 0
	for _, p := range a.placements {
		row, ok := members.Row(p.Worker)
		if !ok || row.Lost {
			silent++
			if a.isGone(row, ok) {
				s.broken = "worker " + p.Worker + " is gone"
			}
			continue
		}
		task, found := a.taskOf(row, p)
		if !found {
			a.noteMissing(&s, row, p, now)
			continue
		}
		switch task.GetState() {
		case inner.TaskState_TASK_STATE_RUNNING:
			running++
		case inner.TaskState_TASK_STATE_COMPLETED:
			completed++
			if p.Member == 0 {
				s.result = task.GetResult()
				if reason := task.GetReason(); reason != "" {
					// The leader has stopped the rest, which may be silent.
					s.broken = reason
				}
			}
		case inner.TaskState_TASK_STATE_FAILED:
			s.failed = &place.Failure{Worker: p.Worker, Blame: true, Reason: task.GetReason()}
		case inner.TaskState_TASK_STATE_STOPPED:
			s.broken = "stopped on " + p.Worker + ": " + task.GetReason()
		}
	}
	if silent > 0 && running > 0 {
		s.broken = ""
	}
	s.completed = completed == len(a.placements)
	s.running = running+completed == len(a.placements)
	return s
}

// taskOf finds the attempt's task in a row. A new incarnation of the agent runs
// nothing of the attempt, but it may have found that the task completed.
func (a *attempt) taskOf(row fleet.Row, p chestnutpond.Placement) (*inner.Task, bool) {
	for _, t := range row.Member.GetTasks() {
		if t.GetJob() != string(a.spec.ID) || t.GetAttempt() != a.number || int(t.GetMember()) != p.Member {
			continue
		}
		completed := t.GetState() == inner.TaskState_TASK_STATE_COMPLETED
		return t, completed || row.Member.GetIncarnation() == p.Incarnation
	}
	return nil, false
}

func (a *attempt) noteMissing(s *sight, row fleet.Row, p chestnutpond.Placement, now time.Duration) {
	if row.Member.GetIncarnation() > p.Incarnation {
		s.broken = "agent of " + p.Worker + " was restarted"
		return
	}
	if now-a.since > rowGrace {
		s.broken = "worker " + p.Worker + " does not have the task"
	}
}
