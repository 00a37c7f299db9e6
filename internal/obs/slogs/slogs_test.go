package slogs

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// lockedBuffer is a buffer that window timers may write while a test reads it.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Guards against secrets in the log, whether they are in a line's attributes, a
// logger's attributes or a group.
func TestSecretsAreRedacted(t *testing.T) {
	const value = "s3cr3t"
	tests := map[string]func(*slog.Logger){
		"token":            func(l *slog.Logger) { l.Info("m", "token", value) },
		"secret":           func(l *slog.Logger) { l.Info("m", "secret", value) },
		"authorization":    func(l *slog.Logger) { l.Info("m", "Authorization", "Bearer "+value) },
		"key":              func(l *slog.Logger) { l.Info("m", "KEY", value) },
		"with":             func(l *slog.Logger) { l.With("token", value).Info("m") },
		"in a group":       func(l *slog.Logger) { l.Info("m", slog.Group("request", "token", value)) },
		"group of secrets": func(l *slog.Logger) { l.Info("m", slog.Group("token", "account", value)) },
		"with group":       func(l *slog.Logger) { l.WithGroup("secret").Info("m", "account", value) },
	}
	for name, log := range tests {
		for _, format := range []string{FormatJSON, FormatText} {
			t.Run(name+" "+format, func(t *testing.T) {
				var out bytes.Buffer
				l := New(Config{Out: &out, Format: format})
				log(l.Logger("entry"))
				l.Flush()
				assert.Assert(t, !strings.Contains(out.String(), value), out.String())
				assert.Assert(t, strings.Contains(out.String(), Redacted), out.String())
			})
		}
	}
}

// Guards against lines such as "entry: entry: started".
func TestPrefixIsNotRepeated(t *testing.T) {
	tests := map[string]struct{ message, want string }{
		"without": {"started", "entry: started"},
		"with":    {"entry: started", "entry: started"},
		"other":   {"sched: started", "entry: sched: started"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			l := New(Config{Out: &out})
			l.Logger("entry").Info(tt.message)
			l.Flush()
			assert.Assert(t, strings.HasSuffix(out.String(), `msg="`+tt.want+`"`+"\n"), out.String())
		})
	}
}

func TestFormats(t *testing.T) {
	tests := map[string]struct{ format, want string }{
		"json": {FormatJSON, `"level":"WARN","msg":"agent: lease lapsed","job":"j1","age":"1.5s"}`},
		"text": {FormatText, `level=WARN msg="agent: lease lapsed" job=j1 age=1.5s`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			l := New(Config{Out: &out, Format: tt.format, Level: slog.LevelWarn})
			l.Logger("agent").Info("not written")
			l.Logger("agent").Warn("lease lapsed", "job", "j1", "age", 1500*time.Millisecond)
			l.Flush()
			assert.Assert(t, strings.HasSuffix(out.String(), tt.want+"\n"), out.String())
			assert.Equal(t, strings.Count(out.String(), "\n"), 1)
		})
	}
}

// Guards against a repeated failure that floods the log, and against suppressed
// lines that are not reported.
func TestRepeatedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out lockedBuffer
		l := New(Config{Out: &out})
		logger := l.Logger("entry")
		for i := range 12 {
			logger.Error("append failed", "try", i)
		}
		logger.Error("another message")
		assert.Equal(t, strings.Count(out.String(), "\n"), RepeatLimit+1)

		time.Sleep(RepeatWindow)
		synctest.Wait()
		assert.Assert(t, strings.HasSuffix(out.String(), `msg="entry: append failed" suppressed_lines=7 window=10s`+"\n"), out.String())
		assert.Equal(t, strings.Count(out.String(), "\n"), RepeatLimit+2)

		for range 6 {
			logger.Error("append failed")
		}
		l.Flush()
		assert.Equal(t, strings.Count(out.String(), "\n"), 2*RepeatLimit+3)
		assert.Assert(t, strings.HasSuffix(out.String(), "suppressed_lines=1 window=10s\n"), out.String())
	})
}

// Guards against unbounded memory when messages are not constant.
func TestMessagesAreBounded(t *testing.T) {
	var out bytes.Buffer
	l := New(Config{Out: &out})
	for i := range MaxMessages + 10 {
		l.Logger("entry").Info(fmt.Sprint("message ", i))
	}
	assert.Equal(t, len(l.limiter.windows), MaxMessages)
	assert.Equal(t, strings.Count(out.String(), "\n"), MaxMessages+10)
	l.Flush()
	assert.Equal(t, len(l.limiter.windows), 0)
}
