package graph

import "github.com/chestnutpond/chestnutpond"

// ParseJob decodes and checks the value of a record that JobRecord has returned.
func ParseJob(value []byte) (*chestnutpond.Graph, error) { return decodeJob(value) }
