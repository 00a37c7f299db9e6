package client

import (
	"context"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/tool/lanes"
)

const (
	flagJob      = "job"
	flagRequest  = "request"
	flagUpstream = "upstream"
	flagFrom     = "from"
	flagTo       = "to"
	flagLimit    = "limit"
	flagHTML     = "html"

	// defaultEvents bounds the events that are shown.
	defaultEvents = 1000
	// maxEvents is the greatest limit that an entry takes. It is the default when
	// a time is given, so that the whole of a short span is shown.
	maxEvents = 10_000
)

// event is one event as an entry sends it.
type event struct {
	ID          chestnutpond.EventID   `json:"id"`
	Process     string                 `json:"process"`
	Incarnation int64                  `json:"incarnation"`
	Sequence    int64                  `json:"sequence"`
	At          time.Time              `json:"at"`
	Kind        chestnutpond.EventKind `json:"kind"`
	Job         chestnutpond.JobID     `json:"job"`
	Attempt     int64                  `json:"attempt"`
	Request     string                 `json:"request"`
	Upstream    string                 `json:"upstream"`
	Account     string                 `json:"account"`
	Detail      string                 `json:"detail"`
	Cause       chestnutpond.EventID   `json:"cause"`
}

// eventsAnswer is the answer to a question for events.
type eventsAnswer struct {
	Events      []event  `json:"events"`
	Dropped     int64    `json:"dropped"`
	Unreachable []string `json:"unreachable"`
}

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "show what happened, over all processes",
		Description: `Collects events from all processes that the entry reaches and prints one line
for each, in the order of cause and of sequence within a process; clocks decide
only where neither does. Needs the token of an operator. Events live in the
memory of the processes: old ones are dropped, and those of a process that died
are lost. Of the requests a sample is kept, of the jobs all.

A time is RFC 3339, such as 2026-03-01T02:10:00Z, or a duration before now, such
as 15m.

` + exitCodes,
		Flags: commonFlags(
			&cli.StringFlag{Name: flagJob, Usage: "events of this job"},
			&cli.StringFlag{Name: flagRequest, Usage: "events of this request"},
			&cli.StringFlag{Name: flagUpstream, Usage: "events of this upstream"},
			&cli.StringFlag{Name: flagFrom, Usage: "events from this time on"},
			&cli.StringFlag{Name: flagTo, Usage: "events before this time"},
			&cli.IntFlag{Name: flagLimit, Value: defaultEvents, Usage: "at most this many of the newest events, up to 10000, which is the default with --from or --to"},
			&cli.StringFlag{Name: flagHTML, Usage: "write one self-contained HTML page to this file instead"},
		),
		Action: runTimeline,
	}
}

// runTimeline fetches, orders and shows events.
func runTimeline(ctx context.Context, cmd *cli.Command) error {
	s, err := newSession(cmd)
	if err != nil {
		return err
	}
	query, err := eventsQuery(cmd, time.Now())
	if err != nil {
		return err
	}
	var answer eventsAnswer
	if err := s.get(ctx, "/v1/events", query, &answer); err != nil {
		return err
	}
	if answer.Dropped > 0 {
		s.notef("timeline: %d older events are no longer kept\n", answer.Dropped)
	}
	if len(answer.Unreachable) > 0 {
		s.notef("timeline: no events from %s: not reached\n", strings.Join(answer.Unreachable, ", "))
	}
	ordered := lanes.Order(answer.domain())
	if name := cmd.String(flagHTML); name != "" {
		return s.writePage(name, query, ordered)
	}
	if s.json() {
		return nil
	}
	return lanes.WriteText(cmd.Root().Writer, ordered)
}

// eventsQuery returns the question that the flags describe.
func eventsQuery(cmd *cli.Command, now time.Time) (url.Values, error) {
	query := url.Values{}
	for _, name := range []string{flagJob, flagRequest, flagUpstream} {
		if v := cmd.String(name); v != "" {
			query.Set(name, v)
		}
	}
	for _, name := range []string{flagFrom, flagTo} {
		v := cmd.String(name)
		if v == "" {
			continue
		}
		at, err := parseTime(v, now)
		if err != nil {
			return nil, failf(ExitFailed, "timeline: %s is %q; allowed: a time such as 2026-03-01T02:10:00Z, or a duration before now such as 15m", name, v)
		}
		query.Set(name, at.UTC().Format(time.RFC3339Nano))
	}
	limit := cmd.Int(flagLimit)
	if limit < 1 || limit > maxEvents {
		return nil, failf(ExitFailed, "timeline: limit is %d; allowed: 1 to %d", limit, maxEvents)
	}
	if !cmd.IsSet(flagLimit) && (query.Has(flagFrom) || query.Has(flagTo)) {
		limit = maxEvents
	}
	query.Set(flagLimit, strconv.Itoa(limit))
	return query, nil
}

// parseTime reads a time, or a duration before now.
func parseTime(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	return time.Parse(time.RFC3339, text)
}

// domain returns the events as values of the root package.
func (a eventsAnswer) domain() []chestnutpond.Event {
	all := make([]chestnutpond.Event, len(a.Events))
	for i, e := range a.Events {
		all[i] = chestnutpond.Event(e)
	}
	return all
}

// writePage writes the HTML page.
func (s *session) writePage(name string, query url.Values, ordered []chestnutpond.Event) error {
	title := "chestnutpond timeline"
	for _, k := range []string{flagJob, flagRequest, flagUpstream, flagFrom, flagTo} {
		if v := query.Get(k); v != "" {
			title += ", " + k + " " + v
		}
	}
	if err := writeTimeline(name, title, ordered); err != nil {
		return err
	}
	s.notef("timeline: %d events in %s\n", len(ordered), name)
	return nil
}
