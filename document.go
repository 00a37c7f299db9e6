package chestnutpond

import "time"

// Document is a service's published configuration. The zero value has no
// accounts and no kinds.
type Document struct {
	// Service is the unique name of the service.
	Service string
	// Version is the number of accepted publications of the service; it never
	// decreases. Zero means that nothing was published.
	Version int64
	// Accounts have distinct names and distinct token digests.
	Accounts []Account
	// Kinds have distinct names.
	Kinds []Kind
	// Pools are the services whose workers run the tasks of graphs. It is empty in
	// a deployment of a single service.
	Pools []Pool
	// MaxBody is the maximum size of the body of any call, in bytes; zero means no
	// limit.
	MaxBody int64
}

// Pool is a service's set of workers.
type Pool struct {
	Name string
	// RejectsOverload means that workers refuse tasks beyond their capacity.
	RejectsOverload bool
	// Standby means that the workers are switched off and cost nothing.
	Standby bool
}

// Account returns the account with the given name.
func (d Document) Account(name string) (Account, bool) {
	for _, a := range d.Accounts {
		if a.Name == name {
			return a, true
		}
	}
	return Account{}, false
}

// Kind returns the kind with the given name.
func (d Document) Kind(name string) (Kind, bool) {
	for _, k := range d.Kinds {
		if k.Name == name {
			return k, true
		}
	}
	return Kind{}, false
}

// WithVersion returns a copy of d with the given version.
func (d Document) WithVersion(version int64) Document {
	d.Version = version
	return d
}

// Account is a client account.
type Account struct {
	// Name is unique in the document.
	Name string
	// TokenSHA256 is the lower-case hex SHA-256 of the account's bearer token.
	TokenSHA256 string
	// Weight is the account's relative share of contended capacity, 1 to 100.
	Weight int
	// QueueLimit is the maximum number of requests queued at one entry.
	QueueLimit int
	// JobLimit is the maximum number of jobs queued in one region.
	JobLimit int
	// Guarantees are the capacity that the account can reclaim at any time, even if
	// other accounts have borrowed it.
	Guarantees []Guarantee
	// MoreTokensSHA256 are the digests of further tokens of the account.
	MoreTokensSHA256 []string
	// Accelerators is the number of accelerators that the account's graphs of
	// priority 0 can always reclaim.
	Accelerators int64
}

// Guarantee is capacity for a number of equal shapes in one region.
type Guarantee struct {
	Region string
	// Count is at least 1.
	Count int
	Shape Shape
}

// WorkType is the type of a kind's work.
type WorkType string

// The types of work.
const (
	WorkRequest WorkType = "request"
	WorkJob     WorkType = "job"
	WorkGraph   WorkType = "graph"
)

// Kind is a kind of work that the accounts of a service may run.
type Kind struct {
	// Name is unique in the document.
	Name string
	// Work says whether the kind is a request, a job or a graph.
	Work  WorkType
	Class Class
	// Idempotent means that a request may be retried after an unknown outcome. It
	// has no effect on jobs.
	Idempotent bool
	// Timeout is the maximum time of a request from admission to answer.
	Timeout time.Duration
	// MaxBody is the largest body of a request or payload of a job, in bytes.
	MaxBody int64
	// Checkpoint is the time that a preempted job has to write a checkpoint.
	Checkpoint time.Duration
	// MaxAttempts is the number of different workers on which a job may fail
	// before it ends as impossible.
	MaxAttempts int
	// MaxRuntime is the run time after which a job is stopped.
	MaxRuntime time.Duration
	// Queue is set only if Work is WorkGraph.
	Queue *Queue
}

// Queue is a queue to which callers submit graphs.
type Queue struct {
	Terms QueuePolicy
	// Host and PathPrefix select the queue of a call; the longest matching prefix
	// of the path wins.
	Host       string
	PathPrefix string
	// Public queues need no token.
	Public bool
}
