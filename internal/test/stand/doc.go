// Package stand holds the stand-ins of the platform for tests: a log service, a
// worker and an upstream.
//
// Each stand-in is both an implementation of the root interface, for use in one
// process, and an http.Handler that speaks the platform's protocol. Both forms
// share one state, so a test may drive one and look at the other. The forms in
// one process use no socket and only the time package, and therefore work
// inside a testing/synctest bubble.
//
// Faults are one struct for each stand-in. SetFaults replaces it; POST /control
// merges a JSON object of the same fields into it, names in snake_case and
// durations as strings such as "1.5s". Unknown names are errors.
//
// What a stand-in records for a test (runs of tasks, executions of requests) is
// kept for its whole life without a bound, because a history with gaps would
// hide the faults that it is recorded to show.
package stand
