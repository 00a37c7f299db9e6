package stand

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

type offsetAnswer struct {
	Offset int64 `json:"offset"`
}

type batchAnswer struct {
	Records []recordAnswer `json:"records"`
	First   int64          `json:"first"`
	Next    int64          `json:"next"`
}

type recordAnswer struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

type trimmedAnswer struct {
	Error string `json:"error"`
	First int64  `json:"first"`
}

// Handler returns the log service with this one stream.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", l.serveRead)
	mux.HandleFunc("POST /control", l.serveControl)
	return mux
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	if !l.known(w, r) {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	offset, err := l.Append(r.Context(), data)
	var failed *chestnutpond.AppendError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, offsetAnswer{Offset: offset})
	case errors.As(err, &failed) && failed.Limited:
		writeError(w, http.StatusTooManyRequests, err)
	case errors.As(err, &failed) && !failed.Ambiguous:
		writeError(w, http.StatusServiceUnavailable, err)
	default:
		cutOff()
	}
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	if !l.known(w, r) {
		return
	}
	query := r.URL.Query()
	from, err1 := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(query.Get("limit"))
	var wait time.Duration
	var err3 error
	if text := query.Get("wait"); text != "" {
		wait, err3 = time.ParseDuration(text)
	}
	if err := errors.Join(err1, err2, err3); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	batch, err := l.Read(r.Context(), from, limit, wait)
	var trimmed *chestnutpond.TrimmedError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, encodeBatch(batch))
	case errors.As(err, &trimmed):
		writeJSON(w, http.StatusGone, trimmedAnswer{Error: err.Error(), First: trimmed.First})
	default:
		writeError(w, http.StatusServiceUnavailable, err)
	}
}

func (l *Log) serveControl(w http.ResponseWriter, r *http.Request) {
	faults := l.Faults()
	if err := readJSON(r, &faults); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	l.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}

func (l *Log) known(w http.ResponseWriter, r *http.Request) bool {
	if stream := r.PathValue("stream"); stream != l.stream {
		writeError(w, http.StatusNotFound, Class.New("no stream %q", stream))
		return false
	}
	return true
}

func encodeBatch(batch chestnutpond.Batch) batchAnswer {
	answer := batchAnswer{Records: []recordAnswer{}, First: batch.First, Next: batch.Next}
	for _, r := range batch.Records {
		answer.Records = append(answer.Records, recordAnswer{Offset: r.Offset, Data: r.Data})
	}
	return answer
}
