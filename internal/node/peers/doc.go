// Package peers is an entry's membership: it serves the agents that chose this
// entry as their home, exchanges changed rows with the other entries, and tells
// the rest of the process what changed.
//
// Nothing here needs the log service. The addresses of other entries come from
// the settings and from the answers of entries that are already known.
package peers
