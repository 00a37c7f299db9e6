package fields

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// level is an open mapping or list.
type level struct {
	// column is where a block begins; 0 in flow style.
	column int
	keys   int
}

// screener checks tokens before they are parsed.
type screener struct {
	report *report
	// open has at most MaxDepth levels.
	open []level
}

// screen reports whether the tokens of a file are within the bounds of the
// package. It records the first one that is not.
func screen(r *report, tokens token.Tokens) bool {
	s := &screener{report: r}
	for _, t := range tokens {
		if !s.accept(t) {
			return false
		}
	}
	return true
}

// accept checks one token.
func (s *screener) accept(t *token.Token) bool {
	switch t.Type {
	case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType, token.DirectiveType:
		s.report.add(placeOfToken(t), fmt.Sprintf("%q is an anchor, alias, tag, directive, merge key or explicit key", t.Value),
			"mappings, lists, texts, numbers and booleans")
		return false
	case token.MappingStartType, token.SequenceStartType:
		return s.push(t, level{})
	case token.MappingEndType, token.SequenceEndType:
		s.closeFlow()
	case token.SequenceEntryType:
		return s.block(t, t.Position.Column, 0)
	case token.MappingValueType:
		return s.key(t)
	}
	return true
}

// key counts a key of the innermost mapping.
func (s *screener) key(t *token.Token) bool {
	if n := len(s.open); n > 0 && s.open[n-1].column == 0 {
		return s.count(t)
	}
	column := t.Position.Column
	if t.Prev != nil && t.Prev.Position.Line == t.Position.Line {
		column = t.Prev.Position.Column
	}
	return s.block(t, column, 1)
}

// block finds or opens the block at a column and counts keys in it.
func (s *screener) block(t *token.Token, column, keys int) bool {
	for n := len(s.open); n > 0 && s.open[n-1].column > column; n = len(s.open) {
		s.open = s.open[:n-1]
	}
	if n := len(s.open); n == 0 || s.open[n-1].column != column {
		if !s.push(t, level{column: column}) {
			return false
		}
	}
	if keys == 0 {
		return true
	}
	return s.count(t)
}

// count adds a key to the innermost level.
func (s *screener) count(t *token.Token) bool {
	top := &s.open[len(s.open)-1]
	top.keys++
	if top.keys > MaxKeys {
		s.report.add(placeOfToken(t), "the mapping has too many keys", fmt.Sprintf("at most %d", MaxKeys))
		return false
	}
	return true
}

// push opens a level.
func (s *screener) push(t *token.Token, l level) bool {
	if len(s.open) >= MaxDepth {
		s.report.add(placeOfToken(t), "mappings and lists are nested too deeply", fmt.Sprintf("at most %d levels", MaxDepth))
		return false
	}
	s.open = append(s.open, l)
	return true
}

// closeFlow closes the innermost level in flow style.
func (s *screener) closeFlow() {
	for n := len(s.open); n > 0; n = len(s.open) {
		flow := s.open[n-1].column == 0
		s.open = s.open[:n-1]
		if flow {
			return
		}
	}
}
