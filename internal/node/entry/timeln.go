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
	// collectTimeout bounds the question to one process.
	collectTimeout = 2 * time.Second
	// collectors is how many processes are asked at a time.
	collectors = 16
	// defaultEvents and maxEvents bound the events of one answer.
	defaultEvents = 1000
	maxEvents     = 10000
	// gatherLimit bounds the events that one query takes from all processes, so
	// that a large fleet cannot fill the memory of the entry; leastEvents is what
	// each process may send all the same.
	gatherLimit = 100000
	leastEvents = 8
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

func (e *Entry) getEvents(c echo.Context, _ caller) error {
	filter, limit, err := eventQuery(c)
	if err != nil {
		return reply.Reject(c, http.StatusBadRequest, chestnutpond.ReasonBadBody, err.Error())
	}
	req := &inner.EventsRequest{
		Job: string(filter.Job), Request: filter.Request, Upstream: filter.Upstream, Limit: int32(limit),
		FromUnixNano: nanosOf(filter.From), ToUnixNano: nanosOf(filter.To),
	}
	gathered := e.collect(c.Request().Context(), req)
	view := eventsView{Events: []eventView{}, Dropped: gathered.dropped, Unreachable: gathered.unreachable}
	for _, ev := range gathered.events {
		if filter.Match(ev) {
			view.Events = append(view.Events, viewEvent(ev))
		}
	}
	sort.SliceStable(view.Events, func(i, j int) bool { return view.Events[i].At.Before(view.Events[j].At) })
	if len(view.Events) > limit {
		view.Events = view.Events[len(view.Events)-limit:]
	}
	return c.JSON(http.StatusOK, view)
}

func eventQuery(c echo.Context) (events.Filter, int, error) {
	filter := events.Filter{
		Job: chestnutpond.JobID(c.QueryParam("job")), Request: c.QueryParam("request"),
		Upstream: c.QueryParam("upstream"),
	}
	var err error
	if filter.From, err = timeOf(c.QueryParam("from")); err != nil {
		return filter, 0, Error.New("from: %v", err)
	}
	if filter.To, err = timeOf(c.QueryParam("to")); err != nil {
		return filter, 0, Error.New("to: %v", err)
	}
	limit := defaultEvents
	if text := c.QueryParam("limit"); text != "" {
		limit, err = strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxEvents {
			return filter, 0, Error.New("limit: want 1 to %d", maxEvents)
		}
	}
	return filter, limit, nil
}

func timeOf(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	return time.Parse(time.RFC3339Nano, text)
}

// nanosOf returns a bound of the inner protocol; the zero time is no bound.
func nanosOf(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// gathering collects the events of all processes.
type gathering struct {
	// mu guards the fields below; no other lock is taken under it.
	mu          sync.Mutex
	events      []chestnutpond.Event
	dropped     int64
	unreachable []string
}

// source is one process to ask.
type source struct {
	name    string
	address string
	ask     func(context.Context, grpc.ClientConnInterface, *inner.EventsRequest) (*inner.EventsReply, error)
}

// collector asks processes from a shared list.
type collector struct {
	entry   *Entry
	req     *inner.EventsRequest
	sources <-chan source
	into    *gathering
	done    *sync.WaitGroup
}

func (e *Entry) collect(ctx context.Context, req *inner.EventsRequest) *gathering {
	into := &gathering{unreachable: []string{}}
	into.add(e.cfg.Events.Reply(req))
	list := e.sources()
	share := gatherLimit / max(1, len(list))
	req.Limit = min(req.GetLimit(), int32(max(leastEvents, share)))
	queue := make(chan source, len(list))
	for _, s := range list {
		queue <- s
	}
	close(queue)
	var done sync.WaitGroup
	for range min(collectors, len(list)) {
		done.Add(1)
		c := &collector{entry: e, req: req, sources: queue, into: into, done: &done}
		go c.run(ctx)
	}
	done.Wait()
	sort.Strings(into.unreachable)
	return into
}

func (e *Entry) sources() []source {
	var list []source
	for _, p := range e.group.Peers() {
		list = append(list, source{name: p.Name, address: p.Address, ask: askEntry})
	}
	for _, row := range e.group.Rows() {
		list = append(list, source{name: row.Member.GetName(), address: row.Member.GetAddress(), ask: askAgent})
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

func (c *collector) run(ctx context.Context) {
	defer c.done.Done()
	for s := range c.sources {
		reply, err := c.ask(ctx, s)
		if err != nil {
			c.into.miss(s.name)
			continue
		}
		c.into.add(reply)
	}
}

func (c *collector) ask(ctx context.Context, s source) (*inner.EventsReply, error) {
	conn, done, err := c.entry.pool.Get(s.address)
	if err != nil {
		return nil, err
	}
	defer done()
	actx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	return s.ask(actx, conn, c.req)
}

func (g *gathering) add(reply *inner.EventsReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range reply.GetEvents() {
		g.events = append(g.events, events.FromInner(m))
	}
	g.dropped += reply.GetDropped()
}

func (g *gathering) miss(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreachable = append(g.unreachable, name)
}

func viewEvent(ev chestnutpond.Event) eventView {
	return eventView{
		ID: ev.ID, Process: ev.Process, Incarnation: ev.Incarnation, Sequence: ev.Sequence, At: ev.At,
		Kind: ev.Kind, Job: ev.Job, Attempt: ev.Attempt, Request: ev.Request, Upstream: ev.Upstream,
		Account: ev.Account, Detail: ev.Detail, Cause: ev.Cause,
	}
}
