// Package entry is the process on an entry host.
//
// It serves callers and operators over HTTP, agents and other entries over the
// inner protocol, follows the log, and schedules the regions whose term it
// holds. The package wires the parts together and translates between HTTP and
// the parts; decisions are made in internal/core.
//
// A planned stop first makes the readiness check fail, then serves on until the
// balancer has taken the entry out, hands its regions and agents over, waits
// for the open requests, and only then closes its listeners.
package entry
