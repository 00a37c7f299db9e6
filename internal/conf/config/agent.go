package config

import (
	"log/slog"

	"github.com/chestnutpond/chestnutpond/internal/conf/fields"
)

// Defaults and limits of agent settings.
const (
	DefaultSlots       = 8
	MaxSlots           = 1024
	DefaultConnections = 64
	MaxConnections     = 1024
	MaxUpstreamKinds   = 64
	DefaultStatus      = "127.0.0.1:0"
	// MaxAccelerators is the maximum number of accelerators of one worker.
	MaxAccelerators = 64
)

// Agent holds the settings of an agent.
type Agent struct {
	// Name is unique among all processes of the deployment. It is also the name of
	// the worker and of the upstream.
	Name   string
	Region string
	Zone   string
	Rack   string
	// InnerListen is the listen address of the gRPC server. Other processes dial it
	// unless InnerAdvertise is set.
	InnerListen string
	// InnerAdvertise is the gRPC address announced to other processes; empty means
	// the bound address of InnerListen.
	InnerAdvertise string
	// StatusListen is the listen address of the HTTP server for health and metrics.
	StatusListen string
	// Entries are the gRPC addresses of at least one entry.
	Entries []string
	// Worker is the base URL of the worker API.
	Worker   string
	Upstream Upstream
	// Accelerators is the number of accelerators of the worker, 0 to
	// MaxAccelerators.
	Accelerators int
	TLS          TLS
	LogLevel     slog.Level
}

// Upstream holds the settings of the upstream that an agent serves.
type Upstream struct {
	// Address is the base URL.
	Address string
	// Slots is the maximum number of concurrent requests, at least 1.
	Slots int
	// Connections is the maximum number of connections to the upstream, at least 1.
	Connections int
	// Kinds are the kinds of requests that the upstream serves; empty means none.
	Kinds []string
}

// LoadAgent reads the settings file of an agent and the TLS files that it names.
// Errors in the content are of type fields.Problems.
func LoadAgent(path string) (Agent, error) {
	data, err := readFile(path)
	if err != nil {
		return Agent{}, err
	}
	a, m, err := parseAgent(path, data)
	if err != nil {
		return Agent{}, err
	}
	a.TLS, err = a.TLS.load(path, m)
	return a, err
}

// ParseAgent parses the settings of an agent without loading the TLS files. The
// name is the file name in errors, which are of type fields.Problems.
func ParseAgent(name string, data []byte) (Agent, error) {
	a, _, err := parseAgent(name, data)
	return a, err
}

// parseAgent is like ParseAgent, but also returns the parsed file, so that later
// problems can be reported at their positions.
func parseAgent(name string, data []byte) (Agent, *fields.Map, error) {
	m, err := fields.Parse(name, data, MaxBytes)
	if err != nil {
		return Agent{}, nil, err
	}
	id := readIdentity(m)
	a := Agent{
		Name: id.name, Region: id.region, Zone: id.zone, LogLevel: id.logLevel,
		Rack:           m.Text("rack", fields.Name),
		InnerListen:    m.Text("inner_listen", innerListenSyntax),
		InnerAdvertise: m.TextOr("inner_advertise", "", dialSyntax),
		StatusListen:   m.TextOr("status_listen", DefaultStatus, listenSyntax),
		Entries:        m.Texts("entries", fields.Range{Min: 1, Max: MaxEntries}, dialSyntax),
		Accelerators:   int(m.Int("accelerators", fields.Range{Max: MaxAccelerators})),
	}
	if w, ok := m.Map("worker"); ok {
		a.Worker = w.Text("address", baseURLSyntax)
		w.ReportUnknownKeys()
	}
	if u, ok := m.Map("upstream"); ok {
		a.Upstream = Upstream{
			Address:     u.Text("address", baseURLSyntax),
			Slots:       int(u.IntOr("slots", DefaultSlots, fields.Range{Min: 1, Max: MaxSlots})),
			Connections: int(u.IntOr("connections", DefaultConnections, fields.Range{Min: 1, Max: MaxConnections})),
			Kinds:       u.Texts("kinds", fields.Range{Max: MaxUpstreamKinds}, fields.Name),
		}
		u.ReportUnknownKeys()
	}
	a.TLS = readTLS(m, a.InnerListen, a.InnerAdvertise, a.Entries)
	m.ReportUnknownKeys()
	if err := m.Err(); err != nil {
		return Agent{}, nil, err
	}
	return a, m, nil
}
