package chestnutpond

import "fmt"

// Adjacency is the topology constraint on the accelerators of a shape: how close
// to each other they must be.
type Adjacency string

// The adjacencies, from the closest to the loosest.
const (
	AdjacencyWorker Adjacency = "worker"
	AdjacencyRack   Adjacency = "rack"
	AdjacencyZone   Adjacency = "zone"
)

// Valid reports whether a is a known adjacency.
func (a Adjacency) Valid() bool {
	return a == AdjacencyWorker || a == AdjacencyRack || a == AdjacencyZone
}

// Shape is a number of accelerators that must be adjacent. A shape that spans
// several workers occupies whole workers; the remainder occupies part of one more
// worker.
type Shape struct {
	// Accelerators is the total over the gang; at least 1.
	Accelerators int `json:"accelerators"`
	// Adjacency is the largest domain over which the gang may be spread.
	Adjacency Adjacency `json:"adjacency"`
}

// String returns the shape in a form such as "16 in one rack".
func (s Shape) String() string {
	return fmt.Sprintf("%d in one %s", s.Accelerators, s.Adjacency)
}

// Class is the urgency class of work.
type Class string

// The classes, from the most to the least urgent.
const (
	ClassUrgent   Class = "urgent"
	ClassStandard Class = "standard"
	ClassBulk     Class = "bulk"
)

// Rank returns 0 for the most urgent class and higher numbers for less urgent
// ones. An unknown class has the highest rank number.
func (c Class) Rank() int {
	switch c {
	case ClassUrgent:
		return 0
	case ClassStandard:
		return 1
	case ClassBulk:
		return 2
	}
	return 3
}
