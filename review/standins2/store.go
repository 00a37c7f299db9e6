package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// appendTime is how long the store takes for an append.
const appendTime = 4 * time.Millisecond

// maxPage is the number of newest records on a page.
const maxPage = 500

// store is a stand-in of the platform's store with keyed topics of one partition. It keeps
// everything and loses nothing.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// appended is closed and replaced with each append.
	appended chan struct{}
	// slow is how much longer than usual the store takes for an answer.
	slow time.Duration
}

type topic struct {
	// records are the raw records without their length.
	records [][]byte
	// newest has the offset of the newest record of each key that has a value.
	newest map[string]int64
	// producers has the state of each producer.
	producers map[string]*producer
}

// producer is the newest epoch of a producer, with the offsets of its last appends.
type producer struct {
	epoch, seq int64
	answers    map[int64]int64
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, appended: make(chan struct{})}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.slowed(s.handleAppend))
	mux.HandleFunc("GET /v1/log-read", s.slowed(s.handleRead))
	mux.HandleFunc("GET /v1/log-newest", s.slowed(s.handleNewest))
	return mux
}

// slowed delays the answers of a handler while the store is slow.
func (s *store) slowed(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		slow := s.slow
		s.mu.Unlock()
		time.Sleep(slow)
		handle(w, r)
	}
}

// setSlow has the store take longer for each answer; zero ends that.
func (s *store) setSlow(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = by
}

// topic returns a topic, which is created on first use. The lock is held.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// put appends one record as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(name), [][]byte{slices.Concat([]byte{byte(len(key))}, []byte(key), value)})
}

// add appends records and returns the offset of the first. The lock is held.
func (s *store) add(t *topic, records [][]byte) int64 {
	first := int64(len(t.records))
	for _, r := range records {
		if key, value, ok := split(r); ok {
			t.newest[key] = int64(len(t.records))
			if len(value) == 0 {
				delete(t.newest, key)
			}
		}
		t.records = append(t.records, r)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// split returns the key and the value of a raw record.
func split(r []byte) (string, []byte, bool) {
	if len(r) == 0 || 1+int(r[0]) > len(r) {
		return "", nil, false
	}
	return string(r[1 : 1+int(r[0])]), r[1+int(r[0]):], true
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := parse(body)
	if !ok {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	time.Sleep(appendTime)
	q := r.URL.Query()
	t := s.topic(q.Get("topic"))
	end := int64(len(t.records))
	epoch, seq := number(q.Get("epoch")), number(q.Get("seq"))
	p := t.producers[q.Get("producer")]
	if q.Has("producer") && p != nil {
		switch offset, repeated := p.answers[seq]; {
		case epoch < p.epoch:
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch == p.epoch && repeated:
			answer(w, http.StatusOK, map[string]any{"offset": offset, "end": offset + int64(len(records))})
			return
		case epoch == p.epoch && seq != p.seq+1:
			answer(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1})
			return
		}
	}
	if q.Has("at") && number(q.Get("at")) != end {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	offset := s.add(t, records)
	if q.Has("producer") {
		t.accepted(q.Get("producer"), epoch, seq, offset)
	}
	answer(w, http.StatusOK, map[string]any{"offset": offset, "end": int64(len(t.records))})
}

// accepted records an append of a producer; the answers of the last five are kept.
func (t *topic) accepted(name string, epoch, seq, offset int64) {
	p := t.producers[name]
	if p == nil || p.epoch < epoch {
		p = &producer{epoch: epoch, answers: map[int64]int64{}}
		t.producers[name] = p
	}
	p.seq = seq
	p.answers[seq] = offset
	delete(p.answers, seq-5)
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := number(q.Get("from"))
	timeout := time.After(time.Duration(number(q.Get("wait_ms"))) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end := int64(len(t.records))
		body := binary.BigEndian.AppendUint64(nil, uint64(end))
		body = binary.BigEndian.AppendUint64(body, 0)
		for i := from; i >= 0 && i < end; i++ {
			body = binary.BigEndian.AppendUint32(body, uint32(len(t.records[i])))
			body = append(body, t.records[i]...)
		}
		appended := s.appended
		s.mu.Unlock()
		wait := from >= end
		if wait {
			select {
			case <-appended:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		// A reader that has gone away needs no answer.
		_, _ = w.Write(body)
		return
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > maxPage
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), maxPage)] {
		offset := t.newest[key]
		_, value, _ := split(t.records[offset])
		items = append(items, map[string]any{"key": key, "value": value, "offset": offset})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(t.records)})
}

// parse splits the body of an append into its records.
func parse(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 {
			return nil, false
		}
		records = append(records, body[4:4+size])
		body = body[4+size:]
	}
	return records, true
}

func number(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// answer writes a JSON body with its length.
func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// A caller that has gone away needs no answer.
	_, _ = w.Write(data)
}
