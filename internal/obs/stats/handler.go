package stats

import (
	"bufio"
	"cmp"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// ContentType is the media type of the text exposition format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// quantiles lists the quantiles exposed for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// ServeHTTP writes all metrics in the text exposition format.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", ContentType)
	// A write error means that the client disconnected; there is no one to
	// report it to.
	_ = r.WriteText(w)
}

// WriteText writes all metrics in the text exposition format, sorted by name.
func (r *Registry) WriteText(out io.Writer) error {
	w := bufio.NewWriter(out)
	last := ""
	for _, s := range r.sortedSeries() {
		if s.name != last {
			last = s.name
			f := r.family(s.name)
			writeStrings(w, "# HELP ", Prefix, s.name, " ", helpEscaper.Replace(f.help), "\n")
			writeStrings(w, "# TYPE ", Prefix, s.name, " ", string(f.kind), "\n")
		}
		writeSeries(w, s, r.metrics.Get(s.name+formatLabels(s.labels)))
	}
	return w.Flush()
}

var helpEscaper = strings.NewReplacer(`\`, `\\`, "\n", `\n`)

// sortedSeries returns all series ordered by name, then by labels.
func (r *Registry) sortedSeries() []series {
	r.mu.Lock()
	all := make([]series, 0, len(r.series))
	for _, s := range r.series {
		all = append(all, s)
	}
	r.mu.Unlock()
	slices.SortFunc(all, func(a, b series) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(formatLabels(a.labels), formatLabels(b.labels)))
	})
	return all
}

// family returns the family of a metric name.
func (r *Registry) family(name string) family {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.families[name]
}

// writeSeries writes the samples of one series.
func writeSeries(w *bufio.Writer, s series, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		writeSample(w, s, "", float64(m.Count()))
	case metrics.Gauge:
		writeSample(w, s, "", float64(m.Value()))
	case metrics.GaugeFloat64:
		writeSample(w, s, "", m.Value())
	case *Seconds:
		writeSummary(w, s, m.histogram, 1/float64(time.Second))
	case *Bytes:
		writeSummary(w, s, m.histogram, 1)
	}
}

// writeSummary writes the quantiles, sum and count of a histogram; values are
// multiplied by scale. Quantiles of an empty histogram are omitted.
func writeSummary(w *bufio.Writer, s series, h histogram, scale float64) {
	values := h.Snapshot()
	if values.Count() > 0 {
		for i, v := range values.Percentiles(quantiles) {
			q := Label{Name: "quantile", Value: strconv.FormatFloat(quantiles[i], 'g', -1, 64)}
			labels := append(slices.Clone(s.labels), q)
			writeSample(w, series{name: s.name, labels: labels}, "", v*scale)
		}
	}
	writeSample(w, s, "_sum", float64(h.sum.Count())*scale)
	writeSample(w, s, "_count", float64(values.Count()))
}

// writeSample writes one sample line.
func writeSample(w *bufio.Writer, s series, suffix string, value float64) {
	writeStrings(w, Prefix, s.name, suffix, formatLabels(s.labels), " ", strconv.FormatFloat(value, 'g', -1, 64), "\n")
}

// writeStrings writes the parts. Errors are sticky in w and returned by Flush.
func writeStrings(w *bufio.Writer, parts ...string) {
	for _, p := range parts {
		_, _ = w.WriteString(p)
	}
}
