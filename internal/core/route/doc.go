// Package route chooses the upstream of a request, decides on retries and judges
// the health of upstreams.
//
// Every entry routes on its own, by what it counts itself: the requests that it
// has open on each target, exact at every moment, and an estimate of what the
// other entries use, taken from the reports that come with answers and fading
// with time. The agent of the upstream arbitrates; it refuses what does not fit,
// and a refusal proves that the request did not run.
//
// Targets are tried by distance: the entry's own zone, its region, then the other
// regions within a budget of bytes. Inside a distance the less loaded of a few
// random choices is taken. A target whose requests fail while the same kinds
// succeed elsewhere is ejected for a growing time and comes back with one request
// at a time. The ejected part of the fleet is capped, and a kind whose last
// targets would be ejected uses all of them.
//
// A Router is deterministic: it reads no clock, and its random choices follow from
// the seed. It is not safe for concurrent use; the caller holds a lock.
package route
