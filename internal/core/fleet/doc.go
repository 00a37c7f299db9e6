// Package fleet is an entry's table of the agents and of the other entries.
//
// Each agent's row has one author, the agent, and one home, the entry that the
// agent announces itself to. A home passes on only the rows that it heard from
// the agents themselves, so a row travels one hop and is never echoed. The
// greater (incarnation, sequence) replaces the other, whatever arrives first.
//
// The table counts its changes. A reader that remembers the index of the last
// change it saw gets only the rows that changed since, so the cost of an
// exchange follows the changes and not the size of the fleet.
//
// The table is not safe for concurrent use; now is a duration on the caller's
// monotonic clock.
package fleet
