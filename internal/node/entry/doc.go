// Package entry implements the entry process.
//
// An entry serves callers and operators over HTTP, and agents and other entries
// over the inner gRPC protocol. It replicates the log and schedules the regions
// whose term it holds. The package connects the components and translates
// between HTTP and their APIs; scheduling decisions are made in internal/core.
//
// On a planned stop the readiness check fails first. The entry keeps serving
// until the load balancer has removed it, hands over its regions and agents,
// waits for the open requests, and only then closes its listeners.
package entry
