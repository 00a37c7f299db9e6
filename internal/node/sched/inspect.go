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
	// rowGrace is how long after the commit the worker's row may lack the task.
	rowGrace = 3 * time.Second
	// gangCallMargin covers the calls between the leases in gangStopDelay.
	gangCallMargin = 1500 * time.Millisecond
	// gangStopDelay is how long after the confirmed stop of one member all others
	// have stopped too.
	gangStopDelay = gangs.ReservationTTL + gangs.GangLease + gangs.TaskLease + gangCallMargin
	// unreachableStopDelay is how long after the last contact with any member the
	// whole gang has stopped, if no entry is lost that its agents may still reach.
	unreachableStopDelay = gangs.IsolationTimeout + gangStopDelay
	// partitionStopDelay is the same while entries are lost. Its last term covers
	// peers.peerLostAfter and the time in which the other side of the partition
	// detects it.
	partitionStopDelay = peers.PartitionLimit + unreachableStopDelay + 10*time.Second
)

// stopDelay returns how long after the last contact a whole gang has certainly
// stopped. It returns false while entries are lost and this entry is not in
// contact with a majority: the agents may then be in contact with the others.
func (r *regionScheduler) stopDelay() (time.Duration, bool) {
	live, lost := 1, 0
	for _, p := range r.mgr.cfg.Members.Peers() {
		if p.Lost {
			lost++
		} else {
			live++
		}
	}
	if lost == 0 {
		return unreachableStopDelay, true
	}
	return partitionStopDelay, live > lost
}

// leaseExpired reports whether a silent worker has certainly stopped its task of a
// gang of which no member can be reached. A worker that this entry does not know
// may still run the task, because the entry may just have started; its time is
// counted from activeSince.
func (a *attempt) leaseExpired(row fleet.Row, known bool) bool {
	limit, bounded := a.sched.stopDelay()
	now := a.sched.mgr.cfg.Members.Now()
	if !known {
		return bounded && now-a.activeSince > limit
	}
	return bounded && row.Lost && now-row.LostAt > limit
}

// gangStatus is the state of an attempt according to the rows of its workers.
type gangStatus struct {
	running   bool
	completed bool
	result    string
	failed    *place.Failure
	// brokenReason is why the gang is incomplete; empty while it may be complete.
	brokenReason string
}

// inspect derives the state of the attempt from the members' rows. A silent agent
// alone does not make the gang broken: if the agent is gone, the other members
// stop by themselves and their rows show it.
func (a *attempt) inspect() gangStatus {
	members := a.sched.mgr.cfg.Members
	now := members.Now()
	var s gangStatus
	running, completed, silent := 0, 0, 0
	for _, p := range a.placements {
		row, ok := members.Row(p.Worker)
		if !ok || row.Lost {
			silent++
			if a.leaseExpired(row, ok) {
				s.brokenReason = "worker " + p.Worker + " is gone"
			}
			continue
		}
		task, found := a.taskOf(row, p)
		if !found {
			a.markMissing(&s, row, p, now)
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
					// The leader has stopped the other members, which may be silent.
					s.brokenReason = reason
				}
			}
		case inner.TaskState_TASK_STATE_FAILED:
			s.failed = &place.Failure{Worker: p.Worker, WorkerSuspect: true, Reason: task.GetReason()}
		case inner.TaskState_TASK_STATE_STOPPED:
			s.brokenReason = "stopped on " + p.Worker + ": " + task.GetReason()
		}
	}
	if silent > 0 && running > 0 {
		s.brokenReason = ""
	}
	s.completed = completed == len(a.placements)
	s.running = running+completed == len(a.placements)
	return s
}

// taskOf returns the attempt's task in a row. A new incarnation of the agent does
// not run the task, but may have found that it completed.
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

func (a *attempt) markMissing(s *gangStatus, row fleet.Row, p chestnutpond.Placement, now time.Duration) {
	if row.Member.GetIncarnation() > p.Incarnation {
		s.brokenReason = "agent of " + p.Worker + " was restarted"
		return
	}
	if now-a.activeSince > rowGrace {
		s.brokenReason = "worker " + p.Worker + " does not have the task"
	}
}
