package ledger

import (
	"errors"

	"github.com/chestnutpond/chestnutpond"
)

// ChangeKind is the kind of change that a record made to the state.
type ChangeKind int

// The kinds of changes.
const (
	// ChangeNone means that the record had no effect or is a snapshot part.
	ChangeNone ChangeKind = iota
	ChangeConfig
	ChangeTerm
	ChangeAccepted
	ChangeStarted
	ChangeStopped
	ChangeEnded
	// ChangeCancelling means that a running job was cancelled and must be stopped.
	ChangeCancelling
	ChangeIntents
	// ChangeEvacuation means that the evacuation of a zone was requested or revoked.
	ChangeEvacuation
)

// Change is the effect of one record.
type Change struct {
	Kind    ChangeKind
	Offset  int64
	By      Origin
	Service string
	Region  string
	Zone    string
	Job     chestnutpond.JobID
	Attempt int64
	// Cancel means that the change was made by a caller's cancellation.
	Cancel bool
}

// Apply applies the record at the state's next offset. On a *FormatError the
// record is skipped permanently. On a *VersionError the state does not advance,
// and no later record can be applied. A record at any other offset is a bug in
// the caller and is rejected.
func (s *State) Apply(rec chestnutpond.Record) (Change, error) {
	if rec.Offset != s.next {
		return Change{}, Error.New("record at offset %d, want offset %d", rec.Offset, s.next)
	}
	by, body, err := Decode(rec)
	var versionErr *VersionError
	if errors.As(err, &versionErr) {
		return Change{}, err
	}
	s.next++
	if err != nil {
		return Change{Offset: rec.Offset}, err
	}
	change := s.applyBody(rec.Offset, by, body)
	change.Offset = rec.Offset
	change.By = by
	return change, nil
}

func (s *State) applyBody(offset int64, by Origin, body Body) Change {
	switch b := body.(type) {
	case Publish:
		return s.publish(b)
	case ClaimTerm:
		return s.claim(by, b)
	case ReleaseTerm:
		return s.release(by, b)
	case AcceptJob:
		return s.accept(offset, b)
	case StartJob:
		return s.start(by, b)
	case StopJob:
		return s.stop(offset, by, b)
	case EndJob:
		return s.end(offset, by, b)
	case CancelJob:
		change := s.cancel(offset, b)
		change.Cancel = change.Kind != ChangeNone
		return change
	case Evacuate:
		return s.evacuate(offset, b)
	case Intents:
		return s.openIntents(offset, by, b)
	case CloseIntents:
		return s.closeIntents(by, b)
	}
	return Change{}
}

func (s *State) publish(b Publish) Change {
	if _, seen := s.publications[b.ID]; seen {
		return Change{}
	}
	current := s.configs[b.Service]
	result := Publication{ID: b.ID, Service: b.Service, Version: current.Version}
	if b.Base == current.Version && (s.service == "" || s.service == b.Service) {
		s.service = b.Service
		result.Accepted = true
		result.Version = current.Version + 1
		s.configs[b.Service] = Config{Service: b.Service, Version: result.Version, Document: b.Document}
	}
	s.publications[b.ID] = result
	s.publicationOrder = append(s.publicationOrder, b.ID)
	if len(s.publicationOrder) > publicationLimit {
		delete(s.publications, s.publicationOrder[0])
		s.publicationOrder = s.publicationOrder[1:]
	}
	if !result.Accepted {
		return Change{}
	}
	return Change{Kind: ChangeConfig, Service: b.Service}
}

func (s *State) claim(by Origin, b ClaimTerm) Change {
	if b.Number != s.terms[b.Region].Number+1 {
		return Change{}
	}
	s.terms[b.Region] = Term{Region: b.Region, Number: b.Number, Holder: by}
	return Change{Kind: ChangeTerm, Region: b.Region}
}

func (s *State) release(by Origin, b ReleaseTerm) Change {
	t := s.terms[b.Region]
	if t.Number != b.Number || !t.Held(by) {
		return Change{}
	}
	t.Released = true
	s.terms[b.Region] = t
	return Change{Kind: ChangeTerm, Region: b.Region}
}

func (s *State) accept(offset int64, b AcceptJob) Change {
	if _, seen := s.jobs[b.Spec.ID]; seen {
		return Change{}
	}
	s.addJob(&Job{Spec: b.Spec, State: chestnutpond.JobQueued, Accepted: offset})
	return Change{Kind: ChangeAccepted, Job: b.Spec.ID, Region: b.Spec.Region}
}

// holdsTerm reports whether region is the region of job j and by holds its term
// with the given number.
func (s *State) holdsTerm(by Origin, j *Job, region string, number int64) bool {
	t := s.terms[region]
	return region == j.Spec.Region && t.Number == number && t.Held(by)
}

func (s *State) start(by Origin, b StartJob) Change {
	j, ok := s.jobs[b.Job]
	if !ok || j.State != chestnutpond.JobQueued || b.Attempt <= j.Attempt {
		return Change{}
	}
	if !s.holdsTerm(by, j, b.Region, b.Term) || s.AnyEvacuated(b.Zones) {
		return Change{}
	}
	s.setState(j, chestnutpond.JobRunning)
	j.Attempt = b.Attempt
	j.Placements = b.Placements
	j.Guaranteed = b.Guaranteed
	j.Reason = ""
	return Change{Kind: ChangeStarted, Job: b.Job, Region: j.Spec.Region, Attempt: b.Attempt}
}

func (s *State) stop(offset int64, by Origin, b StopJob) Change {
	j, ok := s.jobs[b.Job]
	if !ok || b.Attempt != j.Attempt || !s.holdsTerm(by, j, b.Region, b.Term) {
		return Change{}
	}
	if b.Checkpoint != "" {
		j.Checkpoint = b.Checkpoint
	}
	switch j.State {
	case chestnutpond.JobRunning:
		s.setState(j, chestnutpond.JobQueued)
		j.Reason = b.Reason
		return Change{Kind: ChangeStopped, Job: b.Job, Region: j.Spec.Region, Attempt: b.Attempt}
	case chestnutpond.JobStopping:
		return s.finishJob(offset, j, chestnutpond.JobCancelled, "", b.Reason)
	}
	return Change{}
}

func (s *State) end(offset int64, by Origin, b EndJob) Change {
	j, ok := s.jobs[b.Job]
	if !ok || j.State.Final() || !b.State.Final() || b.Attempt != j.Attempt {
		return Change{}
	}
	if !s.holdsTerm(by, j, b.Region, b.Term) {
		return Change{}
	}
	return s.finishJob(offset, j, b.State, b.Result, b.Reason)
}

func (s *State) cancel(offset int64, b CancelJob) Change {
	j, ok := s.jobs[b.Job]
	if !ok {
		return Change{}
	}
	switch j.State {
	case chestnutpond.JobQueued:
		return s.finishJob(offset, j, chestnutpond.JobCancelled, "", "cancelled while waiting")
	case chestnutpond.JobRunning:
		s.setState(j, chestnutpond.JobStopping)
		return Change{Kind: ChangeCancelling, Job: b.Job, Region: j.Spec.Region, Attempt: j.Attempt}
	}
	return Change{}
}

func (s *State) finishJob(offset int64, j *Job, state chestnutpond.JobState, result, reason string) Change {
	s.setState(j, state)
	j.Result = result
	j.Reason = reason
	j.Ended = offset
	j.Spec.Payload = nil
	s.endedOrder = append(s.endedOrder, j.Spec.ID)
	if len(s.endedOrder) > endedJobLimit {
		delete(s.jobs, s.endedOrder[0])
		s.endedOrder = s.endedOrder[1:]
	}
	return Change{Kind: ChangeEnded, Job: j.Spec.ID, Region: j.Spec.Region, Attempt: j.Attempt}
}

func (s *State) openIntents(offset int64, by Origin, b Intents) Change {
	for _, id := range b.Intents {
		if _, taken := s.intents[id.Key]; taken {
			continue
		}
		s.intents[id.Key] = Intent{Key: id.Key, ID: id.ID, Holder: by, Offset: offset}
		s.intentOrder = append(s.intentOrder, intentRef{key: id.Key, offset: offset})
	}
	s.evictIntents()
	return Change{Kind: ChangeIntents}
}

func (s *State) closeIntents(by Origin, b CloseIntents) Change {
	for _, c := range b.Closed {
		in, ok := s.intents[c.Key]
		if !ok || in.ID != c.ID || in.Holder != by || in.Closed {
			continue
		}
		if c.NotRun {
			delete(s.intents, c.Key)
			continue
		}
		in.Closed = true
		s.intents[c.Key] = in
	}
	return Change{Kind: ChangeIntents}
}

// evictIntents evicts the oldest intents beyond intentLimit and removes stale
// elements from the front of intentOrder.
func (s *State) evictIntents() {
	if len(s.intentOrder) > 2*intentLimit {
		s.compactIntents()
	}
	for len(s.intentOrder) > 0 {
		oldest := s.intentOrder[0]
		in, ok := s.intents[oldest.key]
		stale := !ok || in.Offset != oldest.offset
		if !stale && len(s.intents) <= intentLimit {
			return
		}
		if !stale {
			delete(s.intents, oldest.key)
		}
		s.intentOrder = s.intentOrder[1:]
	}
}

// compactIntents removes all stale elements of intentOrder.
func (s *State) compactIntents() {
	kept := make([]intentRef, 0, len(s.intents))
	for _, ref := range s.intentOrder {
		if in, ok := s.intents[ref.key]; ok && in.Offset == ref.offset {
			kept = append(kept, ref)
		}
	}
	s.intentOrder = kept
}
