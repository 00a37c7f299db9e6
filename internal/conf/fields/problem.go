package fields

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// MaxProblems bounds the problems that are reported for one file.
const MaxProblems = 50

// Problem is one fault of a file.
type Problem struct {
	File string
	// Line and Column count from 1; a column counts characters.
	Line, Column int
	// What says what is wrong.
	What string
	// Allowed says what the place takes.
	Allowed string
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s; allowed: %s", p.File, p.Line, p.Column, p.What, p.Allowed)
}

// Problems are the faults of a file in the order of their places.
type Problems []Problem

// Error implements error. It returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// report collects the problems of one file.
type report struct {
	file string
	// problems has at most MaxProblems entries.
	problems Problems
}

// add records a problem; problems beyond MaxProblems are left out.
func (r *report) add(at place, what, allowed string) {
	if len(r.problems) >= MaxProblems {
		return
	}
	r.problems = append(r.problems, Problem{File: r.file, Line: at.line, Column: at.column, What: what, Allowed: allowed})
}

// err returns the problems as an error, or nil if there are none.
func (r *report) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r.problems
}

// place is a position in a file.
type place struct {
	line, column int
}
