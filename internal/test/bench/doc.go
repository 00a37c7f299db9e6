// Package bench measures placement policies on loads in virtual time.
//
// A load is a fleet, a document and a list of jobs with their true run times.
// The loads are kept in a table by name. Each policy sees the same load for the
// same seed, through the methods that the entry process calls. An event loop
// stands in for the workers: it knows how long a job runs, which workers fail
// and how long a checkpoint takes. It is not a model of a network or a log; a
// start takes a constant time.
//
// The figures are compared with the targets of section 1.3 of the design page.
// The targets are constants of this package.
package bench
