// Package svcdoc reads and checks service documents.
//
// A document is YAML of schema 1. Parse reports every fault with file, line,
// column, what is wrong and what is allowed, so that a person who edits a
// document at night needs no manual. The same checks run in the check command
// and in the entry that publishes, so a document that passes one passes the
// other. Parse does not look at the fleet: whether its guarantees fit the
// workers is seen only when they are placed.
package svcdoc

import (
	"fmt"
	"math"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/conf/fields"
)

const (
	// Schema is the only known schema of documents.
	Schema = 1
	// MaxBytes bounds a document.
	MaxBytes = 1 << 20
	// MaxAccounts bounds the accounts of a document.
	MaxAccounts = 1024
	// MaxGuarantees bounds the guarantees of an account.
	MaxGuarantees = 32
	// MaxCount bounds the equal shapes of one guarantee.
	MaxCount = 1024
	// MaxAccelerators bounds the accelerators of one shape.
	MaxAccelerators = 1024
	// MaxGraphAccelerators bounds the accelerators that an account's graphs can
	// reclaim.
	MaxGraphAccelerators = 1 << 20
	// MaxKinds bounds the kinds of a document.
	MaxKinds = 64
)

// Defaults and ranges of accounts.
const (
	DefaultWeight     = 1
	MaxWeight         = 100
	DefaultQueueLimit = 200
	MaxQueueLimit     = 10_000
	DefaultJobLimit   = 1000
	MaxJobLimit       = 10_000
)

// Defaults and ranges of kinds.
const (
	// DefaultMaxBody is in bytes.
	DefaultMaxBody = 64 << 10
	// MaxMaxBody is in bytes; it keeps a message below the 4 MiB that gRPC takes.
	MaxMaxBody     = 1 << 20
	DefaultTimeout = 5 * time.Second
	MinTimeout     = time.Millisecond
	// MaxTimeout leaves 5 s of the 30 s of a graceful stop.
	MaxTimeout         = 25 * time.Second
	DefaultCheckpoint  = 10 * time.Second
	MaxCheckpoint      = 10 * time.Minute
	DefaultMaxAttempts = 3
	MaxMaxAttempts     = 10
	DefaultMaxRuntime  = 24 * time.Hour
	MinMaxRuntime      = time.Second
	MaxMaxRuntime      = 30 * 24 * time.Hour
	// DefaultStretchPercent and DefaultTargetLatency make the objective of a graph:
	// its longest chain of work times the stretch, and the latency.
	DefaultStretchPercent = 200
	MaxStretchPercent     = 10_000
	DefaultTargetLatency  = time.Second
	MaxTargetLatency      = 24 * time.Hour
)

// Parse reads a document; name stands for it in errors, which are of type
// fields.Problems. The version of the result is 0.
func Parse(name string, data []byte) (chestnutpond.Document, error) {
	m, err := fields.Parse(name, data, MaxBytes)
	if err != nil {
		return chestnutpond.Document{}, err
	}
	if v := m.Int("schema", fields.Range{Min: math.MinInt64, Max: math.MaxInt64}); m.Has("schema") && m.Err() == nil && v != Schema {
		// The keys of another schema are not known, so nothing else is checked.
		m.Report("schema", fmt.Sprintf("is %d", v), fmt.Sprint(Schema))
		return chestnutpond.Document{}, m.Err()
	}
	d := chestnutpond.Document{Service: m.Text("service", fields.Name)}
	d.Accounts = accounts(m)
	d.Kinds = kinds(m, d.Service)
	m.Done()
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

// accounts reads the accounts; names and token digests are distinct.
func accounts(m *fields.Map) []chestnutpond.Account {
	var all []chestnutpond.Account
	names, digests := map[string]bool{}, map[string]bool{}
	for _, a := range m.Maps("accounts", fields.Range{Min: 1, Max: MaxAccounts}) {
		one := chestnutpond.Account{
			Name:        a.Text("name", fields.Name),
			TokenSHA256: a.Text("token_sha256", fields.Digest),
			Weight:      int(a.IntOr("weight", DefaultWeight, fields.Range{Min: 1, Max: MaxWeight})),
			QueueLimit:  int(a.IntOr("queue_limit", DefaultQueueLimit, fields.Range{Min: 1, Max: MaxQueueLimit})),
			JobLimit:    int(a.IntOr("job_limit", DefaultJobLimit, fields.Range{Min: 1, Max: MaxJobLimit})),
			Guarantees:  guarantees(a),

			Accelerators: a.IntOr("graph_accelerators", 0, fields.Range{Max: MaxGraphAccelerators}),
		}
		a.Done()
		a.Distinct("name", one.Name, names)
		a.Distinct("token_sha256", one.TokenSHA256, digests)
		all = append(all, one)
	}
	return all
}

// guarantees reads the guarantees of an account; equal shapes of a region stand
// in one guarantee.
func guarantees(m *fields.Map) []chestnutpond.Guarantee {
	type target struct {
		region string
		shape  chestnutpond.Shape
	}
	var all []chestnutpond.Guarantee
	seen := map[target]bool{}
	for _, g := range m.Maps("guarantees", fields.Range{Max: MaxGuarantees}) {
		one := chestnutpond.Guarantee{
			Region: g.Text("region", fields.Name),
			Count:  int(g.IntOr("count", 1, fields.Range{Min: 1, Max: MaxCount})),
			Shape: chestnutpond.Shape{
				Accelerators: int(g.Int("accelerators", fields.Range{Min: 1, Max: MaxAccelerators})),
				Adjacency: chestnutpond.Adjacency(g.TextOr("adjacency", string(chestnutpond.AdjacencyWorker), fields.OneOf(
					string(chestnutpond.AdjacencyWorker), string(chestnutpond.AdjacencyRack), string(chestnutpond.AdjacencyZone),
				))),
			},
		}
		g.Done()
		t := target{one.Region, one.Shape}
		if one.Region != "" && seen[t] {
			g.Report("region", fmt.Sprintf("repeats the guarantee of %s in %s", one.Shape, one.Region), "a greater count in one guarantee")
		}
		seen[t] = true
		all = append(all, one)
	}
	return all
}

// kinds reads the kinds of a service; their names are distinct.
func kinds(m *fields.Map, service string) []chestnutpond.Kind {
	var all []chestnutpond.Kind
	names := map[string]bool{}
	for _, k := range m.Maps("kinds", fields.Range{Min: 1, Max: MaxKinds}) {
		one := chestnutpond.Kind{
			Name: k.Text("name", fields.Name),
			Work: chestnutpond.WorkForm(k.Text("work", fields.OneOf(
				string(chestnutpond.WorkRequest), string(chestnutpond.WorkJob), string(chestnutpond.WorkGraph)))),
			Class: chestnutpond.Class(k.Text("class", fields.OneOf(
				string(chestnutpond.ClassUrgent), string(chestnutpond.ClassStandard), string(chestnutpond.ClassBulk)))),
			MaxBody: k.IntOr("max_body", DefaultMaxBody, fields.Range{Min: 1, Max: MaxMaxBody}),
		}
		switch one.Work {
		case chestnutpond.WorkRequest:
			one = requestKeys(k, one)
			k.Done()
		case chestnutpond.WorkJob:
			one = jobKeys(k, one)
			k.Done()
		case chestnutpond.WorkGraph:
			one = graphKeys(k, one, service)
			k.Done()
		}
		k.Distinct("name", one.Name, names)
		all = append(all, one)
	}
	return all
}

// requestKeys adds the keys that only kinds of requests have.
func requestKeys(m *fields.Map, k chestnutpond.Kind) chestnutpond.Kind {
	k.Idempotent = m.BoolOr("idempotent", false)
	k.Timeout = m.DurationOr("timeout", DefaultTimeout, fields.Span{Min: MinTimeout, Max: MaxTimeout})
	return k
}

// jobKeys adds the keys that only kinds of jobs have.
func jobKeys(m *fields.Map, k chestnutpond.Kind) chestnutpond.Kind {
	k.Checkpoint = m.DurationOr("checkpoint", DefaultCheckpoint, fields.Span{Max: MaxCheckpoint})
	k.MaxAttempts = int(m.IntOr("max_attempts", DefaultMaxAttempts, fields.Range{Min: 1, Max: MaxMaxAttempts}))
	k.MaxRuntime = m.DurationOr("max_runtime", DefaultMaxRuntime, fields.Span{Min: MinMaxRuntime, Max: MaxMaxRuntime})
	return k
}

// priorities are those of graphs by the class of their kind.
var priorities = map[chestnutpond.Class]int{
	chestnutpond.ClassUrgent: 0, chestnutpond.ClassStandard: 1, chestnutpond.ClassBulk: 2,
}

// graphKeys adds the keys that only kinds of graphs have.
func graphKeys(m *fields.Map, k chestnutpond.Kind, service string) chestnutpond.Kind {
	k.MaxAttempts = int(m.IntOr("max_attempts", DefaultMaxAttempts, fields.Range{Min: 1, Max: MaxMaxAttempts}))
	stretch := m.IntOr("stretch_percent", DefaultStretchPercent, fields.Range{Min: 100, Max: MaxStretchPercent})
	k.Queue = &chestnutpond.Queue{Terms: chestnutpond.QueueTerms{
		Name: k.Name, Service: service, Priority: priorities[k.Class], MaxAttempts: k.MaxAttempts,
		Stretch:       float64(stretch) / 100,
		TargetLatency: m.DurationOr("target_latency", DefaultTargetLatency, fields.Span{Max: MaxTargetLatency}),
	}}
	return k
}
