// Package scale measures what a deployment costs by its size: real entries and
// agents against the stand-ins of the platform, at several numbers of agents,
// idle and under churn. It has no code outside of its tests.
//
// TestSlopes has a short form that checks the bounds of section 1.6 of the
// design page at 10 and 20 agents. With -scale.full it prints the points from
// which docs/CAPACITY.md derives its figures. Processor time, resident memory
// and bytes come from /proc of each process; the bytes are those of read and
// write calls, so they have HTTP/2 and HTTP framing but no TCP/IP headers.
//
// The benchmarks measure the core packages at the size of section 1.6.
package scale
