// Package admit implements the admission queue of an entry: a bounded, weighted
// fair queue with deadlines. It decides which requests wait, which one is served
// next, and which ones are refused without having run.
//
// Waiting requests are grouped by account, lane and caller. A workload is a kind
// of request in one class; it has a lane for baseline requests and one for
// surplus. Service is shared by weight among accounts, then evenly among the lanes
// of an account, then evenly among the callers of a lane, and by age within a
// caller. Each group carries a tag, the service that it received in seconds
// divided by its weight, and the group with the lowest tag is served next. A class
// does not change a group's share. It only lets the group be served ahead of
// others by a bounded amount of service (its lead), so urgent requests start early
// and no class starves.
//
// A caller's baseline rate for a kind is its average service over about the last
// half hour. Requests within that rate, with some slack and a minimum for new
// callers and kinds, are baseline requests; the rest is surplus. A token bucket
// for each caller and workload tells them apart. Surplus is ranked behind baseline
// requests by a bounded amount of service, so during a flood all other traffic
// keeps the service that it had before.
//
// The queue is bounded in total, per workload, per account and per caller. When a
// bound is reached, a new request of a caller with a shorter queue evicts the
// newest request of the longest queue, surplus first; otherwise the new request is
// refused. A request whose expected wait is too long for its deadline is refused
// on arrival. Surplus is expected to wait at least until the waiting baseline
// requests have been served. A bounded part of the requests is served out of order
// because their deadlines are near.
//
// Users of the package call Offer for each request, Next whenever a slot may be
// free, and Done when a request has ended. Requeue returns a request that was
// refused by every upstream it was sent to. Expired must be called periodically.
//
// A Queue is deterministic: it reads no clock and draws no random numbers. It is
// not safe for concurrent use; the caller holds a lock.
package admit
