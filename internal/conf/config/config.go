// Package config parses and validates the settings files of entries and agents.
//
// Settings hold the name and location of a process and the addresses of its
// peers. The configuration of the service is in the published service document
// instead. A settings file is read once, at startup. Every problem is reported
// with file, line, column, what is wrong and what is allowed; unknown keys are
// problems too.
//
// ParseEntry and ParseAgent validate the text only. LoadEntry and LoadAgent also
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

// Error is the class of errors for files that cannot be read or have no keys.
var Error = errs.Class("settings")

const (
	// MaxBytes is the maximum size of a settings file.
	MaxBytes = 1 << 20
	// MaxEntries is the maximum number of gRPC addresses of entries.
	MaxEntries = 64
	// DefaultLogLevel is used if log_level is missing.
	DefaultLogLevel = "info"
)

// logLevels maps the values of log_level.
var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

// FileType is a type of file that Detect distinguishes.
type FileType string

// The types of files.
const (
	FormDocument FileType = "service document"
	FormEntry    FileType = "settings of an entry"
	FormAgent    FileType = "settings of an agent"
	FormGraph    FileType = "graph of tasks"
)

// DetectFileType determines the type of a file from its top-level keys. The error is of
// type fields.Problems, or of class Error if the file has no keys.
func DetectFileType(name string, data []byte) (FileType, error) {
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
		m.Report(key, "does not identify the type of file", fmt.Sprintf(
			"schema for a %s, operators for %s, worker for %s, steps for a %s", FormDocument, FormEntry, FormAgent, FormGraph))
		break
	}
	if m.Err() == nil {
		return "", Error.New("%s: the file has no keys", name)
	}
	return "", m.Err()
}

// readFile returns the content of a file. The parser rejects content longer than
// MaxBytes.
func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return data, nil
}

// identity holds the settings common to entries and agents.
type identity struct {
	name, region, zone string
	logLevel           slog.Level
}

// readIdentity reads the common settings.
func readIdentity(m *fields.Map) identity {
	return identity{
		name:     m.Text("name", fields.Name),
		region:   m.Text("region", fields.Name),
		zone:     m.Text("zone", fields.Name),
		logLevel: logLevels[m.TextOr("log_level", DefaultLogLevel, fields.OneOf("debug", "info", "warn", "error"))],
	}
}

var (
	// listenSyntax accepts a listen address that is not announced to other hosts.
	listenSyntax = fields.Syntax{
		Allowed: "an IP address and a port from 0 to 65535, such as 0.0.0.0:8080; port 0 selects a free port",
		Valid: func(s string) bool {
			_, err := netip.ParseAddrPort(s)
			return err == nil
		},
	}
	// innerListenSyntax accepts a listen address that is announced to other hosts.
	innerListenSyntax = fields.Syntax{
		Allowed: "an IP address that other hosts can reach and a port from 0 to 65535, such as 10.0.0.7:7070; port 0 selects a free port",
		Valid: func(s string) bool {
			a, err := netip.ParseAddrPort(s)
			return err == nil && !a.Addr().IsUnspecified()
		},
	}
	// dialSyntax accepts an address that processes connect to.
	dialSyntax = fields.Syntax{
		Allowed: "an IP address and a port from 1 to 65535, such as 10.0.0.7:7070",
		Valid: func(s string) bool {
			a, err := netip.ParseAddrPort(s)
			return err == nil && !a.Addr().IsUnspecified() && a.Port() > 0
		},
	}
	// baseURLSyntax accepts the base URL of a platform service, a worker or an
	// upstream.
	baseURLSyntax = fields.Syntax{
		Allowed: "a URL with http or https, a host and no query, such as http://127.0.0.1:9000",
		Valid: func(s string) bool {
			u, err := url.Parse(s)
			return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" &&
				u.RawQuery == "" && u.Fragment == "" && u.User == nil
		},
	}
)

// isLoopback reports whether an IP address with a port is a loopback address.
func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}
