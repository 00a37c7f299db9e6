package lanes

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"github.com/chestnutpond/chestnutpond"
)

// Sizes of a page, in pixels.
const (
	rowHeight = 20
	timeWidth = 180
	laneWidth = 96
	// narrowLane is the width of a lane once there are more than wideLanes.
	narrowLane = 28
	wideLanes  = 12
	labelWidth = 900
	radius     = 5
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// page is what page.html shows.
type page struct {
	Title         string
	Width, Height int
	HeadHeight    int
	Lanes         []lane
	Arrows        []arrow
	Rows          []row
}

// lane is the column of one process.
type lane struct {
	Name string
	X    int
}

// arrow leads from a cause to its effect.
type arrow struct {
	Path, Title string
}

// row is one event.
type row struct {
	Y, X, LabelX, TextY       int
	Class                     string
	Time, Kind, Label, Detail string
	Shade                     bool
}

// WritePage writes one self-contained HTML page that shows the events from top
// to bottom in the given order, with one row for each event and one lane for
// each process in the order of its first event.
func WritePage(w io.Writer, title string, events []chestnutpond.Event) error {
	return pageTemplate.Execute(w, newPage(title, events))
}

// newPage places the events.
func newPage(title string, events []chestnutpond.Event) page {
	p := page{Title: title}
	columns := map[string]int{}
	for _, e := range events {
		if _, ok := columns[e.Process]; !ok {
			columns[e.Process] = len(p.Lanes)
			p.Lanes = append(p.Lanes, lane{Name: e.Process})
		}
	}
	width := laneWidth
	p.HeadHeight = rowHeight + radius
	if len(p.Lanes) > wideLanes {
		width = narrowLane
		p.HeadHeight = 6 * rowHeight
	}
	for i := range p.Lanes {
		p.Lanes[i].X = timeWidth + i*width + width/2
	}
	labelX := timeWidth + len(p.Lanes)*width
	p.Width = labelX + labelWidth
	p.Height = (len(events) + 1) * rowHeight
	places := map[chestnutpond.EventID]row{}
	for i, e := range events {
		r := newRow(e, i, p.Lanes[columns[e.Process]].X, labelX)
		if cause, ok := places[e.Cause]; ok {
			p.Arrows = append(p.Arrows, newArrow(cause, r, e))
		}
		places[e.ID] = r
		p.Rows = append(p.Rows, r)
	}
	return p
}

// newRow places one event.
func newRow(e chestnutpond.Event, i, x, labelX int) row {
	y := i*rowHeight + rowHeight/2
	return row{
		Y: y, X: x, LabelX: labelX, TextY: y + radius - 1,
		Class: class(e.Kind),
		Time:  e.At.UTC().Format(clock),
		Kind:  string(e.Kind),
		Label: Summary(e),
		Detail: fmt.Sprintf("%s\n%s\n%s %s\n%s", e.ID, e.At.UTC().Format(clock),
			e.Process, e.Kind, Summary(e)),
		Shade: i%2 == 1,
	}
}

// newArrow draws a line from a cause to its effect. An effect in the lane of its
// cause gets a bend, so that the line does not hide the events between.
func newArrow(from, to row, e chestnutpond.Event) arrow {
	bend := (from.X + to.X) / 2
	if from.X == to.X {
		bend = from.X - 3*radius
	}
	return arrow{
		Path:  fmt.Sprintf("M%d %d C%d %d %d %d %d %d", from.X, from.Y, bend, from.Y, bend, to.Y, to.X, to.Y),
		Title: fmt.Sprintf("%s led to %s", e.Cause, e.ID),
	}
}

// class returns the colour group of a kind: g for progress, b for harm, w for
// waiting and preemption, n for the rest.
func class(k chestnutpond.EventKind) string {
	switch k {
	case chestnutpond.EventStarted, chestnutpond.EventEnded, chestnutpond.EventServed,
		chestnutpond.EventJoined, chestnutpond.EventLogRecovered, chestnutpond.EventConfigInForce:
		return "g"
	case chestnutpond.EventLeaseLapsed, chestnutpond.EventUpstreamLost, chestnutpond.EventEjected,
		chestnutpond.EventLogLost, chestnutpond.EventTermEnded, chestnutpond.EventRefused, chestnutpond.EventConnReplaced:
		return "b"
	case chestnutpond.EventWaiting, chestnutpond.EventBorrowed, chestnutpond.EventReclaimed,
		chestnutpond.EventCheckpointed, chestnutpond.EventStopped, chestnutpond.EventCancelled,
		chestnutpond.EventLeaving, chestnutpond.EventDraining:
		return "w"
	}
	return "n"
}
