package config

import (
	"log/slog"

	"github.com/chestnutpond/chestnutpond/internal/conf/fields"
)

// MaxOperators is the maximum number of operators of an entry.
const MaxOperators = 64

// Entry holds the settings of an entry.
type Entry struct {
	// Name is unique among all processes of the deployment.
	Name   string
	Region string
	Zone   string
	// Listen is the listen address of the HTTP server, an IP address and a port.
	Listen string
	// InnerListen is the listen address of the gRPC server. Other processes dial it
	// unless InnerAdvertise is set.
	InnerListen string
	// InnerAdvertise is the gRPC address announced to other processes; empty means
	// the bound address of InnerListen.
	InnerAdvertise string
	// Entries are the gRPC addresses of entries. The list may include this entry.
	Entries   []string
	Log       Log
	Operators []Operator
	TLS       TLS
	LogLevel  slog.Level
}

// Log holds the location of the log service.
type Log struct {
	// Address is the base URL.
	Address string
	// Stream is the name of the deployment's stream.
	Stream string
}

// Operator holds the credentials of an operator, who may publish documents and
// see all accounts.
type Operator struct {
	// Name is unique in the settings.
	Name string
	// TokenSHA256 is the lower-case hex SHA-256 of the operator's bearer token,
	// unique in the settings.
	TokenSHA256 string
}

// LoadEntry reads the settings file of an entry and the TLS files that it names.
// Errors in the content are of type fields.Problems.
func LoadEntry(path string) (Entry, error) {
	data, err := readFile(path)
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

// ParseEntry parses the settings of an entry without loading the TLS files. The
// name is the file name in errors, which are of type fields.Problems.
func ParseEntry(name string, data []byte) (Entry, error) {
	e, _, err := parseEntry(name, data)
	return e, err
}

// parseEntry is like ParseEntry, but also returns the parsed file, so that later
// problems can be reported at their positions.
func parseEntry(name string, data []byte) (Entry, *fields.Map, error) {
	m, err := fields.Parse(name, data, MaxBytes)
	if err != nil {
		return Entry{}, nil, err
	}
	id := readIdentity(m)
	e := Entry{
		Name: id.name, Region: id.region, Zone: id.zone, LogLevel: id.logLevel,
		Listen:         m.Text("listen", listenSyntax),
		InnerListen:    m.Text("inner_listen", innerListenSyntax),
		InnerAdvertise: m.TextOr("inner_advertise", "", dialSyntax),
		Entries:        m.Texts("entries", fields.Range{Max: MaxEntries}, dialSyntax),
		Operators:      readOperators(m),
	}
	if l, ok := m.Map("log"); ok {
		e.Log = Log{Address: l.Text("address", baseURLSyntax), Stream: l.Text("stream", fields.Name)}
		l.ReportUnknownKeys()
	}
	e.TLS = readTLS(m, e.InnerListen, e.InnerAdvertise, e.Entries)
	m.ReportUnknownKeys()
	if err := m.Err(); err != nil {
		return Entry{}, nil, err
	}
	return e, m, nil
}

// readOperators reads the operators. At least one is required, because only
// operators can publish.
func readOperators(m *fields.Map) []Operator {
	var operators []Operator
	names, digests := map[string]bool{}, map[string]bool{}
	for _, o := range m.Maps("operators", fields.Range{Min: 1, Max: MaxOperators}) {
		operator := Operator{Name: o.Text("name", fields.Name), TokenSHA256: o.Text("token_sha256", fields.Digest)}
		o.ReportUnknownKeys()
		o.Distinct("name", operator.Name, names)
		o.Distinct("token_sha256", operator.TokenSHA256, digests)
		operators = append(operators, operator)
	}
	return operators
}
