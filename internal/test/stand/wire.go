package stand

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Class is the class of the errors of this package.
var Class = errs.Class("stand-in")

// maxBody bounds the bodies that a stand-in takes, in bytes.
const maxBody = 16 << 20

// Duration is a time.Duration whose JSON form is a string such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

type errorAnswer struct {
	Error string `json:"error"`
}

// readJSON decodes a whole body into out; fields that the body does not name
// keep their values.
func readJSON(r *http.Request, out any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	decoder.DisallowUnknownFields()
	return Class.Wrap(decoder.Decode(out))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, errorAnswer{Error: err.Error()})
}

// cutOff closes the connection of the current handler without an answer.
func cutOff() { panic(http.ErrAbortHandler) }

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
