// Package proof holds the tests with real processes: entries, agents and the
// stand-ins of the platform on loopback, with a fault-injecting proxy on the
// paths between them. It has no code outside of its tests.
//
// A proxy stands on the path of each entry to the log service. In the fleets of
// startCuttable one stands also on the path from each entry and agent to the
// inner port of each other one, so that any two can be cut from each other, one
// way too. Not on a proxy are the
// paths of agents to their worker and upstream, and those of callers. A cut
// closes connections at once; a link that loses packets is shown as silence.
//
// The tests record histories (runs of tasks, executions of requests, outcomes
// that callers saw, versions that processes reported) and hand them to
// checkers, which are pure functions. Each checker is itself tested with
// histories that it must reject.
//
// Processes are polled against a generous deadline; no test waits for a fixed
// time to pass, and a process is only ever ended through its own handle.
package proof
