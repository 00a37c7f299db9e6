// Package fields decodes and validates YAML files one field at a time.
//
// The caller reads each key of a Map by name and passes the values that the key
// may have. Validation does not stop at the first error: an invalid value is
// replaced by a default, and all problems of the file are collected, each with
// file, line, column, what is wrong and what is allowed. A key that the caller
// did not read is a problem.
//
// Only a subset of YAML is accepted: one document without anchors, aliases,
// tags, merge keys or explicit keys. The size of the file, the nesting depth and
// the number of keys in a mapping are checked before parsing, because the
// parsing time is quadratic in them.
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
	// MaxDepth is the maximum nesting depth of mappings and lists.
	MaxDepth = 16
	// MaxKeys is the maximum number of keys in one mapping.
	MaxKeys = 64
)

// Parse parses data as YAML and returns its top-level mapping. The file name is
// used in errors only. Data longer than maxBytes is rejected. The error is of
// type Problems.
func Parse(file string, data []byte, maxBytes int) (*Map, error) {
	r := &report{file: file}
	start := position{1, 1}
	if len(data) > maxBytes {
		r.add(start, fmt.Sprintf("the file has %d bytes", len(data)), fmt.Sprintf("at most %d bytes", maxBytes))
		return nil, r.err()
	}
	if !utf8.Valid(data) {
		r.add(invalidUTF8(data), "the text is not UTF-8", "UTF-8")
		return nil, r.err()
	}
	tokens := lexer.Tokenize(string(data))
	if !checkTokens(r, tokens) {
		return nil, r.err()
	}
	f, err := parser.Parse(tokens, 0)
	if err != nil {
		r.addSyntaxError(err)
		return nil, r.err()
	}
	if len(f.Docs) > 1 {
		r.add(positionOf(f.Docs[1].Body, start), "the file has a second YAML document", "one document")
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

// addSyntaxError records an error returned by the YAML parser.
func (r *report) addSyntaxError(err error) {
	const allowed = "plain YAML with distinct keys"
	var e yaml.Error
	if !errors.As(err, &e) || e.GetToken() == nil {
		r.add(position{1, 1}, strings.TrimSpace(err.Error()), allowed)
		return
	}
	r.add(tokenPosition(e.GetToken()), e.GetMessage(), allowed)
}

// invalidUTF8 returns the position of the first byte that is not valid UTF-8.
func invalidUTF8(data []byte) position {
	pos := position{1, 1}
	for len(data) > 0 {
		c, size := utf8.DecodeRune(data)
		switch {
		case c == utf8.RuneError && size == 1:
			return pos
		case c == '\n':
			pos = position{pos.line + 1, 1}
		default:
			pos.column++
		}
		data = data[size:]
	}
	return pos
}

// positionOf returns the start of a node, or fallback if the node has no position.
func positionOf(n ast.Node, fallback position) position {
	switch n := n.(type) {
	case nil:
		return fallback
	case *ast.MappingNode:
		if !n.IsFlowStyle && len(n.Values) > 0 {
			return positionOf(n.Values[0].Key, fallback)
		}
	}
	if n.GetToken() == nil || n.GetToken().Position == nil {
		return fallback
	}
	return tokenPosition(n.GetToken())
}

// tokenPosition returns the start of a token.
func tokenPosition(t *token.Token) position {
	if t.Position == nil {
		return position{1, 1}
	}
	return position{max(t.Position.Line, 1), max(t.Position.Column, 1)}
}

// describe returns the type of a node as it appears in messages.
func describe(n ast.Node) string {
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
