package chestnutpond

import "fmt"

// Adjacency says how close to each other the accelerators of a shape must be.
type Adjacency string

// The adjacencies, from the closest to the loosest.
const (
	AdjacencyWorker Adjacency = "worker"
	AdjacencyRack   Adjacency = "rack"
	AdjacencyZone   Adjacency = "zone"
)

// Valid reports whether a is one of the adjacencies.
func (a Adjacency) Valid() bool {
	return a == AdjacencyWorker || a == AdjacencyRack || a == AdjacencyZone
}

// Shape is a number of accelerators that must be adjacent. A shape that spans
// workers takes whole workers first; a remainder takes part of one more worker.
type Shape struct {
	// Accelerators is the total over the gang; at least 1.
	Accelerators int `json:"accelerators"`
	// Adjacency bounds the spread of the gang.
	Adjacency Adjacency `json:"adjacency"`
}

// String returns the shape as "16 in one rack".
func (s Shape) String() string {
	return fmt.Sprintf("%d in one %s", s.Accelerators, s.Adjacency)
}

// Class orders work by urgency.
type Class string

// The classes, from the most to the least urgent.
const (
	ClassUrgent   Class = "urgent"
	ClassStandard Class = "standard"
	ClassBulk     Class = "bulk"
)

// Rank returns 0 for the most urgent class and grows towards the least urgent.
// An unknown class ranks behind all others.
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
