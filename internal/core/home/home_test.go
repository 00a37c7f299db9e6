package home

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards the order of entries: hash order at first, then the last good one, and
// every entry is tried before one is tried again.
func TestNext(t *testing.T) {
	l := New("agent", []string{"a", "b", "c", "a"})
	seen := map[string]bool{}
	for range 3 {
		e, ok := l.Next()
		assert.Assert(t, ok && !seen[e])
		seen[e] = true
		l.Failed(e)
	}
	l.Good("b")
	e, _ := l.Next()
	assert.Equal(t, e, "b")
	l.Failed("b")
	e, _ = l.Next()
	assert.Assert(t, e != "b")
}

// Guards the bound of learned entries and that the seeds stay.
func TestLearn(t *testing.T) {
	l := New("agent", []string{"seed"})
	var many []string
	for i := range 1000 {
		many = append(many, fmt.Sprint("e", i), "seed")
	}
	l.Learn(many)
	assert.Equal(t, l.Len(), 1+MaxLearned)
	l.Learn(nil)
	assert.Equal(t, l.Len(), 1+MaxLearned)
	l.Learn([]string{"x"})
	assert.Equal(t, l.Len(), 2)
	_, ok := New("agent", nil).Next()
	assert.Assert(t, !ok)
}

// Guards the spread: each entry gets its share of the agents, and losing one
// moves only its own agents.
func TestSpread(t *testing.T) {
	three := []string{"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"}
	count := map[string]int{}
	for i := range 300 {
		name := fmt.Sprint("agent-", i)
		before, _ := New(name, three).Next()
		after, _ := New(name, three[:2]).Next()
		count[before]++
		assert.Assert(t, before == three[2] || before == after)
	}
	for _, e := range three {
		assert.Assert(t, count[e] > 70, "%v", count)
	}
}
