package config

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const digest1 = "1111111111111111111111111111111111111111111111111111111111111111"

const validEntry = `name: entry-1
region: pampa
zone: pampa-a
listen: 0.0.0.0:8080
inner_listen: 127.0.0.1:7070
entries: ["127.0.0.1:7070", "127.0.0.1:7071"]
log: {address: "http://127.0.0.1:9000", stream: cotizador}
operators:
  - {name: lucia, token_sha256: ` + digest1 + `}
log_level: warn
`

const validAgent = `name: worker-1
region: pampa
zone: pampa-a
rack: pampa-a-1
inner_listen: 127.0.0.1:7170
status_listen: 0.0.0.0:8180
entries: ["127.0.0.1:7070"]
worker: {address: "http://127.0.0.1:9100"}
upstream: {address: "https://127.0.0.1:9200", slots: 4, connections: 32, kinds: [price_list]}
accelerators: 8
`

func TestParseEntry(t *testing.T) {
	got, err := ParseEntry("e.yaml", []byte(validEntry))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, Entry{
		Name: "entry-1", Region: "pampa", Zone: "pampa-a", Listen: "0.0.0.0:8080", InnerListen: "127.0.0.1:7070",
		Entries:   []string{"127.0.0.1:7070", "127.0.0.1:7071"},
		Log:       Log{Address: "http://127.0.0.1:9000", Stream: "cotizador"},
		Operators: []Operator{{Name: "lucia", TokenSHA256: digest1}},
		LogLevel:  slog.LevelWarn,
	})
}

func TestParseAgent(t *testing.T) {
	got, err := ParseAgent("a.yaml", []byte(validAgent))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, Agent{
		Name: "worker-1", Region: "pampa", Zone: "pampa-a", Rack: "pampa-a-1", InnerListen: "127.0.0.1:7170",
		StatusListen: "0.0.0.0:8180", Entries: []string{"127.0.0.1:7070"}, Worker: "http://127.0.0.1:9100",
		Upstream:     Upstream{Address: "https://127.0.0.1:9200", Slots: 4, Connections: 32, Kinds: []string{"price_list"}},
		Accelerators: 8, LogLevel: slog.LevelInfo,
	})
	text := strings.Replace(validAgent, "inner_listen", "inner_advertise: 127.0.0.1:7199\ninner_listen", 1)
	got, err = ParseAgent("a.yaml", []byte(text))
	assert.NilError(t, err)
	assert.Equal(t, got.InnerAdvertise, "127.0.0.1:7199")
	text = strings.NewReplacer(", slots: 4, connections: 32, kinds: [price_list]", "", "status_listen: 0.0.0.0:8180\n", "").Replace(validAgent)
	got, err = ParseAgent("a.yaml", []byte(text))
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Upstream, Upstream{Address: "https://127.0.0.1:9200", Slots: DefaultSlots, Connections: DefaultConnections})
	assert.Equal(t, got.StatusListen, DefaultStatus)
}

const (
	nameAllowed   = "a name of at most 64 lower-case letters and digits that begins with a letter, its words joined by one - or _"
	listenAllowed = "an IP address and a port from 0 to 65535, such as 0.0.0.0:8080; port 0 selects a free port"
	innerAllowed  = "an IP address that other hosts can reach and a port from 0 to 65535, such as 10.0.0.7:7070; port 0 selects a free port"
	dialAllowed   = "an IP address and a port from 1 to 65535, such as 10.0.0.7:7070"
	baseAllowed   = "a URL with http or https, a host and no query, such as http://127.0.0.1:9000"
	noTLSAllowed  = "loopback addresses, or tls with cert_file, key_file and ca_file"
)

// Guards against a message that omits the position, the problem or the allowed
// values.
func TestEntryErrors(t *testing.T) {
	tests := map[string]struct{ old, replacement, want string }{
		"name":                 {"entry-1", "entry/1", `1:7: name is "entry/1"; allowed: ` + nameAllowed},
		"no zone":              {"zone: pampa-a\n", "", "1:1: zone is missing; allowed: " + nameAllowed},
		"host name":            {"0.0.0.0:8080", "localhost:8080", `4:9: listen is "localhost:8080"; allowed: ` + listenAllowed},
		"port":                 {"0.0.0.0:8080", "0.0.0.0:70000", `4:9: listen is "0.0.0.0:70000"; allowed: ` + listenAllowed},
		"inner is unspecified": {"inner_listen: 127.0.0.1", "inner_listen: 0.0.0.0", `5:15: inner_listen is "0.0.0.0:7070"; allowed: ` + innerAllowed},
		"inner without tls":    {"inner_listen: 127.0.0.1", "inner_listen: 10.0.0.1", `5:15: inner_listen is "10.0.0.1:7070" but tls is not configured; allowed: ` + noTLSAllowed},
		"advertised port":      {"log_level: warn", "inner_advertise: 127.0.0.1:0", `10:18: inner_advertise is "127.0.0.1:0"; allowed: ` + dialAllowed},
		"advertised host":      {"log_level: warn", "inner_advertise: 0.0.0.0:7070", `10:18: inner_advertise is "0.0.0.0:7070"; allowed: ` + dialAllowed},
		"advertised, no tls":   {"log_level: warn", "inner_advertise: 10.0.0.1:7070", `10:18: inner_advertise is "10.0.0.1:7070" but tls is not configured; allowed: ` + noTLSAllowed},
		"entries without tls":  {`"127.0.0.1:7071"`, `"10.0.0.2:7071"`, `6:10: entries has "10.0.0.2:7071" but tls is not configured; allowed: ` + noTLSAllowed},
		"entries port":         {`"127.0.0.1:7071"`, `"127.0.0.1:0"`, `6:29: entries[1] is "127.0.0.1:0"; allowed: ` + dialAllowed},
		"entries twice":        {`"127.0.0.1:7071"`, `"127.0.0.1:7070"`, `6:29: entries[1] repeats "127.0.0.1:7070"; allowed: distinct values`},
		"entries is a text":    {`["127.0.0.1:7070", "127.0.0.1:7071"]`, "all", "6:10: entries is a text; allowed: a list of 0 to 64 texts"},
		"entry is a mapping":   {`"127.0.0.1:7071"`, "{a: b}", "6:29: entries[1] is a mapping; allowed: " + dialAllowed},
		"log without a scheme": {"http://127.0.0.1:9000", "127.0.0.1:9000", `7:16: log.address is "127.0.0.1:9000"; allowed: ` + baseAllowed},
		"log unknown key":      {"stream: cotizador", "stream: cotizador, token: x", `7:60: unknown key "log.token"; allowed: address, stream`},
		"no log":               {`log: {address: "http://127.0.0.1:9000", stream: cotizador}` + "\n", "", "1:1: log is missing; allowed: a mapping"},
		"log is a text":        {`{address: "http://127.0.0.1:9000", stream: cotizador}`, "here", "7:6: log is a text; allowed: a mapping"},
		"no operators":         {"operators:\n  - {name: lucia, token_sha256: " + digest1 + "}", "operators: []", "8:12: operators has 0 entries; allowed: a list of 1 to 64 mappings"},
		"operator twice":       {"operators:\n", "operators:\n  - {name: lucia, token_sha256: " + strings.Repeat("2", 64) + "}\n", "10:12: operators[1].name is used twice; allowed: distinct values"},
		"token twice":          {"operators:\n", "operators:\n  - {name: raj, token_sha256: " + digest1 + "}\n", "10:33: operators[1].token_sha256 is used twice; allowed: distinct values"},
		"log level":            {"log_level: warn", "log_level: loud", `10:12: log_level is "loud"; allowed: debug, info, warn, error`},
		"key of an agent":      {"log_level: warn", "rack: r", `10:1: unknown key "rack"; allowed: name, region, zone, log_level, listen, inner_listen, inner_advertise, entries, operators, log, tls`},
		"tls is a text":        {"log_level: warn", "tls: none", "10:6: tls is a text; allowed: a mapping"},
		"tls without a ca":     {"log_level: warn", "tls: {cert_file: a, key_file: b}", "10:6: tls.ca_file is missing; allowed: the name of a PEM file"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validEntry, tt.old, tt.replacement, 1)
			assert.Assert(t, text != validEntry)
			_, err := ParseEntry("e.yaml", []byte(text))
			assert.Error(t, err, "e.yaml:"+tt.want)
		})
	}
}

func TestAgentErrors(t *testing.T) {
	tests := map[string]struct{ old, replacement, want string }{
		"no rack":         {"rack: pampa-a-1\n", "", "1:1: rack is missing; allowed: " + nameAllowed},
		"status":          {"0.0.0.0:8180", "8180", `6:16: status_listen is "8180"; allowed: ` + listenAllowed},
		"no entries":      {`["127.0.0.1:7070"]`, "[]", "7:10: entries has 0 entries; allowed: a list of 1 to 64 texts"},
		"missing entries": {`entries: ["127.0.0.1:7070"]` + "\n", "", "1:1: entries is missing; allowed: a list of 1 to 64 texts"},
		"worker address":  {"http://127.0.0.1:9100", "ftp://127.0.0.1", `8:19: worker.address is "ftp://127.0.0.1"; allowed: ` + baseAllowed},
		"no worker":       {`worker: {address: "http://127.0.0.1:9100"}` + "\n", "", "1:1: worker is missing; allowed: a mapping"},
		"slots":           {"slots: 4", "slots: 0", "9:54: upstream.slots is 0; allowed: 1 to 1024"},
		"connections":     {"connections: 32", "connections: 1025", "9:70: upstream.connections is 1025; allowed: 1 to 1024"},
		"kind":            {"[price_list]", "[Price]", `9:82: upstream.kinds[0] is "Price"; allowed: ` + nameAllowed},
		"accelerators":    {"accelerators: 8", "accelerators: 65", "10:15: accelerators is 65; allowed: 0 to 64"},
		"no accelerators": {"accelerators: 8\n", "", "1:1: accelerators is missing; allowed: 0 to 64"},
		"key of an entry": {"accelerators: 8", "accelerators: 8\nlisten: x", `11:1: unknown key "listen"; allowed: name, region, zone, log_level, rack, inner_listen, inner_advertise, status_listen, entries, accelerators, worker, upstream, tls`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validAgent, tt.old, tt.replacement, 1)
			assert.Assert(t, text != validAgent)
			_, err := ParseAgent("a.yaml", []byte(text))
			assert.Error(t, err, "a.yaml:"+tt.want)
		})
	}
}

func TestDetect(t *testing.T) {
	tests := map[string]struct {
		text string
		want FileType
		err  string
	}{
		"document": {"schema: 1\n", FormDocument, ""},
		"entry":    {validEntry, FormEntry, ""},
		"agent":    {validAgent, FormAgent, ""},
		"graph":    {"kind: lots\nsteps: []\n", FormGraph, ""},
		"unknown":  {"name: x\n", "", "f:1:7: name does not identify the type of file; allowed: schema for a service document, operators for settings of an entry, worker for settings of an agent, steps for a graph of tasks"},
		"no keys":  {"{}\n", "", "settings: f: the file has no keys"},
		"no YAML":  {"a: [\n", "", "f:1:4: sequence end token ']' not found; allowed: plain YAML with distinct keys"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := DetectFileType("f", []byte(tt.text))
			assert.Equal(t, got, tt.want)
			if tt.err == "" {
				assert.NilError(t, err)
				return
			}
			assert.Error(t, err, tt.err)
		})
	}
}

func TestLoadWithoutTLS(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "agent.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(validAgent), 0o600))
	a, err := LoadAgent(path)
	assert.NilError(t, err)
	assert.Assert(t, a.TLS.Server == nil && a.TLS.Client == nil)
	_, err = LoadEntry(filepath.Join(dir, "none.yaml"))
	assert.ErrorContains(t, err, "none.yaml: no such file")
	assert.Assert(t, Error.Has(err))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validEntry))
	f.Add([]byte(validAgent))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, entryErr := ParseEntry("f", data)
		_, agentErr := ParseAgent("f", data)
		_, detectErr := DetectFileType("f", data)
		assert.Assert(t, entryErr != nil || agentErr != nil, "a file is both")
		for _, err := range []error{entryErr, agentErr} {
			if err != nil {
				assert.Assert(t, strings.HasPrefix(err.Error(), "f:") && strings.Contains(err.Error(), "; allowed: "), err)
			}
		}
		if entryErr == nil || agentErr == nil {
			assert.NilError(t, detectErr)
		}
	})
}
