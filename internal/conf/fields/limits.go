package fields

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// collection is a mapping or list that has not ended.
type collection struct {
	// column is the start column of a block collection; 0 in flow style.
	column int
	keys   int
}

// tokenChecker checks tokens before they are parsed, and tracks the nesting of
// collections.
type tokenChecker struct {
	report *report
	// stack holds the open collections, innermost last; at most MaxDepth.
	stack []collection
}

// checkTokens reports whether the tokens of a file are within the supported YAML
// subset and the limits on depth and keys. It records the first violation.
func checkTokens(r *report, tokens token.Tokens) bool {
	s := &tokenChecker{report: r}
	for _, t := range tokens {
		if !s.check(t) {
			return false
		}
	}
	return true
}

// check processes one token and reports whether it is allowed.
func (s *tokenChecker) check(t *token.Token) bool {
	switch t.Type {
	case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType, token.DirectiveType:
		s.report.add(tokenPosition(t), fmt.Sprintf("%q is an anchor, alias, tag, directive, merge key or explicit key", t.Value),
			"mappings, lists, texts, numbers and booleans")
		return false
	case token.MappingStartType, token.SequenceStartType:
		return s.push(t, collection{})
	case token.MappingEndType, token.SequenceEndType:
		s.closeFlow()
	case token.SequenceEntryType:
		return s.enterBlock(t, t.Position.Column, 0)
	case token.MappingValueType:
		return s.addKey(t)
	}
	return true
}

// addKey counts a key of the mapping that t belongs to.
func (s *tokenChecker) addKey(t *token.Token) bool {
	if n := len(s.stack); n > 0 && s.stack[n-1].column == 0 {
		return s.countKey(t)
	}
	column := t.Position.Column
	if t.Prev != nil && t.Prev.Position.Line == t.Position.Line {
		column = t.Prev.Position.Column
	}
	return s.enterBlock(t, column, 1)
}

// enterBlock closes the collections to the right of column, opens a block
// collection at column if there is none, and counts a key if keys is not 0.
func (s *tokenChecker) enterBlock(t *token.Token, column, keys int) bool {
	for n := len(s.stack); n > 0 && s.stack[n-1].column > column; n = len(s.stack) {
		s.stack = s.stack[:n-1]
	}
	if n := len(s.stack); n == 0 || s.stack[n-1].column != column {
		if !s.push(t, collection{column: column}) {
			return false
		}
	}
	if keys == 0 {
		return true
	}
	return s.countKey(t)
}

// countKey adds a key to the innermost collection.
func (s *tokenChecker) countKey(t *token.Token) bool {
	top := &s.stack[len(s.stack)-1]
	top.keys++
	if top.keys > MaxKeys {
		s.report.add(tokenPosition(t), "the mapping has too many keys", fmt.Sprintf("at most %d", MaxKeys))
		return false
	}
	return true
}

// push opens a collection.
func (s *tokenChecker) push(t *token.Token, c collection) bool {
	if len(s.stack) >= MaxDepth {
		s.report.add(tokenPosition(t), "mappings and lists are nested too deeply", fmt.Sprintf("at most %d levels", MaxDepth))
		return false
	}
	s.stack = append(s.stack, c)
	return true
}

// closeFlow closes the innermost flow collection and the block collections
// inside it.
func (s *tokenChecker) closeFlow() {
	for n := len(s.stack); n > 0; n = len(s.stack) {
		flow := s.stack[n-1].column == 0
		s.stack = s.stack[:n-1]
		if flow {
			return
		}
	}
}
