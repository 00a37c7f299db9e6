// Package config reads and checks the settings files of entries and agents.
//
// Settings tell a process who and where it is and whom it talks to; everything
// about the service is in its published document instead. A settings file is
// read once, at the start. Every fault is reported with file, line, column, what
// is wrong and what is allowed; unknown keys are faults.
//
// ParseEntry and ParseAgent check the text alone. LoadEntry and LoadAgent also
// read the TLS files that the settings name.
package config

import (
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"os"

	"github.com/zeebo/errs"

	"github.com/chestnutpond/chestnutpond/internal/conf/fields"
)

// Error is the class of errors of files that cannot be read.
var Error = errs.Class("settings")

const (
	// MaxBytes bounds a settings file.
	MaxBytes = 1 << 20
	// MaxEntries bounds the inner addresses of entries.
	MaxEntries = 64
	// DefaultLogLevel is the log_level of a file without one.
	DefaultLogLevel = "info"
)

// logLevels are the values of log_level.
var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

// Form is a form of file that Detect tells apart.
type Form string

// The forms of files.
const (
	FormDocument Form = "service document"
	FormEntry    Form = "settings of an entry"
	FormAgent    Form = "settings of an agent"
	FormGraph    Form = "graph of tasks"
)

// Detect tells the form of a file by its keys at the top. The error is of type
// fields.Problems.
func Detect(name string, data []byte) (Form, error) {
	m, err := fields.Parse(name, data, MaxBytes)
	if err != nil {
		return "", err
	}
	for _, key := range m.Keys() {
		switch key {
		case "schema", "service", "accounts", "kinds":
			return FormDocument, nil
		case "operators", "listen", "log":
			return FormEntry, nil
		case "worker", "upstream", "rack", "status_listen", "accelerators":
			return FormAgent, nil
		case "steps", "kind", "payload":
			return FormGraph, nil
		}
	}
	for _, key := range m.Keys() {
		m.Report(key, "does not tell what the file is", fmt.Sprintf(
			"schema for a %s, operators for %s, worker for %s, steps for a %s", FormDocument, FormEntry, FormAgent, FormGraph))
		break
	}
	if m.Err() == nil {
		return "", Error.New("%s: the file has no keys", name)
	}
	return "", m.Err()
}

// read returns the content of a file; a file beyond MaxBytes is refused by the
// parser.
func read(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return data, nil
}

// place is what both forms of settings say about a process.
type place struct {
	name, region, zone string
	level              slog.Level
}

// readPlace reads the keys of place.
func readPlace(m *fields.Map) place {
	return place{
		name:   m.Text("name", fields.Name),
		region: m.Text("region", fields.Name),
		zone:   m.Text("zone", fields.Name),
		level:  logLevels[m.TextOr("log_level", DefaultLogLevel, fields.OneOf("debug", "info", "warn", "error"))],
	}
}

var (
	// listenSyntax is the form of an address that other hosts need not know.
	listenSyntax = fields.Syntax{
		Allowed: "an IP number and a port from 0 to 65535, such as 0.0.0.0:8080; port 0 takes a free one",
		Valid: func(s string) bool {
			_, err := netip.ParseAddrPort(s)
			return err == nil
		},
	}
	// innerListenSyntax is the form of the own address that is told to others.
	innerListenSyntax = fields.Syntax{
		Allowed: "an IP number that other hosts reach and a port from 0 to 65535, such as 10.0.0.7:7070; port 0 takes a free one",
		Valid: func(s string) bool {
			a, err := netip.ParseAddrPort(s)
			return err == nil && !a.Addr().IsUnspecified()
		},
	}
	// dialSyntax is the form of the address of another process.
	dialSyntax = fields.Syntax{
		Allowed: "an IP number and a port from 1 to 65535, such as 10.0.0.7:7070",
		Valid: func(s string) bool {
			a, err := netip.ParseAddrPort(s)
			return err == nil && !a.Addr().IsUnspecified() && a.Port() > 0
		},
	}
	// baseSyntax is the form of the address of a part of the platform.
	baseSyntax = fields.Syntax{
		Allowed: "a URL with http or https, a host and no query, such as http://127.0.0.1:9000",
		Valid: func(s string) bool {
			u, err := url.Parse(s)
			return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" &&
				u.RawQuery == "" && u.Fragment == "" && u.User == nil
		},
	}
)

// loopback reports whether an address with a port is on this host only.
func loopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}
