// Package route implements the choice of an upstream for each request, the retry
// budget and the ejection of unhealthy upstreams.
//
// Every entry routes independently, based on its own counts: the requests that it
// has open on each target, which is exact, and an estimate of the slots in use by
// other entries, which is taken from the reports that come with answers and decays
// with time. The agent of the upstream arbitrates: it refuses requests beyond its
// slots, and a refusal proves that the request did not run.
//
// Targets are grouped in tiers by distance: the entry's own zone, its region, then
// the other regions within a byte budget. The nearest tier that can accept the
// request is used, and within it the least loaded of a few random choices. A
// target whose requests fail while the same kinds succeed elsewhere is ejected for
// a growing time and then gets one request at a time until one is answered. The
// ejected share of the targets is capped, and a kind that would lose its last
// healthy target keeps using all of them.
//
// A Router is deterministic: it reads no clock, and its random choices follow from
// the seed. It is not safe for concurrent use; the caller holds a lock.
package route
