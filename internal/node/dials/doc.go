// Package dials keeps the gRPC connections of a process to others.
//
// A connection can go silent for good while new ones to the same address work,
// because something between the two ends lost track of it. The pool therefore
// probes each connection that has calls outstanding, on that connection itself,
// and closes one that does not answer. The outstanding calls fail at once, and
// their callers ask for the outcome on a new connection. The silence is the
// connection's fault and is never counted against the process behind it.
package dials
