// Package sched schedules the jobs of the regions whose term this entry holds.
//
// A Manager tracks the leadership terms: it claims vacant ones, stops scheduling
// when another entry claims a term, and hands a region over to an entry located
// in it. Each held region has a scheduler that updates the placement core from
// the log, the document and the agents' rows, and executes the core's decisions.
// One goroutine runs each attempt of a job, from the first reservation until all
// of its tasks are known to have stopped.
//
// An attempt is a two-phase commit: reserve on all agents, append the start
// record and read it back, commit on all agents, then watch. The start record is
// the commit point; if it is void, nothing was committed. An attempt ends only
// after every member has confirmed its stop, or after the time within which it
// must have stopped on its own.
package sched
