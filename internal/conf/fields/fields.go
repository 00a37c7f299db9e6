// Package fields reads YAML files field by field, for packages that check every
// value.
//
// A reader asks a Map for each key that it knows, with the values that the key
// may have. All faults of a file are collected, each with file, line, column,
// what is wrong and what is allowed; a key that was not asked for is a fault.
// Readers get a default in place of a faulty value and go on.
//
// Only plain YAML is taken: one document, no anchors, aliases, tags, merge keys
// or explicit keys. Size, nesting and keys of a mapping are bounded before the
// file is parsed, because the time that the parser takes grows with their
// square.
package fields

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

const (
	// MaxDepth bounds the nesting of mappings and lists.
	MaxDepth = 16
	// MaxKeys bounds the keys of one mapping.
	MaxKeys = 64
)

// Parse parses a file of at most maxBytes. The error is of type Problems.
func Parse(file string, data []byte, maxBytes int) (*Map, error) {
	r := &report{file: file}
	start := place{1, 1}
	if len(data) > maxBytes {
		r.add(start, fmt.Sprintf("the file has %d bytes", len(data)), fmt.Sprintf("at most %d bytes", maxBytes))
		return nil, r.err()
	}
	if !utf8.Valid(data) {
		r.add(invalidUTF8(data), "the text is not UTF-8", "UTF-8")
		return nil, r.err()
	}
	tokens := lexer.Tokenize(string(data))
	if !screen(r, tokens) {
		return nil, r.err()
	}
	f, err := parser.Parse(tokens, 0)
	if err != nil {
		r.addSyntax(err)
		return nil, r.err()
	}
	if len(f.Docs) > 1 {
		r.add(placeOf(f.Docs[1].Body, start), "the file has a second YAML document", "one document")
		return nil, r.err()
	}
	var body ast.Node
	if len(f.Docs) == 1 {
		body = f.Docs[0].Body
	}
	m, ok := newMap(r, "", body, start)
	if !ok {
		return nil, r.err()
	}
	return m, nil
}

// addSyntax records an error of the parser.
func (r *report) addSyntax(err error) {
	const allowed = "plain YAML with distinct keys"
	var e yaml.Error
	if !errors.As(err, &e) || e.GetToken() == nil {
		r.add(place{1, 1}, strings.TrimSpace(err.Error()), allowed)
		return
	}
	r.add(placeOfToken(e.GetToken()), e.GetMessage(), allowed)
}

// invalidUTF8 returns the place of the first byte that is not UTF-8.
func invalidUTF8(data []byte) place {
	at := place{1, 1}
	for len(data) > 0 {
		c, size := utf8.DecodeRune(data)
		switch {
		case c == utf8.RuneError && size == 1:
			return at
		case c == '\n':
			at = place{at.line + 1, 1}
		default:
			at.column++
		}
		data = data[size:]
	}
	return at
}

// placeOf returns where a node begins, or otherwise if it has no place.
func placeOf(n ast.Node, otherwise place) place {
	switch n := n.(type) {
	case nil:
		return otherwise
	case *ast.MappingNode:
		if !n.IsFlowStyle && len(n.Values) > 0 {
			return placeOf(n.Values[0].Key, otherwise)
		}
	}
	if n.GetToken() == nil || n.GetToken().Position == nil {
		return otherwise
	}
	return placeOfToken(n.GetToken())
}

// placeOfToken returns where a token begins.
func placeOfToken(t *token.Token) place {
	if t.Position == nil {
		return place{1, 1}
	}
	return place{max(t.Position.Line, 1), max(t.Position.Column, 1)}
}

// form names the form of a node for people.
func form(n ast.Node) string {
	switch n.(type) {
	case *ast.MappingNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a number"
	case *ast.BoolNode:
		return "a boolean"
	case *ast.StringNode, *ast.LiteralNode:
		return "a text"
	case nil, *ast.NullNode:
		return "empty"
	}
	return "of a form that is not known here"
}
