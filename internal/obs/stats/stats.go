// Package stats holds the metrics of a process and serves them over HTTP.
//
// Metrics live in a rcrowley/go-metrics registry. Their names follow the text
// exposition format: a fixed prefix, the words of the name in snake_case, and
// the unit at the end; counters end in _total, histograms in _seconds or
// _bytes. A metric may have labels; each set of label values is a series of its
// own, and their number is bounded.
//
// Histograms are exposed as quantiles over a sample that favours the newest
// values, with the exact sum and count. No metric of this package starts a
// goroutine.
package stats

import (
	"fmt"
	"regexp"
	"strings"
	"sync"

	metrics "github.com/rcrowley/go-metrics"
)

const (
	// Prefix begins the name of every metric.
	Prefix = "chestnutpond_"
	// MaxSeries bounds the series of a process. A series beyond it works but is
	// not exposed; SeriesRefused counts them.
	MaxSeries = 4096
	// SeriesRefused is the name, without prefix, of the counter of series beyond
	// MaxSeries.
	SeriesRefused = "series_refused_total"
)

var nameSyntax = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)

// Label is one label of a series.
type Label struct {
	// Name is in snake_case.
	Name string
	// Value may be any text.
	Value string
}

// Registry holds the metrics of a process. Its methods are safe for concurrent
// use. They panic on a name that breaks the rules of the package, because names
// are constants of the program.
type Registry struct {
	metrics metrics.Registry
	refused metrics.Counter

	mu sync.Mutex
	// families has the help text and type of each name; all series of a name
	// have the same type.
	families map[string]family
	// series has at most MaxSeries entries.
	series map[string]series
}

// family is what all series of one name share.
type family struct {
	help string
	kind kind
}

// series is one exposed series.
type series struct {
	name   string
	labels []Label
}

// kind is the type of a metric in the exposition format.
type kind string

const (
	kindCounter kind = "counter"
	kindGauge   kind = "gauge"
	kindSummary kind = "summary"
)

// New returns a registry that holds only its own counter SeriesRefused.
func New() *Registry {
	r := &Registry{
		metrics:  metrics.NewRegistry(),
		families: map[string]family{},
		series:   map[string]series{},
	}
	r.refused = r.Counter(SeriesRefused, "Series that are not exposed because the process has too many.")
	return r
}

// Counter returns the counter of that name and labels; the name ends in _total.
func (r *Registry) Counter(name, help string, labels ...Label) metrics.Counter {
	mustEnd(name, "_total")
	return r.get(name, help, kindCounter, labels, metrics.NewCounter).(metrics.Counter)
}

// Gauge returns the gauge of that name and labels.
func (r *Registry) Gauge(name, help string, labels ...Label) metrics.Gauge {
	return r.get(name, help, kindGauge, labels, metrics.NewGauge).(metrics.Gauge)
}

// GaugeFloat64 returns the gauge of that name and labels.
func (r *Registry) GaugeFloat64(name, help string, labels ...Label) metrics.GaugeFloat64 {
	return r.get(name, help, kindGauge, labels, metrics.NewGaugeFloat64).(metrics.GaugeFloat64)
}

// GaugeFunc exposes the result of value at the time of each scrape. The
// function must be safe for concurrent use and must not block.
func (r *Registry) GaugeFunc(name, help string, value func() int64, labels ...Label) {
	r.get(name, help, kindGauge, labels, func() metrics.Gauge { return metrics.NewFunctionalGauge(value) })
}

// Seconds returns the histogram of durations of that name and labels; the name
// ends in _seconds.
func (r *Registry) Seconds(name, help string, labels ...Label) *Seconds {
	mustEnd(name, "_seconds")
	return r.get(name, help, kindSummary, labels, newSeconds).(*Seconds)
}

// Bytes returns the histogram of sizes of that name and labels; the name ends in
// _bytes.
func (r *Registry) Bytes(name, help string, labels ...Label) *Bytes {
	mustEnd(name, "_bytes")
	return r.get(name, help, kindSummary, labels, newBytes).(*Bytes)
}

// get returns the metric of a series and creates it if needed.
func (r *Registry) get(name, help string, k kind, labels []Label, create any) any {
	mustName(name)
	for _, l := range labels {
		mustName(l.Name)
	}
	id := name + labelText(labels)
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.families[name]; ok && f.kind != k {
		panic(fmt.Sprintf("stats: metric %s is a %s, not a %s", name, f.kind, k))
	}
	if _, ok := r.series[id]; !ok && len(r.series) >= MaxSeries {
		r.refused.Inc(1)
		return metrics.NewRegistry().GetOrRegister(id, create)
	}
	r.families[name] = family{help: help, kind: k}
	r.series[id] = series{name: name, labels: labels}
	return r.metrics.GetOrRegister(id, create)
}

// labelText returns the labels as they stand behind a name.
func labelText(labels []Label) string {
	if len(labels) == 0 {
		return ""
	}
	var b strings.Builder
	for i, l := range labels {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(l.Name + `="` + labelEscaper.Replace(l.Value) + `"`)
	}
	return "{" + b.String() + "}"
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// mustName panics on a name that is not in snake_case.
func mustName(name string) {
	if !nameSyntax.MatchString(name) {
		panic(fmt.Sprintf("stats: name %q is not in snake_case", name))
	}
}

// mustEnd panics on a name without the unit.
func mustEnd(name, unit string) {
	if !strings.HasSuffix(name, unit) {
		panic(fmt.Sprintf("stats: name %q does not end in %q", name, unit))
	}
}
