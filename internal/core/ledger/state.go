package ledger

import (
	"sort"

	"github.com/chestnutpond/chestnutpond"
)

// Limits of the state. Beyond a limit, the oldest elements are evicted.
const (
	endedJobLimit    = 16384
	intentLimit      = 65536
	publicationLimit = 8192
)

// Config is the current document of a service.
type Config struct {
	Service string `json:"service"`
	// Version is the number of accepted publications of the service.
	Version  int64  `json:"version"`
	Document []byte `json:"document"`
}

// Publication is the outcome of a Publish record.
type Publication struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Accepted bool   `json:"accepted"`
	// Version is the version that the publication created or, if it was rejected,
	// the version that was current.
	Version int64 `json:"version"`
}

// Term is the current leadership term of a region.
type Term struct {
	Region string `json:"region"`
	// Number is 0 before the first claim and increases by 1 with each claim.
	Number   int64  `json:"number"`
	Holder   Origin `json:"holder"`
	Released bool   `json:"released"`
}

// Held reports whether by holds the term.
func (t Term) Held(by Origin) bool {
	return t.Number > 0 && !t.Released && t.Holder == by
}

// Job is an accepted job.
type Job struct {
	Spec chestnutpond.JobSpec `json:"spec"`
	// State is queued, running, stopping (cancelled while running) or a final state.
	State chestnutpond.JobState `json:"state"`
	// Attempt is the number of the last attempt that was started, 0 if there is none.
	Attempt int64 `json:"attempt"`
	// Placements are those of the last attempt.
	Placements []chestnutpond.Placement `json:"placements,omitempty"`
	Guaranteed bool                     `json:"guaranteed,omitempty"`
	Checkpoint string                   `json:"checkpoint,omitempty"`
	Result     string                   `json:"result,omitempty"`
	Reason     string                   `json:"reason,omitempty"`
	// Accepted is the offset of the AcceptJob record.
	Accepted int64 `json:"accepted"`
	// Ended is the offset of the record that ended the job, 0 if it has not ended.
	Ended int64 `json:"ended,omitempty"`
}

// Intent is the latest use of an idempotency key.
type Intent struct {
	Key    string `json:"key"`
	ID     string `json:"id"`
	Holder Origin `json:"holder"`
	// Closed means that the holder has recorded that the request ended.
	Closed bool  `json:"closed,omitempty"`
	Offset int64 `json:"offset"`
}

// State is the result of applying the records of the log in order. It is not
// safe for concurrent use.
type State struct {
	// next is the offset of the record to apply next.
	next    int64
	configs map[string]Config
	// service is the one whose document was accepted first; empty if none was.
	service      string
	publications map[string]Publication
	// publicationOrder holds the keys of publications, oldest first.
	publicationOrder []string
	terms            map[string]Term
	// evacuations holds the last request for each zone, at most evacuationLimit of them.
	evacuations map[string]Evacuation
	jobs        map[chestnutpond.JobID]*Job
	// endedOrder holds the jobs in a final state, in the order in which they ended.
	endedOrder []chestnutpond.JobID
	intents    map[string]Intent
	// intentOrder refers to all intents, oldest first. An element is stale if its
	// key has no intent or one with another offset.
	intentOrder []intentRef
	// queued and running are the numbers of jobs in these states.
	queued  map[accountRegion]int
	running map[string]int
}

type accountRegion struct{ account, region string }

type intentRef struct {
	key    string
	offset int64
}

// New returns the state before the first record.
func New() *State {
	return &State{
		configs:      make(map[string]Config),
		publications: make(map[string]Publication),
		terms:        make(map[string]Term),
		evacuations:  make(map[string]Evacuation),
		jobs:         make(map[chestnutpond.JobID]*Job),
		intents:      make(map[string]Intent),
		queued:       make(map[accountRegion]int),
		running:      make(map[string]int),
	}
}

// Next returns the offset of the record to apply next.
func (s *State) Next() int64 { return s.next }

// Config returns the current document of a service.
func (s *State) Config(service string) (Config, bool) {
	c, ok := s.configs[service]
	return c, ok
}

// Current returns the document of the deployment's service. A deployment has
// one service: the first that was published.
func (s *State) Current() (Config, bool) {
	c, ok := s.configs[s.service]
	return c, ok
}

// Services returns the names of the services that have a document, sorted.
func (s *State) Services() []string {
	names := make([]string, 0, len(s.configs))
	for name := range s.configs {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Publication returns the outcome of a publication. There is none if the record
// has not been applied, or if the outcome was evicted by 8,192 later ones.
func (s *State) Publication(id string) (Publication, bool) {
	p, ok := s.publications[id]
	return p, ok
}

// Term returns the current term of a region. Its Number is 0 if the region never
// had one.
func (s *State) Term(region string) Term {
	t, ok := s.terms[region]
	if !ok {
		return Term{Region: region}
	}
	return t
}

// Terms returns the current terms, sorted by region name.
func (s *State) Terms() []Term {
	terms := make([]Term, 0, len(s.terms))
	for _, t := range s.terms {
		terms = append(terms, t)
	}
	sort.Slice(terms, func(i, j int) bool { return terms[i].Region < terms[j].Region })
	return terms
}

// Job returns a copy of a job.
func (s *State) Job(id chestnutpond.JobID) (Job, bool) {
	j, ok := s.jobs[id]
	if !ok {
		return Job{}, false
	}
	return *j, true
}

// Jobs returns copies of the jobs for which keep returns true, in order of
// acceptance.
func (s *State) Jobs(keep func(Job) bool) []Job {
	var jobs []Job
	for _, j := range s.jobs {
		if keep(*j) {
			jobs = append(jobs, *j)
		}
	}
	sort.Slice(jobs, func(i, k int) bool { return jobs[i].Accepted < jobs[k].Accepted })
	return jobs
}

// Queued returns the number of queued jobs of an account in a region.
func (s *State) Queued(account, region string) int {
	return s.queued[accountRegion{account, region}]
}

// Running returns the number of running jobs in a region.
func (s *State) Running(region string) int { return s.running[region] }

// addJob adds a job and counts it.
func (s *State) addJob(j *Job) {
	s.jobs[j.Spec.ID] = j
	s.addCount(j, 1)
}

// setState changes the state of a job and updates the counts.
func (s *State) setState(j *Job, state chestnutpond.JobState) {
	s.addCount(j, -1)
	j.State = state
	s.addCount(j, 1)
}

// addCount adds n to the count of the job's state. Counts that reach 0 are
// deleted, so that the maps do not grow with accounts that no longer have jobs.
func (s *State) addCount(j *Job, n int) {
	switch j.State {
	case chestnutpond.JobQueued:
		addTo(s.queued, accountRegion{j.Spec.Account, j.Spec.Region}, n)
	case chestnutpond.JobRunning:
		addTo(s.running, j.Spec.Region, n)
	}
}

func addTo[K comparable](counts map[K]int, key K, n int) {
	counts[key] += n
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// Intent returns the latest use of an idempotency key.
func (s *State) Intent(key string) (Intent, bool) {
	in, ok := s.intents[key]
	return in, ok
}

// IntentsFull reports whether a new intent would evict one that is still open.
func (s *State) IntentsFull() bool {
	if len(s.intents) < intentLimit {
		return false
	}
	oldest := s.intents[s.intentOrder[0].key]
	return oldest.Offset == s.intentOrder[0].offset && !oldest.Closed
}
