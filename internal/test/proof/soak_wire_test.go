package proof

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/test/stand"
)

// keyedTopics are the topics by the names that the platform's store knows them
// under.
var keyedTopics = map[string]chestnutpond.Topic{
	"keyed.work": chestnutpond.TopicWork, "keyed.entries": chestnutpond.TopicEntries,
	"keyed.op": chestnutpond.TopicDesired, "keyed.status": chestnutpond.TopicStatus,
}

// storeWire serves one process's way to a store over the platform's protocol.
type storeWire struct {
	way *stand.StoreCaller
}

func (s *storeWire) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.newest)
	return mux
}

// fail answers a call that the store did not take. A call in doubt gets no answer:
// its connection breaks.
func (s *storeWire) fail(w http.ResponseWriter, err error) {
	var trimmed *chestnutpond.TrimmedError
	if errors.As(err, &trimmed) {
		answer(w, http.StatusGone, map[string]any{"first": trimmed.First})
		return
	}
	var failed *chestnutpond.StoreError
	if !errors.As(err, &failed) {
		panic(http.ErrAbortHandler)
	}
	switch failed.Fault {
	case chestnutpond.StoreUnavailable:
		answer(w, http.StatusServiceUnavailable, map[string]any{})
	case chestnutpond.StoreLimited:
		answer(w, http.StatusTooManyRequests, map[string]any{})
	case chestnutpond.StoreEndMismatch:
		answer(w, http.StatusPreconditionFailed, map[string]any{"end": failed.End})
	case chestnutpond.StoreFenced:
		answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
	case chestnutpond.StoreSequence:
		answer(w, http.StatusConflict, map[string]any{"reason": "seq"})
	default:
		panic(http.ErrAbortHandler)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have gone.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *storeWire) append(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a := chestnutpond.KeyedAppend{Records: decodeKeyed(data)}
	if at := query.Get("at"); at != "" {
		a.CheckEnd = true
		a.ExpectedEnd, _ = strconv.ParseInt(at, 10, 64)
	}
	if name := query.Get("producer"); name != "" {
		a.Producer = &chestnutpond.Producer{Name: name}
		a.Producer.Epoch, _ = strconv.ParseInt(query.Get("epoch"), 10, 64)
		a.Producer.Sequence, _ = strconv.ParseInt(query.Get("seq"), 10, 64)
	}
	offset, err := s.way.Append(r.Context(), keyedTopics[query.Get("topic")], a)
	if err != nil {
		s.fail(w, err)
		return
	}
	answer(w, http.StatusOK, map[string]any{"offset": offset, "end": offset + int64(len(a.Records))})
}

// decodeKeyed reads records in the form in which they are appended.
func decodeKeyed(data []byte) []chestnutpond.KeyedRecord {
	var records []chestnutpond.KeyedRecord
	for len(data) > 4 {
		size := binary.BigEndian.Uint32(data)
		content := data[4 : 4+size]
		data = data[4+size:]
		key := 1 + int(content[0])
		records = append(records, chestnutpond.KeyedRecord{Key: string(content[1:key]), Value: bytes.Clone(content[key:])})
	}
	return records
}

func (s *storeWire) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	batch, err := s.way.Read(r.Context(), keyedTopics[query.Get("topic")], from, time.Duration(wait)*time.Millisecond)
	if err != nil {
		s.fail(w, err)
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(batch.End))
	body = binary.BigEndian.AppendUint64(body, uint64(batch.First))
	for _, record := range batch.Records {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.Key)+len(record.Value)))
		body = append(body, byte(len(record.Key)))
		body = append(append(body, record.Key...), record.Value...)
	}
	// The caller may have gone.
	_, _ = w.Write(body)
}

func (s *storeWire) newest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	page, err := s.way.Newest(r.Context(), keyedTopics[query.Get("topic")], query.Get("after"))
	if err != nil {
		s.fail(w, err)
		return
	}
	items := []map[string]any{}
	for _, record := range page.Records {
		items = append(items, map[string]any{"key": record.Key, "value": record.Value, "offset": record.Offset})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": page.More, "end": page.End})
}

// workerWire serves a worker over the platform's protocol and reports it to the
// agent beside it.
type workerWire struct {
	worker *stand.TaskWorker
	// agent is the address for the worker's reports.
	agent string
}

// runBody is the body of an order.
type runBody struct {
	Task, Spec     string
	Run, Fence     int64
	DeadlineMs     int64  `json:"deadline_ms"`
	LastCheckpoint string `json:"last_checkpoint"`
	AckCursor      int64  `json:"ack_cursor"`
	WaitMs         int64  `json:"wait_ms"`
}

func (s *workerWire) handler() http.Handler {
	mux := http.NewServeMux()
	for path, carry := range map[string]func(ctx context.Context, worker string, b runBody) (any, error){
		"POST /v1/run-start": s.start, "POST /v1/run-stop": s.stop, "POST /v1/hold": s.hold,
	} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			var body runBody
			if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
				panic(http.ErrAbortHandler)
			}
			got, err := carry(r.Context(), r.Header.Get("X-Expect-Instance"), body)
			var refused *chestnutpond.RefusedError
			switch {
			case err == nil:
				answer(w, http.StatusOK, got)
			case !errors.As(err, &refused):
				panic(http.ErrAbortHandler)
			case refused.Refusal == chestnutpond.RefusedIncarnation:
				answer(w, http.StatusMisdirectedRequest, map[string]any{})
			case refused.Refusal == chestnutpond.RefusedUnhealthy:
				answer(w, http.StatusServiceUnavailable, map[string]any{})
			default:
				answer(w, http.StatusConflict, map[string]any{"reason": refused.Refusal, "clock_ms": refused.Clock.Milliseconds()})
			}
		})
	}
	return mux
}

func clockBody(clock time.Duration, err error) (any, error) {
	return map[string]any{"clock_ms": clock.Milliseconds()}, err
}

func (s *workerWire) start(ctx context.Context, worker string, b runBody) (any, error) {
	ref, err := chestnutpond.ParseTaskRef(b.Task)
	if err != nil {
		return nil, err
	}
	return clockBody(s.worker.Start(ctx, chestnutpond.StartOrder{
		Task: ref, Run: b.Run, Payload: b.Spec, Checkpoint: b.LastCheckpoint,
		Until: time.Duration(b.DeadlineMs) * time.Millisecond, Fence: b.Fence, Worker: worker,
	}))
}

func (s *workerWire) stop(ctx context.Context, worker string, b runBody) (any, error) {
	ref, err := chestnutpond.ParseTaskRef(b.Task)
	if err != nil {
		return nil, err
	}
	return clockBody(s.worker.Stop(ctx, chestnutpond.StopOrder{Task: ref, Run: b.Run, Fence: b.Fence, Worker: worker}))
}

func (s *workerWire) hold(ctx context.Context, worker string, b runBody) (any, error) {
	l, err := s.worker.Renew(ctx, chestnutpond.RenewOrder{
		Until: time.Duration(b.DeadlineMs) * time.Millisecond, Fence: b.Fence, Acknowledged: b.AckCursor,
		Wait: time.Duration(b.WaitMs) * time.Millisecond, Worker: worker,
	})
	if err != nil {
		return nil, err
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range l.Running {
		running = append(running, []any{r.Task.String(), r.Run, r.Checkpoint, r.Percent, r.Load})
	}
	for _, e := range l.Ended {
		ended = append(ended, []any{e.Sequence, e.Task.String(), e.Run, e.Ending, e.Checkpoint})
	}
	return map[string]any{"clock_ms": l.Clock.Milliseconds(), "born": l.StartedMs, "running": running, "ended": ended}, nil
}

// loop reports the worker to its agent until the context ends.
func (s *workerWire) loop(ctx context.Context) {
	for ctx.Err() == nil {
		s.report(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (s *workerWire) report(ctx context.Context) {
	info := s.worker.Info()
	body, err := json.Marshal(map[string]any{
		"service": info.Service, "address": "127.0.0.1:1", "zone": info.Zone, "version": "v1", "slots": 8,
		"state": info.State, "capacity": map[string]int64{
			"cpu": int64(info.Capacity.CPU), "mem_mb": int64(info.Capacity.Memory), "gpu": info.Capacity.Accelerators,
		},
		"labels": info.Labels, "seq": info.Sequence, "born": info.StartedMs,
	})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/instances/%s/heartbeat", s.agent, info.ID)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if resp, err := direct.Do(request); err == nil {
		_ = resp.Body.Close()
	}
}

// serveWire serves a handler on a free port of an address until the test ends,
// and returns its address.
func serveWire(t *testing.T, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := httptest.NewUnstartedServer(handler)
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return listener.Addr().String()
}
