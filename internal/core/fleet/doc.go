// Package fleet implements an entry's table of the agents and its table of the
// other entries.
//
// Each agent writes its own row and announces it to one entry, its home. A home
// forwards only the rows that it received from the agents themselves, so a row
// makes one hop between entries and is never sent back. The row with the greater
// (incarnation, sequence) replaces the other, in whatever order they arrive.
//
// The table numbers its changes. A reader passes the index of the last change
// that it has and gets only the rows that changed since, so the cost of an
// exchange depends on the changes and not on the size of the fleet.
//
// The tables are not safe for concurrent use; now is a duration on the caller's
// monotonic clock.
package fleet
