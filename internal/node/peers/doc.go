// Package peers is an entry's membership: it serves the agents that chose this
// entry as their home, exchanges changed rows with the other entries, and tells
// the rest of the process what changed.
//
// An entry that starts also asks the others, until one has answered, what callers
// usually get, so that a flood under way does not pass for usual work there.
//
// Nothing here needs the log service. The addresses of other entries come from
// the settings and from the answers of entries that are already known.
package peers
