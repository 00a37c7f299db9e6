package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is the platform's metadata store with keyed topics of one partition each.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{}
	// appendDelay is how long an append takes.
	appendDelay time.Duration
	// turn serves appends one at a time.
	turn sync.Mutex
}

type topic struct {
	records   [][]byte
	keys      []string
	newest    map[string]int
	producers map[string]*producer
}

// producer is the state of a producer: its epoch, its newest sequence number and the answers to
// its last appends.
type producer struct {
	epoch, seq int64
	answers    map[int64]int64
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, appended: make(chan struct{}), appendDelay: 4 * time.Millisecond}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// handler returns the interface of the store.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.readNewest)
	return mux
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// put appends a record by itself, as the operator does.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(topicName), append(append([]byte{byte(len(key))}, key...), value...))
	s.wake()
}

// add appends a record. The lock is held.
func (s *store) add(t *topic, content []byte) {
	key, value := splitRecord(content)
	offset := len(t.records)
	t.records, t.keys = append(t.records, content), append(t.keys, key)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = offset
	}
}

func splitRecord(content []byte) (string, []byte) {
	if len(content) == 0 || 1+int(content[0]) > len(content) {
		return "", nil
	}
	end := 1 + int(content[0])
	return string(content[1:end]), content[end:]
}

// wake answers the reads that wait. The lock is held.
func (s *store) wake() {
	close(s.appended)
	s.appended = make(chan struct{})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.turn.Lock()
	time.Sleep(s.appendDelay)
	status, reply := s.store(r.URL.Query().Get, body)
	s.turn.Unlock()
	answer(w, status, reply)
}

func (s *store) store(query func(string) string, body []byte) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query("topic"))
	end := int64(len(t.records))
	var p *producer
	seq, _ := strconv.ParseInt(query("seq"), 10, 64)
	if name := query("producer"); name != "" {
		epoch, _ := strconv.ParseInt(query("epoch"), 10, 64)
		p = t.producers[name]
		if p == nil {
			p = &producer{epoch: -1}
			t.producers[name] = p
		}
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case epoch > p.epoch:
			if at := query("at"); at != "" && at != strconv.FormatInt(end, 10) {
				return http.StatusPreconditionFailed, map[string]any{"end": end}
			}
			*p = producer{epoch: epoch, seq: seq - 1, answers: map[int64]int64{}}
		default:
			if offset, ok := p.answers[seq]; ok {
				return http.StatusOK, map[string]any{"offset": offset, "end": end}
			}
			if seq != p.seq+1 {
				return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1}
			}
		}
	}
	if at := query("at"); at != "" && at != strconv.FormatInt(end, 10) {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	if !withinLimits(body) {
		return http.StatusBadRequest, map[string]any{}
	}
	for len(body) >= 4 {
		size := binary.BigEndian.Uint32(body)
		s.add(t, slices.Clone(body[4:4+size]))
		body = body[4+size:]
	}
	if p != nil {
		p.seq = seq
		p.answers[seq] = end
		delete(p.answers, seq-5)
	}
	s.wake()
	return http.StatusOK, map[string]any{"offset": end, "end": len(t.records)}
}

// recordBytes and callBytes bound a record and the records of a call.
const recordBytes, callBytes = 262144, 2097152

// withinLimits reports whether all records of a call are complete and not too large.
func withinLimits(body []byte) bool {
	if len(body) > callBytes {
		return false
	}
	for len(body) > 0 {
		if len(body) < 4 {
			return false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size > recordBytes || size > len(body)-4 {
			return false
		}
		body = body[4+size:]
	}
	return true
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	waiting := wait > 0
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		records := t.records[min(max(from, 0), len(t.records)):]
		out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		changed := s.appended
		s.mu.Unlock()
		if len(records) == 0 && waiting {
			select {
			case <-r.Context().Done():
				return
			case <-timer.C:
				waiting = false
			case <-changed:
			}
			continue
		}
		for _, content := range records {
			if len(out) > 1<<20 {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(len(content)))
			out = append(out, content...)
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(out)))
		_, _ = w.Write(out)
		return
	}
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
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
	more := len(keys) > 500
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), 500)] {
		_, value := splitRecord(t.records[t.newest[key]])
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": t.newest[key],
		})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(t.records)})
}
