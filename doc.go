// Package chestnutpond holds the values and interfaces that all parts of the
// scheduler share.
//
// The scheduler places the work of several client accounts on a shared fleet.
// There are two kinds of work. A request takes one slot of one upstream for
// seconds and is answered on its caller's connection. A job is a gang of tasks
// on adjacent accelerators; it is durable from its acceptance on and runs for
// hours.
//
// Two processes make up the system. An entry takes work from callers and places
// it. An agent runs beside an upstream, owns the slots and accelerators of its
// worker, and refuses whatever is stale. What must be agreed or must last goes
// through the platform's log service.
//
// The values of this package are immutable: a With method returns a changed
// copy. The interfaces stand for what lies outside a process: Log, Worker,
// Upstream and EventSink. Their implementations are under internal/.
package chestnutpond
