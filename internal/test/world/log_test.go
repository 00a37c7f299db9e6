package world

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// logBuffer keeps the logs of a world. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.text.String(), text)
}

// Guards against a refused call that leaves no line in the log, because its entry had
// not read anything yet.
func TestRefusalsOfAnEmptyEntryAreLogged(t *testing.T) {
	logs := &logBuffer{}
	playWith(t, time.Second, func(c *Config) { c.Out = logs }, func(t *testing.T, w *World) {
		e := w.Entries[0]
		e.Kill()
		w.Store.SetDown(chestnutpond.StoreUnavailable)
		e.Start()
		time.Sleep(100 * time.Millisecond)
		_, v := e.Node().Intake().Route(chestnutpond.RouteRequest{Host: "example", Path: "/lots/" + jobID})
		assert.Equal(t, v.Reason, chestnutpond.ReasonNoConfig)
		assert.Assert(t, logs.contains("call refused"))
		v = e.Submit(jobID, tasks(1))
		assert.Equal(t, v.Outcome, chestnutpond.OutcomeNotRun)
		assert.Assert(t, logs.contains("job refused"))
		assert.Assert(t, logs.contains(jobID))
		w.Store.SetDown("")
	})
}
