// Package place decides on which workers the jobs of one region run.
//
// A Core holds the document of accounts and guarantees, the workers of the
// region, and all jobs that wait or run there. Its caller reports events and
// asks Decide for the next actions: start an attempt on specific accelerators,
// preempt a job, or give up a job as impossible. The package uses no clock, no
// goroutines and no randomness, so the same calls always return the same actions.
//
// Each shape that the document guarantees is bound to specific accelerators, its
// cell. Cells are disjoint. A job that runs on a cell of its own account is
// guaranteed. It is preempted only if it belongs to a backlogged caller, and only
// for a job of the same account. Every other job is a borrower. It may run on free
// accelerators anywhere, including idle cells of other accounts, and is preempted
// when the owner of such a cell reclaims it. A claim takes all its accelerators at
// once, so two claims never wait for each other.
//
// Borrowers are ordered by class, then by the number of accelerators that the
// account borrows relative to its weight, then by the usage of the caller, then
// by age. Classes below urgent have a small minimum share of the fleet, so that
// none starves. If the first job in this order does not fit, it gets a
// reservation: accelerators that other jobs do not get as they become free. Jobs
// are backfilled only on accelerators outside the reservation, because declared
// run times are unreliable.
//
// Consolidation migrates small borrowers that have run for a short time if that
// frees accelerators for one more of the largest guaranteed shape. They are
// preempted, and start on another partly used worker once they have stopped.
//
// Waiting jobs are grouped into subqueues by class and shape. A decision compares
// the head of each subqueue and reads one summary per rack, so that it scans
// neither the whole queue nor all workers.
package place
