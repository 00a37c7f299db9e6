package config

import (
	"log/slog"

	"github.com/chestnutpond/chestnutpond/internal/conf/fields"
)

// Defaults and ranges of agents.
const (
	DefaultSlots       = 8
	MaxSlots           = 1024
	DefaultConnections = 64
	MaxConnections     = 1024
	MaxUpstreamKinds   = 64
	DefaultStatus      = "127.0.0.1:0"
	// MaxAccelerators bounds the accelerators of one worker.
	MaxAccelerators = 64
)

// Agent is the settings of an agent.
type Agent struct {
	// Name is unique among all processes of the deployment; the worker and the
	// upstream go by it too.
	Name   string
	Region string
	Zone   string
	Rack   string
	// InnerListen is the address of the gRPC server, as others reach it.
	InnerListen string
	// InnerAdvertise is the inner address that others are told; empty means
	// InnerListen as it was bound.
	InnerAdvertise string
	// StatusListen is the address of the HTTP server for health and metrics.
	StatusListen string
	// Entries are inner addresses of entries, at least one.
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

// Upstream is the upstream beside an agent.
type Upstream struct {
	// Address is the base URL.
	Address string
	// Slots is the number of requests that run at a time, at least 1.
	Slots int
	// Connections bounds the connections to the upstream, at least 1.
	Connections int
	// Kinds are the kinds of requests that the upstream serves; empty means that
	// it serves none.
	Kinds []string
}

// LoadAgent reads the settings of an agent and the TLS files that they name. A
// fault of the file is of type fields.Problems.
func LoadAgent(path string) (Agent, error) {
	data, err := read(path)
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

// ParseAgent reads the settings of an agent; name stands for the file in errors,
// which are of type fields.Problems. TLS has the names of files only.
func ParseAgent(name string, data []byte) (Agent, error) {
	a, _, err := parseAgent(name, data)
	return a, err
}

// parseAgent also returns the fields, for problems that show later.
func parseAgent(name string, data []byte) (Agent, *fields.Map, error) {
	m, err := fields.Parse(name, data, MaxBytes)
	if err != nil {
		return Agent{}, nil, err
	}
	p := readPlace(m)
	a := Agent{
		Name: p.name, Region: p.region, Zone: p.zone, LogLevel: p.level,
		Rack:           m.Text("rack", fields.Name),
		InnerListen:    m.Text("inner_listen", innerListenSyntax),
		InnerAdvertise: m.TextOr("inner_advertise", "", dialSyntax),
		StatusListen:   m.TextOr("status_listen", DefaultStatus, listenSyntax),
		Entries:        m.Texts("entries", fields.Range{Min: 1, Max: MaxEntries}, dialSyntax),
		Accelerators:   int(m.Int("accelerators", fields.Range{Max: MaxAccelerators})),
	}
	if w, ok := m.Map("worker"); ok {
		a.Worker = w.Text("address", baseSyntax)
		w.Done()
	}
	if u, ok := m.Map("upstream"); ok {
		a.Upstream = Upstream{
			Address:     u.Text("address", baseSyntax),
			Slots:       int(u.IntOr("slots", DefaultSlots, fields.Range{Min: 1, Max: MaxSlots})),
			Connections: int(u.IntOr("connections", DefaultConnections, fields.Range{Min: 1, Max: MaxConnections})),
			Kinds:       u.Texts("kinds", fields.Range{Max: MaxUpstreamKinds}, fields.Name),
		}
		u.Done()
	}
	a.TLS = readTLS(m, a.InnerListen, a.InnerAdvertise, a.Entries)
	m.Done()
	if err := m.Err(); err != nil {
		return Agent{}, nil, err
	}
	return a, m, nil
}
