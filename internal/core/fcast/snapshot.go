// Package fcast predicts when work of a given shape would start if it arrived now.
//
// A Forecaster simulates a Snapshot of the planner: the free capacity of the workers, the
// expected ends of their runs, and the waiting work in the planner's order. It places the
// waiting work at the earliest time at which it fits and reads off when one more job of each
// class of shape would start. The result is a Digest, which the leader sends to the entries
// and which Judge compares with the objective of a new job.
//
// Where the simulation has to approximate it errs towards an early start, because a wrong
// rejection costs a caller more than a job that is accepted and served late. Times are
// relative to the snapshot. The package is deterministic.
package fcast

import (
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// Snapshot is the state of the planner that a forecast needs.
type Snapshot struct {
	// Workers are those that may be given work.
	Workers []Worker
	// Waiting is the waiting work in the planner's order, so its priorities ascend.
	Waiting []Work
	// Queues have the classes of shape for which a forecast is wanted.
	Queues []QueueSnapshot
	// Accounts have the unfinished urgent work of the accounts with a guarantee.
	Accounts []AccountUse
}

// Worker is the capacity of a worker.
type Worker struct {
	Service string
	Rack    string
	// Capacity is that of the worker without runs.
	Capacity chestnutpond.Resources
	// Free is not assigned to runs. It may be negative.
	Free chestnutpond.Resources
	// Releases are the runs that are expected to end.
	Releases []Release
}

// Release is capacity that a run occupies until its expected end.
type Release struct {
	// After is the time until the expected end.
	After    time.Duration
	Need     chestnutpond.Resources
	Priority int
}

// Standing is the place of waiting work among that of its priority.
type Standing int

// The standings, in the order of placement.
const (
	// OnTime work can still meet its objective, or is guaranteed.
	OnTime Standing = iota
	// Late work will miss its objective.
	Late
	// Expired work has no value left.
	Expired
)

// Work is the waiting tasks of a step.
type Work struct {
	Service  string
	Priority int
	// Standing orders the work of a priority.
	Standing Standing
	// OnTimeFor is how long the work remains on time, and ValidFor until it has expired.
	OnTimeFor, ValidFor time.Duration
	Shape               Shape
	Duration            time.Duration
	// Label is a label that the worker must have; empty means any worker.
	Label string
	// Eligible says for each worker whether it may run the tasks; nil means all workers of
	// the service.
	Eligible []bool
}

// Shape is what the tasks of a step need at a time.
type Shape struct {
	// Need is the need of a task.
	Need chestnutpond.Resources
	// Width is the number of tasks, at least 1.
	Width int
	// Gang means that the tasks only start together.
	Gang bool
	// SameRack means that the tasks of a gang start on one rack.
	SameRack bool
}

// Covers reports whether a job of shape s needs at least what one of shape o needs, so
// that it cannot start before one.
func (s Shape) Covers(o Shape) bool {
	return s.Need.Covers(o.Need) && s.Width >= o.Width && (s.Gang || !o.Gang) && (s.SameRack || !o.SameRack)
}

// QueueSnapshot is what a forecast needs of a queue.
type QueueSnapshot struct {
	Name     string
	Service  string
	Priority int
	// Duration is the expected duration of a task by the queue's statistics; zero if not known.
	Duration time.Duration
	// Capacity is the total capacity of the usable workers of the service.
	Capacity chestnutpond.Resources
	// Classes are at most MaxClasses shapes.
	Classes []Shape
}

// AccountUse is the unfinished urgent work of an account.
type AccountUse struct {
	Account string
	// Accelerators is the number that the account's unfinished work of priority 0 needs.
	Accelerators int64
}

// MaxClasses limits the classes of shape of a queue. Jobs of further shapes are compared
// with those classes that they cover.
const MaxClasses = 8
