package config

import (
	"log/slog"

	"github.com/chestnutpond/chestnutpond/internal/conf/fields"
)

// MaxOperators bounds the operators of an entry.
const MaxOperators = 64

// Entry is the settings of an entry.
type Entry struct {
	// Name is unique among all processes of the deployment.
	Name   string
	Region string
	Zone   string
	// Listen is the address of the HTTP server, an IP number and a port.
	Listen string
	// InnerListen is the address of the gRPC server, as others reach it.
	InnerListen string
	// InnerAdvertise is the inner address that others are told; empty means
	// InnerListen as it was bound.
	InnerAdvertise string
	// Entries are inner addresses of entries; it may hold the own one.
	Entries   []string
	Log       Log
	Operators []Operator
	TLS       TLS
	LogLevel  slog.Level
}

// Log is where the log service is.
type Log struct {
	// Address is the base URL.
	Address string
	// Stream is the name of the deployment's stream.
	Stream string
}

// Operator may publish documents and see all accounts.
type Operator struct {
	// Name is unique in the settings.
	Name string
	// TokenSHA256 is the lower-case hex SHA-256 of the operator's bearer token,
	// unique in the settings.
	TokenSHA256 string
}

// LoadEntry reads the settings of an entry and the TLS files that they name. A
// fault of the file is of type fields.Problems.
func LoadEntry(path string) (Entry, error) {
	data, err := read(path)
	if err != nil {
		return Entry{}, err
	}
	e, m, err := parseEntry(path, data)
	if err != nil {
		return Entry{}, err
	}
	e.TLS, err = e.TLS.load(path, m)
	return e, err
}

// ParseEntry reads the settings of an entry; name stands for the file in errors,
// which are of type fields.Problems. TLS has the names of files only.
func ParseEntry(name string, data []byte) (Entry, error) {
	e, _, err := parseEntry(name, data)
	return e, err
}

// parseEntry also returns the fields, for problems that show later.
func parseEntry(name string, data []byte) (Entry, *fields.Map, error) {
	m, err := fields.Parse(name, data, MaxBytes)
	if err != nil {
		return Entry{}, nil, err
	}
	p := readPlace(m)
	e := Entry{
		Name: p.name, Region: p.region, Zone: p.zone, LogLevel: p.level,
		Listen:         m.Text("listen", listenSyntax),
		InnerListen:    m.Text("inner_listen", innerListenSyntax),
		InnerAdvertise: m.TextOr("inner_advertise", "", dialSyntax),
		Entries:        m.Texts("entries", fields.Range{Max: MaxEntries}, dialSyntax),
		Operators:      operators(m),
	}
	if l, ok := m.Map("log"); ok {
		e.Log = Log{Address: l.Text("address", baseSyntax), Stream: l.Text("stream", fields.Name)}
		l.Done()
	}
	e.TLS = readTLS(m, e.InnerListen, e.InnerAdvertise, e.Entries)
	m.Done()
	if err := m.Err(); err != nil {
		return Entry{}, nil, err
	}
	return e, m, nil
}

// operators reads the operators; there is at least one, because nobody else can
// publish.
func operators(m *fields.Map) []Operator {
	var all []Operator
	names, digests := map[string]bool{}, map[string]bool{}
	for _, o := range m.Maps("operators", fields.Range{Min: 1, Max: MaxOperators}) {
		one := Operator{Name: o.Text("name", fields.Name), TokenSHA256: o.Text("token_sha256", fields.Digest)}
		o.Done()
		o.Distinct("name", one.Name, names)
		o.Distinct("token_sha256", one.TokenSHA256, digests)
		all = append(all, one)
	}
	return all
}
