// Package load measures the policies for requests under loads in virtual time.
//
// A run has three entries, each with its own policy, about ten upstreams with
// eight slots, and the latencies and the link between regions of the design page.
// Work arrives from a fixed seed, so every policy meets the same requests. The
// loads are a table by name, and so are the policies: three baselines and the
// admission and routing cores. Nothing here models a host or a process; an
// upstream is a count of slots, and a link is a delay and a rate.
//
// A request without an answer in time counts as if it had taken its whole
// timeout, so that no policy looks better by refusing more.
package load
