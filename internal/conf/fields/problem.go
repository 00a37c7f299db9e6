package fields

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// MaxProblems is the maximum number of problems reported for one file.
const MaxProblems = 50

// Problem is a validation error in a file.
type Problem struct {
	File string
	// Line and Column start at 1; Column counts characters, not bytes.
	Line, Column int
	// Message names the field and describes the problem.
	Message string
	// Allowed describes the allowed values.
	Allowed string
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s; allowed: %s", p.File, p.Line, p.Column, p.Message, p.Allowed)
}

// Problems are the validation errors of a file, sorted by position.
type Problems []Problem

// Error implements error. It returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// report collects the problems of one file.
type report struct {
	file string
	// problems has at most MaxProblems entries.
	problems Problems
}

// add records a problem; problems beyond MaxProblems are dropped.
func (r *report) add(pos position, what, allowed string) {
	if len(r.problems) >= MaxProblems {
		return
	}
	r.problems = append(r.problems, Problem{File: r.file, Line: pos.line, Column: pos.column, Message: what, Allowed: allowed})
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

// position is a line and column in a file.
type position struct {
	line, column int
}
