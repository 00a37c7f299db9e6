//go:build race

package proof

// raceFlags builds the programs with the race detector when the tests have it.
var raceFlags = []string{"-race"}
