// Package chestnutpond defines the values and interfaces that all parts of the
// scheduler share.
//
// The scheduler places the work of several client accounts on a shared fleet of
// workers. There are two kinds of work. A request occupies one slot of one
// upstream for seconds and is answered on its caller's connection. A job is a
// gang of tasks on adjacent accelerators; it is durable once it is accepted and
// runs for hours.
//
// The system consists of two kinds of processes. An entry accepts work from
// callers and places it. An agent runs beside an upstream, owns the slots and
// accelerators of its worker, and rejects stale orders. State that needs
// agreement or durability is stored in the platform's log service.
//
// The values of this package are immutable: a With method returns a modified
// copy. The interfaces Log, Worker, Upstream and EventSink represent systems
// outside the process. Their implementations are under internal/.
package chestnutpond
