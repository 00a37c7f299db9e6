// Package place decides where the jobs of one region run.
//
// A Core knows the document, the workers of the region and every job that waits
// or runs there. Its caller reports what happens and asks Decide what to do
// next: start an attempt on concrete accelerators, preempt a job, or give a job
// up as impossible. The package has no clock, no goroutine and no source of
// randomness of its own, and the same calls give the same actions.
//
// Each guarantee of the document is bound to concrete accelerators, its cell.
// Cells are disjoint. A job that runs on a cell of its own account is guaranteed
// and is never preempted. Every other job is a borrower: it may run on free
// accelerators anywhere, also on idle cells of other accounts, and is preempted
// when the owner of such a cell claims it. A claim binds its accelerators at
// once, so two claims never wait for the same ones.
//
// Work beyond the guarantees is ordered by class, then by the borrowed
// accelerators of the account relative to its weight, then by those of the
// caller, then by age. Classes below urgent keep a small share of the fleet, so
// none waits forever. When the first job in this order does not fit, it gets a
// reservation: accelerators that are withheld from others as they become free.
// Only accelerators outside the reservation are backfilled, because declared run
// times are unreliable.
//
// Small borrowers that ran a short time are moved together when that frees one
// more of the largest guaranteed shape: they are preempted, and start on a worker
// that is partly used as soon as they have stopped.
//
// Waiting jobs are grouped into lanes by class and shape. A decision compares
// the head of each lane and looks at one summary for each rack, so it neither
// scans the queue nor all workers.
package place
