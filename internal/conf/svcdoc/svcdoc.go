// Package svcdoc parses and validates service documents.
//
// A document is YAML of schema 1. Parse reports every problem with file, line,
// column, what is wrong and what is allowed, so that an on-call operator can
// correct a document without a manual. The check command and the entry that
// publishes a document apply the same rules, so a document that passes one passes
// the other. Parse does not consider the fleet: whether the guarantees fit the
// workers is not checked until they are placed.
package svcdoc

import (
	"fmt"
	"math"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/conf/fields"
)

const (
	// Schema is the only supported schema version.
	Schema = 1
	// MaxBytes is the maximum size of a document.
	MaxBytes = 1 << 20
	// MaxAccounts is the maximum number of accounts in a document.
	MaxAccounts = 1024
	// MaxGuarantees is the maximum number of guarantees of an account.
	MaxGuarantees = 32
	// MaxGuaranteeCount is the maximum number of equal shapes in one guarantee.
	MaxGuaranteeCount = 1024
	// MaxAccelerators is the maximum number of accelerators of one shape.
	MaxAccelerators = 1024
	// MaxGraphAccelerators is the maximum number of accelerators that the graphs
	// of an account can reclaim.
	MaxGraphAccelerators = 1 << 20
	// MaxKinds is the maximum number of kinds in a document.
	MaxKinds = 64
)

// Defaults and limits of accounts.
const (
	DefaultWeight     = 1
	MaxWeight         = 100
	DefaultQueueLimit = 200
	MaxQueueLimit     = 10_000
	DefaultJobLimit   = 1000
	MaxJobLimit       = 10_000
)

// Defaults and limits of kinds.
const (
	// DefaultMaxBody is in bytes.
	DefaultMaxBody = 64 << 10
	// MaxMaxBody is in bytes; it keeps messages below the 4 MiB limit of gRPC.
	MaxMaxBody     = 1 << 20
	DefaultTimeout = 5 * time.Second
	MinTimeout     = time.Millisecond
	// MaxTimeout leaves 5 s of the 30 s that a graceful shutdown may take.
	MaxTimeout         = 25 * time.Second
	DefaultCheckpoint  = 10 * time.Second
	MaxCheckpoint      = 10 * time.Minute
	DefaultMaxAttempts = 3
	MaxMaxAttempts     = 10
	DefaultMaxRuntime  = 24 * time.Hour
	MinMaxRuntime      = time.Second
	MaxMaxRuntime      = 30 * 24 * time.Hour
	// DefaultStretchPercent and DefaultTargetLatency define the completion time
	// objective of a graph: the length of its critical path times the stretch, plus
	// the target latency.
	DefaultStretchPercent = 200
	MaxStretchPercent     = 10_000
	DefaultTargetLatency  = time.Second
	MaxTargetLatency      = 24 * time.Hour
)

// Parse parses a document. The name is the file name in errors, which are of type
// fields.Problems. The version of the result is 0.
func Parse(name string, data []byte) (chestnutpond.Document, error) {
	m, err := fields.Parse(name, data, MaxBytes)
	if err != nil {
		return chestnutpond.Document{}, err
	}
	if v := m.Int("schema", fields.Range{Min: math.MinInt64, Max: math.MaxInt64}); m.Has("schema") && m.Err() == nil && v != Schema {
		// The keys of other schemas are unknown, so nothing else is checked.
		m.Report("schema", fmt.Sprintf("is %d", v), fmt.Sprint(Schema))
		return chestnutpond.Document{}, m.Err()
	}
	d := chestnutpond.Document{Service: m.Text("service", fields.Name)}
	d.Accounts = readAccounts(m)
	d.Kinds = readKinds(m, d.Service)
	m.ReportUnknownKeys()
	if err := m.Err(); err != nil {
		return chestnutpond.Document{}, err
	}
	for _, k := range d.Kinds {
		if k.Work == chestnutpond.WorkGraph {
			d.Pools = []chestnutpond.Pool{{Name: d.Service, RejectsOverload: true}}
		}
	}
	return d, nil
}

// readAccounts reads the accounts. Names and token digests must be distinct.
func readAccounts(m *fields.Map) []chestnutpond.Account {
	var accounts []chestnutpond.Account
	names, digests := map[string]bool{}, map[string]bool{}
	for _, a := range m.Maps("accounts", fields.Range{Min: 1, Max: MaxAccounts}) {
		account := chestnutpond.Account{
			Name:        a.Text("name", fields.Name),
			TokenSHA256: a.Text("token_sha256", fields.Digest),
			Weight:      int(a.IntOr("weight", DefaultWeight, fields.Range{Min: 1, Max: MaxWeight})),
			QueueLimit:  int(a.IntOr("queue_limit", DefaultQueueLimit, fields.Range{Min: 1, Max: MaxQueueLimit})),
			JobLimit:    int(a.IntOr("job_limit", DefaultJobLimit, fields.Range{Min: 1, Max: MaxJobLimit})),
			Guarantees:  readGuarantees(a),

			Accelerators: a.IntOr("graph_accelerators", 0, fields.Range{Max: MaxGraphAccelerators}),
		}
		a.ReportUnknownKeys()
		a.Distinct("name", account.Name, names)
		a.Distinct("token_sha256", account.TokenSHA256, digests)
		accounts = append(accounts, account)
	}
	return accounts
}

// readGuarantees reads the guarantees of an account. Guarantees with the same
// region and shape must be merged into one with a greater count.
func readGuarantees(m *fields.Map) []chestnutpond.Guarantee {
	type regionShape struct {
		region string
		shape  chestnutpond.Shape
	}
	var guarantees []chestnutpond.Guarantee
	seen := map[regionShape]bool{}
	for _, g := range m.Maps("guarantees", fields.Range{Max: MaxGuarantees}) {
		guarantee := chestnutpond.Guarantee{
			Region: g.Text("region", fields.Name),
			Count:  int(g.IntOr("count", 1, fields.Range{Min: 1, Max: MaxGuaranteeCount})),
			Shape: chestnutpond.Shape{
				Accelerators: int(g.Int("accelerators", fields.Range{Min: 1, Max: MaxAccelerators})),
				Adjacency: chestnutpond.Adjacency(g.TextOr("adjacency", string(chestnutpond.AdjacencyWorker), fields.OneOf(
					string(chestnutpond.AdjacencyWorker), string(chestnutpond.AdjacencyRack), string(chestnutpond.AdjacencyZone),
				))),
			},
		}
		g.ReportUnknownKeys()
		key := regionShape{guarantee.Region, guarantee.Shape}
		if guarantee.Region != "" && seen[key] {
			g.Report("region", fmt.Sprintf("repeats the guarantee of %s in %s", guarantee.Shape, guarantee.Region), "a greater count in one guarantee")
		}
		seen[key] = true
		guarantees = append(guarantees, guarantee)
	}
	return guarantees
}

// readKinds reads the kinds of a service. Names must be distinct.
func readKinds(m *fields.Map, service string) []chestnutpond.Kind {
	var kinds []chestnutpond.Kind
	names := map[string]bool{}
	for _, k := range m.Maps("kinds", fields.Range{Min: 1, Max: MaxKinds}) {
		kind := chestnutpond.Kind{
			Name: k.Text("name", fields.Name),
			Work: chestnutpond.WorkType(k.Text("work", fields.OneOf(
				string(chestnutpond.WorkRequest), string(chestnutpond.WorkJob), string(chestnutpond.WorkGraph)))),
			Class: chestnutpond.Class(k.Text("class", fields.OneOf(
				string(chestnutpond.ClassUrgent), string(chestnutpond.ClassStandard), string(chestnutpond.ClassBulk)))),
			MaxBody: k.IntOr("max_body", DefaultMaxBody, fields.Range{Min: 1, Max: MaxMaxBody}),
		}
		switch kind.Work {
		case chestnutpond.WorkRequest:
			kind = readRequestKeys(k, kind)
			k.ReportUnknownKeys()
		case chestnutpond.WorkJob:
			kind = readJobKeys(k, kind)
			k.ReportUnknownKeys()
		case chestnutpond.WorkGraph:
			kind = readGraphKeys(k, kind, service)
			k.ReportUnknownKeys()
		}
		k.Distinct("name", kind.Name, names)
		kinds = append(kinds, kind)
	}
	return kinds
}

// readRequestKeys reads the keys that are specific to kinds of requests.
func readRequestKeys(m *fields.Map, k chestnutpond.Kind) chestnutpond.Kind {
	k.Idempotent = m.BoolOr("idempotent", false)
	k.Timeout = m.DurationOr("timeout", DefaultTimeout, fields.Span{Min: MinTimeout, Max: MaxTimeout})
	return k
}

// readJobKeys reads the keys that are specific to kinds of jobs.
func readJobKeys(m *fields.Map, k chestnutpond.Kind) chestnutpond.Kind {
	k.Checkpoint = m.DurationOr("checkpoint", DefaultCheckpoint, fields.Span{Max: MaxCheckpoint})
	k.MaxAttempts = int(m.IntOr("max_attempts", DefaultMaxAttempts, fields.Range{Min: 1, Max: MaxMaxAttempts}))
	k.MaxRuntime = m.DurationOr("max_runtime", DefaultMaxRuntime, fields.Span{Min: MinMaxRuntime, Max: MaxMaxRuntime})
	return k
}

// classPriorities maps the class of a kind of graphs to the priority of its queue.
var classPriorities = map[chestnutpond.Class]int{
	chestnutpond.ClassUrgent: 0, chestnutpond.ClassStandard: 1, chestnutpond.ClassBulk: 2,
}

// readGraphKeys reads the keys that are specific to kinds of graphs.
func readGraphKeys(m *fields.Map, k chestnutpond.Kind, service string) chestnutpond.Kind {
	k.MaxAttempts = int(m.IntOr("max_attempts", DefaultMaxAttempts, fields.Range{Min: 1, Max: MaxMaxAttempts}))
	stretch := m.IntOr("stretch_percent", DefaultStretchPercent, fields.Range{Min: 100, Max: MaxStretchPercent})
	k.Queue = &chestnutpond.Queue{Terms: chestnutpond.QueuePolicy{
		Name: k.Name, Service: service, Priority: classPriorities[k.Class], MaxAttempts: k.MaxAttempts,
		Stretch:       float64(stretch) / 100,
		TargetLatency: m.DurationOr("target_latency", DefaultTargetLatency, fields.Span{Max: MaxTargetLatency}),
	}}
	return k
}
