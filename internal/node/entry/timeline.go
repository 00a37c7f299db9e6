package entry

import (
	"context"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/grpc"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/reply"
	"github.com/chestnutpond/chestnutpond/internal/obs/events"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// collectTimeout bounds the events request to one process.
	collectTimeout = 2 * time.Second
	// collectConcurrency is the maximum number of concurrent events requests.
	collectConcurrency = 16
	// defaultEventLimit and maxEventLimit bound the events in one response.
	defaultEventLimit = 1000
	maxEventLimit     = 10000
	// queryEventLimit bounds the events that one query collects from all
	// processes, so that a large fleet cannot exhaust the entry's memory. Each
	// process may return minProcessEvents even if that exceeds its share.
	queryEventLimit  = 100000
	minProcessEvents = 8
)

type eventView struct {
	ID          chestnutpond.EventID   `json:"id"`
	Process     string                 `json:"process"`
	Incarnation int64                  `json:"incarnation"`
	Sequence    int64                  `json:"sequence"`
	At          time.Time              `json:"at"`
	Kind        chestnutpond.EventKind `json:"kind"`
	Job         chestnutpond.JobID     `json:"job,omitempty"`
	Attempt     int64                  `json:"attempt,omitempty"`
	Request     string                 `json:"request,omitempty"`
	Upstream    string                 `json:"upstream,omitempty"`
	Account     string                 `json:"account,omitempty"`
	Detail      string                 `json:"detail,omitempty"`
	Cause       chestnutpond.EventID   `json:"cause,omitempty"`
}

type eventsView struct {
	Events      []eventView `json:"events"`
	Dropped     int64       `json:"dropped"`
	Unreachable []string    `json:"unreachable"`
}

func (e *Entry) getEvents(c echo.Context, _ principal) error {
	filter, limit, err := parseEventQuery(c)
	if err != nil {
		return reply.Reject(c, http.StatusBadRequest, chestnutpond.ReasonBadBody, err.Error())
	}
	req := &inner.EventsRequest{
		Job: string(filter.Job), Request: filter.Request, Upstream: filter.Upstream, Limit: int32(limit),
		FromUnixNano: unixNano(filter.From), ToUnixNano: unixNano(filter.To),
	}
	collected := e.collectEvents(c.Request().Context(), req)
	view := eventsView{Events: []eventView{}, Dropped: collected.dropped, Unreachable: collected.unreachable}
	for _, ev := range collected.events {
		if filter.Match(ev) {
			view.Events = append(view.Events, newEventView(ev))
		}
	}
	sort.SliceStable(view.Events, func(i, j int) bool { return view.Events[i].At.Before(view.Events[j].At) })
	if len(view.Events) > limit {
		view.Events = view.Events[len(view.Events)-limit:]
	}
	return c.JSON(http.StatusOK, view)
}

func parseEventQuery(c echo.Context) (events.Filter, int, error) {
	filter := events.Filter{
		Job: chestnutpond.JobID(c.QueryParam("job")), Request: c.QueryParam("request"),
		Upstream: c.QueryParam("upstream"),
	}
	var err error
	if filter.From, err = parseTime(c.QueryParam("from")); err != nil {
		return filter, 0, Error.New("from: %v", err)
	}
	if filter.To, err = parseTime(c.QueryParam("to")); err != nil {
		return filter, 0, Error.New("to: %v", err)
	}
	limit := defaultEventLimit
	if text := c.QueryParam("limit"); text != "" {
		limit, err = strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxEventLimit {
			return filter, 0, Error.New("limit: want 1 to %d", maxEventLimit)
		}
	}
	return filter, limit, nil
}

func parseTime(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	return time.Parse(time.RFC3339Nano, text)
}

// unixNano converts a time bound for an events request; the zero time means no
// bound.
func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// eventSet accumulates the events of all processes.
type eventSet struct {
	// mu guards the fields below; no other lock is acquired while it is held.
	mu          sync.Mutex
	events      []chestnutpond.Event
	dropped     int64
	unreachable []string
}

// eventSource is a process to query for events.
type eventSource struct {
	name    string
	address string
	ask     func(context.Context, grpc.ClientConnInterface, *inner.EventsRequest) (*inner.EventsReply, error)
}

// collectWorker queries processes from a shared queue.
type collectWorker struct {
	entry   *Entry
	req     *inner.EventsRequest
	sources <-chan eventSource
	result  *eventSet
	done    *sync.WaitGroup
}

func (e *Entry) collectEvents(ctx context.Context, req *inner.EventsRequest) *eventSet {
	result := &eventSet{unreachable: []string{}}
	result.add(e.cfg.Events.Reply(req))
	list := e.eventSources()
	share := queryEventLimit / max(1, len(list))
	req.Limit = min(req.GetLimit(), int32(max(minProcessEvents, share)))
	queue := make(chan eventSource, len(list))
	for _, s := range list {
		queue <- s
	}
	close(queue)
	var done sync.WaitGroup
	for range min(collectConcurrency, len(list)) {
		done.Add(1)
		c := &collectWorker{entry: e, req: req, sources: queue, result: result, done: &done}
		go c.run(ctx)
	}
	done.Wait()
	sort.Strings(result.unreachable)
	return result
}

func (e *Entry) eventSources() []eventSource {
	var list []eventSource
	for _, p := range e.group.Peers() {
		list = append(list, eventSource{name: p.Name, address: p.Address, ask: askEntry})
	}
	for _, row := range e.group.Rows() {
		list = append(list, eventSource{name: row.Member.GetName(), address: row.Member.GetAddress(), ask: askAgent})
	}
	return list
}

func askEntry(
	ctx context.Context, conn grpc.ClientConnInterface, req *inner.EventsRequest,
) (*inner.EventsReply, error) {
	return inner.NewEntryClient(conn).Events(ctx, req)
}

func askAgent(
	ctx context.Context, conn grpc.ClientConnInterface, req *inner.EventsRequest,
) (*inner.EventsReply, error) {
	return inner.NewAgentClient(conn).Events(ctx, req)
}

func (c *collectWorker) run(ctx context.Context) {
	defer c.done.Done()
	for s := range c.sources {
		reply, err := c.ask(ctx, s)
		if err != nil {
			c.result.addUnreachable(s.name)
			continue
		}
		c.result.add(reply)
	}
}

func (c *collectWorker) ask(ctx context.Context, s eventSource) (*inner.EventsReply, error) {
	conn, done, err := c.entry.pool.Get(s.address)
	if err != nil {
		return nil, err
	}
	defer done()
	actx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	return s.ask(actx, conn, c.req)
}

func (g *eventSet) add(reply *inner.EventsReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range reply.GetEvents() {
		g.events = append(g.events, events.FromInner(m))
	}
	g.dropped += reply.GetDropped()
}

func (g *eventSet) addUnreachable(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreachable = append(g.unreachable, name)
}

func newEventView(ev chestnutpond.Event) eventView {
	return eventView{
		ID: ev.ID, Process: ev.Process, Incarnation: ev.Incarnation, Sequence: ev.Sequence, At: ev.At,
		Kind: ev.Kind, Job: ev.Job, Attempt: ev.Attempt, Request: ev.Request, Upstream: ev.Upstream,
		Account: ev.Account, Detail: ev.Detail, Cause: ev.Cause,
	}
}
