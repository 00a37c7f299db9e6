package slogs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// RepeatLimit is the maximum number of lines with the same message that are
	// written in one RepeatWindow.
	RepeatLimit = 5
	// RepeatWindow starts at the first line of a message.
	RepeatWindow = 10 * time.Second
	// MaxMessages is the maximum number of open windows. Other messages are
	// written without a limit until a window ends.
	MaxMessages = 1024
)

// messageKey identifies lines that count as repeats of each other. Attributes are
// ignored.
type messageKey struct {
	level slog.Level
	text  string
}

// limiter rate-limits repeated lines. Its methods are safe for concurrent use.
type limiter struct {
	// out receives the lines that report suppressed ones; it carries no logger's
	// attributes.
	out slog.Handler
	// limit is the maximum number of lines of a message in one window.
	limit int

	mu sync.Mutex
	// windows has at most MaxMessages entries; the timer of a window removes it.
	windows map[messageKey]*window
}

// window counts the lines of one message within one RepeatWindow.
type window struct {
	limiter *limiter
	key     messageKey
	lines   int
	timer   *time.Timer
}

// allow counts a line and reports whether it may be written.
func (l *limiter) allow(key messageKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windows[key]
	if w == nil {
		if len(l.windows) >= MaxMessages {
			return true
		}
		w = &window{limiter: l, key: key}
		w.timer = time.AfterFunc(RepeatWindow, w.expire)
		l.windows[key] = w
	}
	w.lines++
	return w.lines <= l.limit
}

// flush ends all windows immediately.
func (l *limiter) flush() {
	l.mu.Lock()
	open := make([]*window, 0, len(l.windows))
	for _, w := range l.windows {
		open = append(open, w)
	}
	l.mu.Unlock()
	for _, w := range open {
		w.timer.Stop()
		w.expire()
	}
}

// expire removes the window and logs the number of lines that it suppressed.
func (w *window) expire() {
	l := w.limiter
	l.mu.Lock()
	if l.windows[w.key] != w {
		l.mu.Unlock()
		return
	}
	delete(l.windows, w.key)
	suppressed := w.lines - l.limit
	l.mu.Unlock()
	if suppressed <= 0 {
		return
	}
	r := slog.NewRecord(time.Now(), w.key.level, w.key.text, 0)
	r.AddAttrs(slog.Int("suppressed_lines", suppressed), slog.Duration("window", RepeatWindow))
	// A write error is ignored, because there is nowhere else to report it.
	_ = l.out.Handle(context.Background(), r)
}
