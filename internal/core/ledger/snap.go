package ledger

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sort"

	"github.com/chestnutpond/chestnutpond"
)

const (
	// snapshotPartSize is the maximum size of the data of one snapshot record, in
	// bytes.
	snapshotPartSize = 48 << 10
	// snapshotMaxSize is the maximum size of an uncompressed snapshot, in bytes.
	snapshotMaxSize = 256 << 20
)

// image is the content of a State in the form that snapshots serialize.
type image struct {
	Version      int           `json:"version"`
	Next         int64         `json:"next"`
	Configs      []Config      `json:"configs"`
	Publications []Publication `json:"publications"`
	Terms        []Term        `json:"terms"`
	// Jobs are in order of acceptance.
	Jobs []Job `json:"jobs"`
	// Intents are in order of offset.
	Intents []Intent `json:"intents"`
	// Evacuations are in order of zone names.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
}

// Image is a point-in-time copy of a State.
type Image struct {
	image image
}

// Capture returns a copy of the state that later records do not change. It can
// be packed without holding the lock that guards the state: packing takes most
// of a second when all limits of the state are reached.
func (s *State) Capture() *Image {
	img := image{Version: recordVersion, Next: s.next, Terms: s.Terms()}
	for _, name := range s.Services() {
		img.Configs = append(img.Configs, s.configs[name])
	}
	for _, id := range s.publicationOrder {
		img.Publications = append(img.Publications, s.publications[id])
	}
	img.Jobs = s.Jobs(func(Job) bool { return true })
	for _, ref := range s.intentOrder {
		if in, ok := s.intents[ref.key]; ok && in.Offset == ref.offset {
			img.Intents = append(img.Intents, in)
		}
	}
	if img.Evacuations = s.Evacuations(); len(img.Evacuations) > 0 {
		img.Version = evacuationVersion
	}
	return &Image{image: img}
}

// Next returns the offset of the first record that the image does not cover.
func (i *Image) Next() int64 { return i.image.Next }

// Pack returns the image as a snapshot: gzip-compressed JSON.
func (i *Image) Pack() ([]byte, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if err := json.NewEncoder(w).Encode(i.image); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return buf.Bytes(), nil
}

// Snapshot returns a snapshot of the state.
func (s *State) Snapshot() ([]byte, error) { return s.Capture().Pack() }

// Restore returns the state that a snapshot holds.
func Restore(data []byte) (*State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var img image
	if err := json.NewDecoder(io.LimitReader(r, snapshotMaxSize)).Decode(&img); err != nil {
		return nil, Error.Wrap(err)
	}
	if img.Version > evacuationVersion {
		return nil, &VersionError{Offset: img.Next, Version: img.Version}
	}
	s := New()
	s.next = img.Next
	s.load(img)
	return s, nil
}

func (s *State) load(img image) {
	for _, c := range img.Configs {
		s.configs[c.Service] = c
		s.service = c.Service
	}
	for _, p := range img.Publications {
		s.publications[p.ID] = p
		s.publicationOrder = append(s.publicationOrder, p.ID)
	}
	for _, t := range img.Terms {
		s.terms[t.Region] = t
	}
	for _, e := range img.Evacuations {
		s.evacuations[e.Zone] = e
	}
	var ended []Job
	for _, j := range img.Jobs {
		s.addJob(&j)
		if j.State.Final() {
			ended = append(ended, j)
		}
	}
	sort.SliceStable(ended, func(i, k int) bool { return ended[i].Ended < ended[k].Ended })
	for _, j := range ended {
		s.endedOrder = append(s.endedOrder, j.Spec.ID)
	}
	for _, in := range img.Intents {
		s.intents[in.Key] = in
		s.intentOrder = append(s.intentOrder, intentRef{key: in.Key, offset: in.Offset})
	}
}

// Parts splits a snapshot into record bodies. The snapshot covers the records
// before offset next.
func Parts(id string, next int64, data []byte) []SnapshotPart {
	count := (len(data) + snapshotPartSize - 1) / snapshotPartSize
	parts := make([]SnapshotPart, 0, count)
	for i := range count {
		end := min((i+1)*snapshotPartSize, len(data))
		parts = append(parts, SnapshotPart{
			ID: id, Part: i, Parts: count, Next: next, Data: data[i*snapshotPartSize : end],
		})
	}
	return parts
}

// Assembler collects snapshot parts from the retained records of the log and
// keeps the newest complete snapshot.
type Assembler struct {
	// incomplete holds the parts read so far, by snapshot ID and part number. A
	// duplicate part replaces an equal one.
	incomplete map[string]map[int][]byte
	newest     []byte
	// next is the Next of the newest snapshot, -1 if there is none.
	next int64
}

// NewAssembler returns an assembler without parts.
func NewAssembler() *Assembler {
	return &Assembler{incomplete: make(map[string]map[int][]byte), next: -1}
}

// Add adds the snapshot part that rec holds. Other records are ignored.
func (a *Assembler) Add(rec chestnutpond.Record) {
	_, body, err := Decode(rec)
	if err != nil {
		return
	}
	part, ok := body.(SnapshotPart)
	if !ok || part.Parts <= 0 || part.Part < 0 || part.Part >= part.Parts || part.Next <= a.next {
		return
	}
	parts := a.incomplete[part.ID]
	if parts == nil {
		parts = make(map[int][]byte)
		a.incomplete[part.ID] = parts
	}
	parts[part.Part] = part.Data
	if len(parts) < part.Parts {
		return
	}
	var data []byte
	for i := range part.Parts {
		data = append(data, parts[i]...)
	}
	delete(a.incomplete, part.ID)
	a.newest = data
	a.next = part.Next
}

// Newest returns the newest complete snapshot and the offset that follows it.
func (a *Assembler) Newest() (data []byte, next int64, ok bool) {
	return a.newest, a.next, a.next >= 0
}
