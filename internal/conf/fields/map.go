package fields

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// maxQuoted is the maximum number of characters of a value quoted in a message.
const maxQuoted = 40

// Map is a YAML mapping. Each method that reads a key also marks it as known.
// Methods with the suffix Or read optional keys, and so do Maps and Texts if the
// range allows an empty list; the other methods require the key.
type Map struct {
	report *report
	// path is the full name of the mapping, such as accounts[0]; empty at the top.
	path      string
	pos       position
	values    map[string]ast.Node
	positions map[string]position
	// keys lists the keys in file order.
	keys []string
	// known lists the keys that were read, in the order of the calls.
	known []string
}

// newMap converts n to a Map, or records a problem if n is not a mapping.
func newMap(r *report, path string, n ast.Node, fallback position) (*Map, bool) {
	m := &Map{report: r, path: path, pos: positionOf(n, fallback), values: map[string]ast.Node{}, positions: map[string]position{}}
	mapping, ok := n.(*ast.MappingNode)
	if !ok {
		name := path
		if name == "" {
			name = "the file"
		}
		r.add(m.pos, fmt.Sprintf("%s is %s", name, describe(n)), "a mapping")
		return m, false
	}
	for _, v := range mapping.Values {
		key := v.Key.GetToken().Value
		m.values[key] = v.Value
		m.positions[key] = positionOf(v.Key, m.pos)
		m.keys = append(m.keys, key)
	}
	return m, true
}

// Has reports whether the mapping has the key, without marking it as known.
func (m *Map) Has(key string) bool {
	_, ok := m.values[key]
	return ok
}

// Keys returns the keys in file order.
func (m *Map) Keys() []string { return m.keys }

// Report records a problem with the value of a key.
func (m *Map) Report(key, what, allowed string) {
	m.report.add(m.positionOf(key), m.name(key)+" "+what, allowed)
}

// Distinct records a problem if value is already in seen, and adds it to seen.
// An empty value is ignored: it replaces one that has been reported. The message
// omits the value.
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

// ReportUnknownKeys records a problem for every key that was not read.
func (m *Map) ReportUnknownKeys() {
	allowed := strings.Join(m.known, ", ")
	known := map[string]bool{}
	for _, k := range m.known {
		known[k] = true
	}
	for _, k := range m.keys {
		if !known[k] {
			m.report.add(m.positions[k], fmt.Sprintf("unknown key %s", quote(m.name(k))), allowed)
		}
	}
}

// Text returns the string value of a required key.
func (m *Map) Text(key string, s Syntax) string {
	n, ok := m.required(key, s.Allowed)
	if !ok {
		return ""
	}
	return m.text(key, n, s)
}

// TextOr returns the string value of a key, or fallback if the key is missing.
func (m *Map) TextOr(key, fallback string, s Syntax) string {
	n, ok := m.lookup(key)
	if !ok {
		return fallback
	}
	return m.text(key, n, s)
}

// Int returns the integer value of a required key.
func (m *Map) Int(key string, r Range) int64 {
	n, ok := m.required(key, r.String())
	if !ok {
		return r.Min
	}
	return m.int(key, n, r)
}

// IntOr returns the integer value of a key, or fallback if the key is missing.
func (m *Map) IntOr(key string, fallback int64, r Range) int64 {
	n, ok := m.lookup(key)
	if !ok {
		return fallback
	}
	return m.int(key, n, r)
}

// DurationOr returns the duration value of a key, or fallback if the key is
// missing.
func (m *Map) DurationOr(key string, fallback time.Duration, s Span) time.Duration {
	n, ok := m.lookup(key)
	if !ok {
		return fallback
	}
	raw, ok := scalar(n)
	if !ok {
		m.Report(key, "is "+describe(n), s.String())
		return s.Min
	}
	d, err := time.ParseDuration(raw)
	switch {
	case err != nil:
		m.Report(key, "is "+quote(raw)+", which is not a duration", s.String())
	case d < s.Min || d > s.Max:
		m.Report(key, "is "+formatDuration(d), s.String())
	default:
		return d
	}
	return s.Min
}

// BoolOr returns the boolean value of a key, or fallback if the key is missing.
func (m *Map) BoolOr(key string, fallback bool) bool {
	n, ok := m.lookup(key)
	if !ok {
		return fallback
	}
	b, ok := n.(*ast.BoolNode)
	if !ok {
		m.Report(key, "is "+describe(n), "true, false")
		return fallback
	}
	return b.Value
}

// Map returns the mapping at a required key, and false if the key is missing or
// is not a mapping.
func (m *Map) Map(key string) (*Map, bool) {
	n, ok := m.required(key, "a mapping")
	if !ok {
		return nil, false
	}
	return newMap(m.report, m.name(key), n, m.positionOf(key))
}

// MapOr returns the mapping at an optional key, and false if the key is missing
// or is not a mapping. Only the latter is a problem.
func (m *Map) MapOr(key string) (*Map, bool) {
	n, ok := m.lookup(key)
	if !ok {
		return nil, false
	}
	return newMap(m.report, m.name(key), n, m.positionOf(key))
}

// Maps returns a list of mappings whose length is within r. A missing key is an
// empty list, which is a problem if r.Min is positive.
func (m *Map) Maps(key string, r Range) []*Map {
	nodes, ok := m.list(key, r, "mappings")
	if !ok {
		return nil
	}
	var maps []*Map
	for i, n := range nodes {
		if item, ok := newMap(m.report, m.itemName(key, i), n, m.positionOf(key)); ok {
			maps = append(maps, item)
		}
	}
	return maps
}

// Texts returns a list of distinct strings whose length is within r. A missing
// key is an empty list, which is a problem if r.Min is positive.
func (m *Map) Texts(key string, r Range, s Syntax) []string {
	nodes, ok := m.list(key, r, "texts")
	if !ok {
		return nil
	}
	var texts []string
	seen := map[string]bool{}
	for i, n := range nodes {
		pos, name := positionOf(n, m.positionOf(key)), m.itemName(key, i)
		raw, ok := scalar(n)
		switch {
		case !ok:
			m.report.add(pos, name+" is "+describe(n), s.Allowed)
		case !s.Valid(raw):
			m.report.add(pos, name+" is "+quote(raw), s.Allowed)
		case seen[raw]:
			m.report.add(pos, name+" repeats "+quote(raw), "distinct values")
		default:
			seen[raw] = true
			texts = append(texts, raw)
		}
	}
	return texts
}

// list returns the nodes of a list whose length is within r.
func (m *Map) list(key string, r Range, elements string) ([]ast.Node, bool) {
	allowed := fmt.Sprintf("a list of %s %s", r, elements)
	n, ok := m.lookup(key)
	if !ok {
		if r.Min > 0 {
			m.required(key, allowed)
		}
		return nil, false
	}
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		m.Report(key, "is "+describe(n), allowed)
		return nil, false
	}
	if l := int64(len(list.Values)); l < r.Min || l > r.Max {
		m.Report(key, fmt.Sprintf("has %d entries", l), allowed)
		return nil, false
	}
	return list.Values, true
}

// lookup marks a key as known and returns its value. A key with an empty value
// is present.
func (m *Map) lookup(key string) (ast.Node, bool) {
	m.known = append(m.known, key)
	n, ok := m.values[key]
	return n, ok
}

// required is like lookup, but records a problem if the key is missing.
func (m *Map) required(key, allowed string) (ast.Node, bool) {
	n, ok := m.lookup(key)
	if !ok {
		m.report.add(m.pos, m.name(key)+" is missing", allowed)
	}
	return n, ok
}

// text returns the string value of n, or records a problem if s rejects it.
func (m *Map) text(key string, n ast.Node, s Syntax) string {
	raw, ok := scalar(n)
	switch {
	case !ok:
		m.Report(key, "is "+describe(n), s.Allowed)
	case s.Valid(raw):
		return raw
	case s.Secret:
		m.Report(key, "has the wrong form", s.Allowed)
	default:
		m.Report(key, "is "+quote(raw), s.Allowed)
	}
	return ""
}

// int returns the integer value of n, or records a problem if it is not an
// integer within r.
func (m *Map) int(key string, n ast.Node, r Range) int64 {
	literal, ok := n.(*ast.IntegerNode)
	if !ok {
		m.Report(key, "is "+describe(n), "an integer, "+r.String())
		return r.Min
	}
	v, err := strconv.ParseInt(literal.GetToken().Value, 10, 64)
	if err != nil || v < r.Min || v > r.Max {
		m.Report(key, "is "+literal.GetToken().Value, r.String())
		return r.Min
	}
	return v
}

// positionOf returns the position of the value of a key, of the key itself if the
// value is empty, or of the mapping if the key is missing.
func (m *Map) positionOf(key string) position {
	pos, ok := m.positions[key]
	if !ok {
		return m.pos
	}
	if n := m.values[key]; describe(n) != "empty" {
		return positionOf(n, pos)
	}
	return pos
}

// name returns the full name of a key, such as accounts[0].weight.
func (m *Map) name(key string) string {
	if m.path == "" {
		return key
	}
	return m.path + "." + key
}

// itemName returns the full name of a list item, such as accounts[0].
func (m *Map) itemName(key string, i int) string { return fmt.Sprintf("%s[%d]", m.name(key), i) }

// scalar returns the text of a scalar node. Numbers are accepted as written,
// because YAML reads a hex digest of only decimal digits as a number.
func scalar(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode:
		return n.GetToken().Value, true
	}
	return "", false
}

// quote returns a value in quotes, truncated to maxQuoted characters.
func quote(s string) string {
	if r := []rune(s); len(r) > maxQuoted {
		return strconv.Quote(string(r[:maxQuoted]) + "…")
	}
	return strconv.Quote(s)
}
