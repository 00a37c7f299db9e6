// Package admit decides which requests wait at an entry, which one is served
// next, and which ones are refused while they have provably not run.
//
// Waiting requests are grouped by account, by lane and by caller. A lane is a kind
// in one class, once for what callers usually send and once for the surplus.
// Service is shared by weight across accounts, then evenly across the lanes of an
// account, then evenly across the callers of a lane, then by age. Each group
// carries a tag, the service that it received in seconds divided by its weight; the
// group with the least tag is next. A class does not change a share. It only lets
// a group go ahead of the others by a bounded amount of service, so urgent work
// starts early and no class waits for good.
//
// What a caller usually sends of a kind is its service over the last half hour,
// with slack and with a floor for callers and kinds that are new. The surplus
// stands back behind usual work by a bounded amount. In a flood the other work
// therefore keeps what it had before.
//
// Every queue is bounded by total, kind, account and caller. When one is full,
// the newest request of the longest queue in it makes room for a caller with a
// shorter queue, surplus first; otherwise the newcomer is refused. A request whose
// expected wait passes its deadline is refused on arrival. Surplus is expected to
// wait at least until the usual work in the queue has been served. A bounded part of
// the requests is served out of turn because their deadlines are near.
//
// The caller of the package offers a request, asks for the next one whenever a slot
// may be free, and ends it by Done. A request that was refused wherever it was
// sent goes back by PutBack. Expired has to be called at intervals.
//
// A Queue is deterministic: it reads no clock and draws no random numbers. It is
// not safe for concurrent use; the caller holds a lock.
package admit
