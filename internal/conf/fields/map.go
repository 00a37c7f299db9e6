package fields

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// maxQuoted bounds the part of a value that a message repeats.
const maxQuoted = 40

// Map is a mapping of a file. Each method that reads a key also marks it as
// known. The name of a method without Or means that the key is required.
type Map struct {
	report *report
	// path is the place of the mapping among the fields, such as accounts[0].
	path   string
	at     place
	values map[string]ast.Node
	places map[string]place
	// order has the keys as they stand in the file.
	order []string
	// known has the keys that were asked for, in the order of the questions.
	known []string
}

// newMap returns the mapping that n is, or records that it is none.
func newMap(r *report, path string, n ast.Node, otherwise place) (*Map, bool) {
	m := &Map{report: r, path: path, at: placeOf(n, otherwise), values: map[string]ast.Node{}, places: map[string]place{}}
	mapping, ok := n.(*ast.MappingNode)
	if !ok {
		name := path
		if name == "" {
			name = "the file"
		}
		r.add(m.at, fmt.Sprintf("%s is %s", name, form(n)), "a mapping")
		return m, false
	}
	for _, v := range mapping.Values {
		key := v.Key.GetToken().Value
		m.values[key] = v.Value
		m.places[key] = placeOf(v.Key, m.at)
		m.order = append(m.order, key)
	}
	return m, true
}

// Has reports whether the mapping has the key. It does not make the key known.
func (m *Map) Has(key string) bool {
	_, ok := m.values[key]
	return ok
}

// Keys returns the keys in the order of the file.
func (m *Map) Keys() []string { return m.order }

// Report records that the value of a key is wrong.
func (m *Map) Report(key, what, allowed string) {
	m.report.add(m.placeOf(key), m.name(key)+" "+what, allowed)
}

// Distinct records that the value of a key was seen before, and adds it to seen.
// An empty value stands for one with another problem and is left out. The
// message does not repeat the value.
func (m *Map) Distinct(key, value string, seen map[string]bool) {
	if value == "" {
		return
	}
	if seen[value] {
		m.Report(key, "is used twice", "distinct values")
	}
	seen[value] = true
}

// Err returns all problems of the file as Problems, or nil.
func (m *Map) Err() error { return m.report.err() }

// Done records every key that was not asked for.
func (m *Map) Done() {
	allowed := strings.Join(m.known, ", ")
	known := map[string]bool{}
	for _, k := range m.known {
		known[k] = true
	}
	for _, k := range m.order {
		if !known[k] {
			m.report.add(m.places[k], fmt.Sprintf("unknown key %s", quote(m.name(k))), allowed)
		}
	}
}

// Text returns a text.
func (m *Map) Text(key string, s Syntax) string {
	n, ok := m.required(key, s.Allowed)
	if !ok {
		return ""
	}
	return m.text(key, n, s)
}

// TextOr returns a text, or otherwise if the key is missing.
func (m *Map) TextOr(key, otherwise string, s Syntax) string {
	n, ok := m.lookup(key)
	if !ok {
		return otherwise
	}
	return m.text(key, n, s)
}

// Int returns an integer.
func (m *Map) Int(key string, r Range) int64 {
	n, ok := m.required(key, r.String())
	if !ok {
		return r.Min
	}
	return m.int(key, n, r)
}

// IntOr returns an integer, or otherwise if the key is missing.
func (m *Map) IntOr(key string, otherwise int64, r Range) int64 {
	n, ok := m.lookup(key)
	if !ok {
		return otherwise
	}
	return m.int(key, n, r)
}

// DurationOr returns a duration, or otherwise if the key is missing.
func (m *Map) DurationOr(key string, otherwise time.Duration, s Span) time.Duration {
	n, ok := m.lookup(key)
	if !ok {
		return otherwise
	}
	raw, ok := scalar(n)
	if !ok {
		m.Report(key, "is "+form(n), s.String())
		return s.Min
	}
	d, err := time.ParseDuration(raw)
	switch {
	case err != nil:
		m.Report(key, "is "+quote(raw)+", which is not a duration", s.String())
	case d < s.Min || d > s.Max:
		m.Report(key, "is "+short(d), s.String())
	default:
		return d
	}
	return s.Min
}

// BoolOr returns a boolean, or otherwise if the key is missing.
func (m *Map) BoolOr(key string, otherwise bool) bool {
	n, ok := m.lookup(key)
	if !ok {
		return otherwise
	}
	b, ok := n.(*ast.BoolNode)
	if !ok {
		m.Report(key, "is "+form(n), "true, false")
		return otherwise
	}
	return b.Value
}

// Map returns a mapping. The second result is false if there is none.
func (m *Map) Map(key string) (*Map, bool) {
	n, ok := m.required(key, "a mapping")
	if !ok {
		return nil, false
	}
	return newMap(m.report, m.name(key), n, m.placeOf(key))
}

// MapOr returns a mapping. The second result is false if there is none, which
// is no problem if the key is missing.
func (m *Map) MapOr(key string) (*Map, bool) {
	n, ok := m.lookup(key)
	if !ok {
		return nil, false
	}
	return newMap(m.report, m.name(key), n, m.placeOf(key))
}

// Maps returns a list of mappings whose length is in the range. A missing key
// is an empty list.
func (m *Map) Maps(key string, r Range) []*Map {
	nodes, ok := m.list(key, r, "mappings")
	if !ok {
		return nil
	}
	var maps []*Map
	for i, n := range nodes {
		if one, ok := newMap(m.report, m.item(key, i), n, m.placeOf(key)); ok {
			maps = append(maps, one)
		}
	}
	return maps
}

// Texts returns a list of distinct texts whose length is in the range. A missing
// key is an empty list.
func (m *Map) Texts(key string, r Range, s Syntax) []string {
	nodes, ok := m.list(key, r, "texts")
	if !ok {
		return nil
	}
	var texts []string
	seen := map[string]bool{}
	for i, n := range nodes {
		at, name := placeOf(n, m.placeOf(key)), m.item(key, i)
		raw, ok := scalar(n)
		switch {
		case !ok:
			m.report.add(at, name+" is "+form(n), s.Allowed)
		case !s.Valid(raw):
			m.report.add(at, name+" is "+quote(raw), s.Allowed)
		case seen[raw]:
			m.report.add(at, name+" repeats "+quote(raw), "distinct values")
		default:
			seen[raw] = true
			texts = append(texts, raw)
		}
	}
	return texts
}

// list returns the nodes of a list whose length is in the range.
func (m *Map) list(key string, r Range, of string) ([]ast.Node, bool) {
	allowed := fmt.Sprintf("a list of %s %s", r, of)
	n, ok := m.lookup(key)
	if !ok {
		if r.Min > 0 {
			m.required(key, allowed)
		}
		return nil, false
	}
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		m.Report(key, "is "+form(n), allowed)
		return nil, false
	}
	if l := int64(len(list.Values)); l < r.Min || l > r.Max {
		m.Report(key, fmt.Sprintf("has %d entries", l), allowed)
		return nil, false
	}
	return list.Values, true
}

// lookup marks a key as known and returns its value. A key without a value
// counts as present.
func (m *Map) lookup(key string) (ast.Node, bool) {
	m.known = append(m.known, key)
	n, ok := m.values[key]
	return n, ok
}

// required is lookup for a key that must be present.
func (m *Map) required(key, allowed string) (ast.Node, bool) {
	n, ok := m.lookup(key)
	if !ok {
		m.report.add(m.at, m.name(key)+" is missing", allowed)
	}
	return n, ok
}

// text returns the text that n is, or records that it is none.
func (m *Map) text(key string, n ast.Node, s Syntax) string {
	raw, ok := scalar(n)
	switch {
	case !ok:
		m.Report(key, "is "+form(n), s.Allowed)
	case s.Valid(raw):
		return raw
	case s.Secret:
		m.Report(key, "has the wrong form", s.Allowed)
	default:
		m.Report(key, "is "+quote(raw), s.Allowed)
	}
	return ""
}

// int returns the integer that n is, or records that it is none.
func (m *Map) int(key string, n ast.Node, r Range) int64 {
	number, ok := n.(*ast.IntegerNode)
	if !ok {
		m.Report(key, "is "+form(n), "an integer, "+r.String())
		return r.Min
	}
	v, err := strconv.ParseInt(number.GetToken().Value, 10, 64)
	if err != nil || v < r.Min || v > r.Max {
		m.Report(key, "is "+number.GetToken().Value, r.String())
		return r.Min
	}
	return v
}

// placeOf returns the place of the value of a key, or of the mapping if it does
// not have the key.
func (m *Map) placeOf(key string) place {
	at, ok := m.places[key]
	if !ok {
		return m.at
	}
	if n := m.values[key]; form(n) != "empty" {
		return placeOf(n, at)
	}
	return at
}

// name returns the full name of a key.
func (m *Map) name(key string) string {
	if m.path == "" {
		return key
	}
	return m.path + "." + key
}

// item returns the full name of an entry of a list.
func (m *Map) item(key string, i int) string { return fmt.Sprintf("%s[%d]", m.name(key), i) }

// scalar returns the text of a node. A number counts as a text as it is written,
// because a hex digest of decimal digits looks like one.
func scalar(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode:
		return n.GetToken().Value, true
	}
	return "", false
}

// quote returns the beginning of a value in quotes.
func quote(s string) string {
	if r := []rune(s); len(r) > maxQuoted {
		return strconv.Quote(string(r[:maxQuoted]) + "…")
	}
	return strconv.Quote(s)
}
