package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// recordBytes and callBytes are the limits that the settings state.
	recordBytes = 262144
	callBytes   = 2097152
	// appendTime is how long one append takes.
	appendTime = 4 * time.Millisecond
	// keptAnswers is the number of appends of a producer that may be repeated.
	keptAnswers = 5
	// pageItems and pageBytes bound a page of newest records.
	pageItems = 500
	pageBytes = 1 << 20
)

// store is a stand-in of the platform's store: a log of keyed topics with one
// partition each.
type store struct {
	rec *record

	mu     sync.Mutex
	topics map[string]*topic
	// down makes every call fail with 503, which means that nothing was done.
	down bool
	// late is how much later the appends of records of clients are carried out, without
	// an answer; 0 means at once, with one.
	late time.Duration
}

type topic struct {
	// appending is held while an append takes its time.
	appending sync.Mutex
	records   [][]byte
	newest    map[string]newestRecord
	producers map[string]*producer
	changed   chan struct{}
}

type newestRecord struct {
	value  []byte
	offset int64
}

type producer struct {
	epoch, sequence int64
	answers         []answer
}

type answer struct{ sequence, offset, end int64 }

func newStore(rec *record) *store { return &store{rec: rec, topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]newestRecord{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// setDown begins or ends an outage for all callers.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	s.rec.line("store: down=%v", down)
}

// publish writes a record as the operator does.
func (s *store) publish(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := append([]byte{byte(len(key))}, key...)
	s.add(s.topic(name), [][]byte{append(content, value...)})
}

// newestValue returns the newest value of a key.
func (s *store) newestValue(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).newest[key].value
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.page)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// split returns the records of a body, or false if a limit is exceeded.
func split(body []byte) ([][]byte, bool) {
	var all [][]byte
	if len(body) > callBytes {
		return nil, false
	}
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 || size > recordBytes {
			return nil, false
		}
		all = append(all, body[4:4+size])
		body = body[4+size:]
	}
	return all, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	records, ok := split(body)
	if !ok {
		s.rec.line("store: append of %d bytes by %q epoch %s refused: a record or the call exceeds its limit", len(body), q.Get("producer"), q.Get("epoch"))
		writeJSON(w, http.StatusRequestEntityTooLarge, map[string]string{"reason": "size"})
		return
	}
	s.mu.Lock()
	t, late := s.topic(q.Get("topic")), s.late
	s.mu.Unlock()
	if late > 0 && q.Get("topic") == "keyed.work" && q.Get("producer") == "" {
		s.appendLate(t, records, late)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	status, reply := s.admit(t, q.Get("producer"), number(q.Get("epoch")), number(q.Get("seq")), q.Get("at"), records)
	writeJSON(w, status, reply)
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// setLate begins or ends a time in which appends of clients' records get no answer and are
// carried out later.
func (s *store) setLate(late time.Duration) {
	s.mu.Lock()
	s.late = late
	s.mu.Unlock()
	s.rec.line("store: appends of clients' records are carried out %s later", late)
}

// appendLate carries out an append later. Its caller hears nothing.
func (s *store) appendLate(t *topic, records [][]byte, late time.Duration) {
	s.rec.line("store: append of %d records gets no answer", len(records))
	time.AfterFunc(late, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.add(t, records)
		s.rec.line("store: append of %d records is carried out %s late", len(records), late)
	})
}

// admit checks the conditions of an append and stores its records. The lock is held.
func (s *store) admit(t *topic, name string, epoch, sequence int64, at string, records [][]byte) (int, any) {
	p := t.producers[name]
	if name != "" && p != nil {
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case epoch == p.epoch:
			for _, a := range p.answers {
				if a.sequence == sequence {
					return http.StatusOK, map[string]any{"offset": a.offset, "end": a.end}
				}
			}
			if sequence != p.sequence+1 {
				return http.StatusConflict, map[string]any{"reason": "seq", "expected": p.sequence + 1}
			}
		}
	}
	end := int64(len(t.records))
	if at != "" && number(at) != end {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	s.add(t, records)
	a := answer{sequence, end, int64(len(t.records))}
	if name != "" {
		if p == nil || epoch > p.epoch {
			p = &producer{epoch: epoch}
			t.producers[name] = p
		}
		p.sequence = sequence
		p.answers = append(p.answers, a)
		p.answers = p.answers[max(0, len(p.answers)-keptAnswers):]
	}
	return http.StatusOK, map[string]any{"offset": a.offset, "end": a.end}
}

// add stores records. The lock is held.
func (s *store) add(t *topic, records [][]byte) {
	for _, content := range records {
		offset := int64(len(t.records))
		t.records = append(t.records, slices.Clone(content))
		if len(content) == 0 || 1+int(content[0]) > len(content) {
			continue
		}
		key, value := string(content[1:1+int(content[0])]), content[1+int(content[0]):]
		if len(value) == 0 {
			delete(t.newest, key)
			continue
		}
		t.newest[key] = newestRecord{slices.Clone(value), offset}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := number(q.Get("from"))
	limit := int64(1024)
	if kb := number(q.Get("max_kb")); kb > 0 {
		limit = kb
	}
	deadline := time.After(time.Duration(number(q.Get("wait_ms"))) * time.Millisecond)
	for waiting := q.Get("wait_ms") != ""; ; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		changed := t.changed
		if int64(len(t.records)) > from || !waiting {
			body := encodeRead(t, from, limit<<10)
			s.mu.Unlock()
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRead returns the body of a read. The lock is held.
func encodeRead(t *topic, from, limit int64) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for offset := from; offset < int64(len(t.records)); offset++ {
		content := t.records[offset]
		if int64(len(body)+4+len(content)) > limit && offset > from {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(content)))
		body = append(body, content...)
	}
	return body
}

func (s *store) page(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		n := t.newest[key]
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		size += len(n.value)
		items = append(items, map[string]any{"key": key, "value": n.value, "offset": n.offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(t.records)})
}
