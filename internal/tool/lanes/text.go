package lanes

import (
	"fmt"
	"io"
	"strings"

	"github.com/chestnutpond/chestnutpond"
)

// clock is the form of times in lines and pages; they are in UTC.
const clock = "2006-01-02 15:04:05.000"

// WriteText writes one line for each event.
func WriteText(w io.Writer, events []chestnutpond.Event) error {
	process, kind := 0, 0
	for _, e := range events {
		process = max(process, len(e.Process))
		kind = max(kind, len(e.Kind))
	}
	for _, e := range events {
		line := fmt.Sprintf("%s  %-*s  %-*s  %s", e.At.UTC().Format(clock), process, e.Process, kind, e.Kind, Summary(e))
		if _, err := fmt.Fprintln(w, strings.TrimRight(line, " ")); err != nil {
			return err
		}
	}
	return nil
}

// Summary returns what an event is about, without its kind, process and time.
func Summary(e chestnutpond.Event) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("job", string(e.Job))
	if e.Attempt > 0 {
		add("attempt", fmt.Sprint(e.Attempt))
	}
	add("request", e.Request)
	add("upstream", e.Upstream)
	add("account", e.Account)
	if e.Detail != "" {
		parts = append(parts, oneLine(e.Detail))
	}
	if e.Cause != "" {
		parts = append(parts, "(after "+string(e.Cause)+")")
	}
	return strings.Join(parts, " ")
}

// oneLine replaces control characters, which could move the cursor of a
// terminal or begin a line that looks like an event.
func oneLine(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, s)
}
