// Package stats collects the metrics of a process and serves them over HTTP.
//
// Metrics are stored in a rcrowley/go-metrics registry. Their names follow the
// conventions of the text exposition format: a fixed prefix, the name in
// snake_case, and the unit as the suffix; counters end in _total, histograms in
// _seconds or _bytes. A metric may have labels. Each distinct set of label
// values is a separate series, and the number of series is bounded.
//
// Histograms are exposed as summaries: quantiles over an exponentially decaying
// sample, with the exact sum and count. No metric of this package starts a
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
	// Prefix is the prefix of every metric name.
	Prefix = "chestnutpond_"
	// MaxSeries is the maximum number of exposed series of a process. A series
	// beyond it can be updated but is not exposed; SeriesRefused counts them.
	MaxSeries = 4096
	// SeriesRefused is the name, without Prefix, of the counter of series beyond
	// MaxSeries.
	SeriesRefused = "series_refused_total"
)

var nameSyntax = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)

// Label is a label of a series.
type Label struct {
	// Name is in snake_case.
	Name string
	// Value is arbitrary text; it is escaped on output.
	Value string
}

// Registry holds the metrics of a process. Its methods are safe for concurrent
// use. They panic on an invalid name, because names are constants of the
// program.
type Registry struct {
	metrics metrics.Registry
	refused metrics.Counter

	mu sync.Mutex
	// families maps a metric name to its help text and type; all series of a
	// name have the same type.
	families map[string]family
	// series has at most MaxSeries entries, keyed by name and labels.
	series map[string]series
}

// family holds the properties shared by all series of a metric name.
type family struct {
	help string
	kind kind
}

// series identifies an exposed series.
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

// New returns a registry that contains only the SeriesRefused counter.
func New() *Registry {
	r := &Registry{
		metrics:  metrics.NewRegistry(),
		families: map[string]family{},
		series:   map[string]series{},
	}
	r.refused = r.Counter(SeriesRefused, "Series that are not exposed because the process has too many.")
	return r
}

// Counter returns the counter with the given name and labels; the name must end
// in _total.
func (r *Registry) Counter(name, help string, labels ...Label) metrics.Counter {
	mustHaveSuffix(name, "_total")
	return r.getOrCreate(name, help, kindCounter, labels, metrics.NewCounter).(metrics.Counter)
}

// Gauge returns the integer gauge with the given name and labels.
func (r *Registry) Gauge(name, help string, labels ...Label) metrics.Gauge {
	return r.getOrCreate(name, help, kindGauge, labels, metrics.NewGauge).(metrics.Gauge)
}

// GaugeFloat64 returns the floating-point gauge with the given name and labels.
func (r *Registry) GaugeFloat64(name, help string, labels ...Label) metrics.GaugeFloat64 {
	return r.getOrCreate(name, help, kindGauge, labels, metrics.NewGaugeFloat64).(metrics.GaugeFloat64)
}

// GaugeFunc registers a gauge whose value is computed by calling value at each
// scrape. The function must be safe for concurrent use and must not block.
func (r *Registry) GaugeFunc(name, help string, value func() int64, labels ...Label) {
	r.getOrCreate(name, help, kindGauge, labels, func() metrics.Gauge { return metrics.NewFunctionalGauge(value) })
}

// Seconds returns the histogram of durations with the given name and labels; the
// name must end in _seconds.
func (r *Registry) Seconds(name, help string, labels ...Label) *Seconds {
	mustHaveSuffix(name, "_seconds")
	return r.getOrCreate(name, help, kindSummary, labels, newSeconds).(*Seconds)
}

// Bytes returns the histogram of sizes with the given name and labels; the name
// must end in _bytes.
func (r *Registry) Bytes(name, help string, labels ...Label) *Bytes {
	mustHaveSuffix(name, "_bytes")
	return r.getOrCreate(name, help, kindSummary, labels, newBytes).(*Bytes)
}

// getOrCreate returns the metric of a series, creating it on first use. A metric
// beyond MaxSeries is returned unregistered.
func (r *Registry) getOrCreate(name, help string, k kind, labels []Label, create any) any {
	mustBeSnakeCase(name)
	for _, l := range labels {
		mustBeSnakeCase(l.Name)
	}
	id := name + formatLabels(labels)
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

// formatLabels formats labels in the text exposition format, as written after the
// metric name.
func formatLabels(labels []Label) string {
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

// mustBeSnakeCase panics if name is not in snake_case.
func mustBeSnakeCase(name string) {
	if !nameSyntax.MatchString(name) {
		panic(fmt.Sprintf("stats: name %q is not in snake_case", name))
	}
}

// mustHaveSuffix panics if name does not end in the suffix unit.
func mustHaveSuffix(name, unit string) {
	if !strings.HasSuffix(name, unit) {
		panic(fmt.Sprintf("stats: name %q does not end in %q", name, unit))
	}
}
