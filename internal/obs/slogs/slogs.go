// Package slogs creates the loggers of chestnutpond's processes.
//
// A logger writes JSON or text lines through log/slog. Each component of a
// process prefixes its messages with its name, such as "entry: ". A repeated
// message is written at most RepeatLimit times in a RepeatWindow; when the window
// ends, one line reports how many were suppressed. Attributes are ignored when
// messages are compared, so a message must be a constant string. The value of an
// attribute whose name marks it as secret is redacted before it is written.
package slogs

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"time"
)

// Redacted replaces a secret value.
const Redacted = "redacted"

// Formats of log lines.
const (
	FormatJSON = "json"
	FormatText = "text"
)

// Config configures a Log.
type Config struct {
	// Out receives the lines, one Write call per line.
	Out io.Writer
	// Format is FormatJSON or FormatText; empty means FormatText.
	Format string
	// Level is the minimum level that is written.
	Level slog.Leveler
	// Process is an attribute of each line that distinguishes the processes in a
	// combined log; if empty, the attribute is omitted.
	Process string
	// RepeatLimit is the maximum number of lines with the same message that are
	// written in one RepeatWindow; zero means the constant RepeatLimit.
	RepeatLimit int
}

// Log is the destination of the loggers of one process.
type Log struct {
	limiter *limiter
}

// New returns the log of a process.
func New(c Config) *Log {
	options := &slog.HandlerOptions{Level: c.Level, ReplaceAttr: redact}
	var out slog.Handler = slog.NewTextHandler(c.Out, options)
	if c.Format == FormatJSON {
		out = slog.NewJSONHandler(c.Out, options)
	}
	if c.Process != "" {
		out = out.WithAttrs([]slog.Attr{slog.String("process", c.Process)})
	}
	if c.RepeatLimit == 0 {
		c.RepeatLimit = RepeatLimit
	}
	return &Log{limiter: &limiter{out: out, limit: c.RepeatLimit, windows: map[messageKey]*window{}}}
}

// Logger returns a logger that prefixes messages with the name of the part, a
// colon and a space. A message that already has the prefix is unchanged, so that
// components may write it themselves for tests that use another logger.
func (l *Log) Logger(part string) *slog.Logger {
	return slog.New(&handler{next: l.limiter.out, limiter: l.limiter, prefix: part + ": "})
}

// Flush reports suppressed lines immediately. A process calls it before it exits.
func (l *Log) Flush() { l.limiter.flush() }

// handler adds the prefix and suppresses repeated lines.
type handler struct {
	next    slog.Handler
	limiter *limiter
	prefix  string
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	text := r.Message
	if !strings.HasPrefix(text, h.prefix) {
		text = h.prefix + text
	}
	if !h.limiter.allow(messageKey{level: r.Level, text: text}) {
		return nil
	}
	line := slog.NewRecord(r.Time, r.Level, text, r.PC)
	r.Attrs(func(a slog.Attr) bool {
		line.AddAttrs(a)
		return true
	})
	return h.next.Handle(ctx, line)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{next: h.next.WithAttrs(attrs), limiter: h.limiter, prefix: h.prefix}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{next: h.next.WithGroup(name), limiter: h.limiter, prefix: h.prefix}
}

// redact replaces the value of an attribute if its name or the name of an
// enclosing group is secret. It formats durations as text, which includes their
// unit.
func redact(groups []string, a slog.Attr) slog.Attr {
	if isSecret(a.Key) {
		return slog.String(a.Key, Redacted)
	}
	for _, g := range groups {
		if isSecret(g) {
			return slog.String(a.Key, Redacted)
		}
	}
	if a.Value.Kind() == slog.KindDuration {
		return slog.String(a.Key, a.Value.Duration().Round(time.Microsecond).String())
	}
	return a
}

// isSecret reports whether the value of an attribute with that name must be redacted.
func isSecret(name string) bool {
	switch strings.ToLower(name) {
	case "token", "secret", "authorization", "key":
		return true
	}
	return false
}
