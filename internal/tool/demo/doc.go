// Package demo runs a whole deployment in one process: an entry, agents, and
// in-memory stand-ins of the log service, the workers and the upstreams.
//
// It publishes a document, answers requests of two client accounts, lends idle
// accelerators to one account, reclaims them for the other's guarantee, and
// prints the time line of what happened. It needs no file and no network beyond
// loopback, and ends by itself in a few seconds.
package demo
