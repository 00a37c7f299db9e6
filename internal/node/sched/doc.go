// Package sched schedules the jobs of the regions whose term this entry holds.
//
// A Manager watches the terms: it claims one that nobody holds, gives up one
// that another entry claimed, and hands a region to an entry inside it. For each
// held region a scheduler feeds the placement core with what the log, the
// document and the agents say, and carries out what the core decides. Each
// attempt of a job is driven by one goroutine from the first reservation to the
// proof that nothing of it runs any more.
//
// The order of an attempt is: reserve on all agents, append the start and read
// it back, commit on all agents, watch. The start record is the point of no
// return; if it is void, nothing was committed. Before an attempt is given up,
// every member has either confirmed that it is stopped, or has had the time
// after which it must have stopped by itself.
package sched
