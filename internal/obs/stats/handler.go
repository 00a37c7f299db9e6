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

// quantiles are the exposed quantiles of histograms.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// ServeHTTP writes all metrics in the text exposition format.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", ContentType)
	// An error means that the client has gone; there is nobody to tell.
	_ = r.WriteText(w)
}

// WriteText writes all metrics in the text exposition format, sorted by name.
func (r *Registry) WriteText(out io.Writer) error {
	w := bufio.NewWriter(out)
	last := ""
	for _, s := range r.sorted() {
		if s.name != last {
			last = s.name
			f := r.family(s.name)
			writeText(w, "# HELP ", Prefix, s.name, " ", helpEscaper.Replace(f.help), "\n")
			writeText(w, "# TYPE ", Prefix, s.name, " ", string(f.kind), "\n")
		}
		writeSeries(w, s, r.metrics.Get(s.name+labelText(s.labels)))
	}
	return w.Flush()
}

var helpEscaper = strings.NewReplacer(`\`, `\\`, "\n", `\n`)

// sorted returns all series by name, then by labels.
func (r *Registry) sorted() []series {
	r.mu.Lock()
	all := make([]series, 0, len(r.series))
	for _, s := range r.series {
		all = append(all, s)
	}
	r.mu.Unlock()
	slices.SortFunc(all, func(a, b series) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(labelText(a.labels), labelText(b.labels)))
	})
	return all
}

// family returns what all series of the name share.
func (r *Registry) family(name string) family {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.families[name]
}

// writeSeries writes the lines of one series.
func writeSeries(w *bufio.Writer, s series, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		writeLine(w, s, "", float64(m.Count()))
	case metrics.Gauge:
		writeLine(w, s, "", float64(m.Value()))
	case metrics.GaugeFloat64:
		writeLine(w, s, "", m.Value())
	case *Seconds:
		writeSummary(w, s, m.histogram, 1/float64(time.Second))
	case *Bytes:
		writeSummary(w, s, m.histogram, 1)
	}
}

// writeSummary writes the quantiles, sum and count of a histogram in units of
// scale. Quantiles of an empty histogram are left out.
func writeSummary(w *bufio.Writer, s series, h histogram, scale float64) {
	values := h.Snapshot()
	if values.Count() > 0 {
		for i, v := range values.Percentiles(quantiles) {
			q := Label{Name: "quantile", Value: strconv.FormatFloat(quantiles[i], 'g', -1, 64)}
			labels := append(slices.Clone(s.labels), q)
			writeLine(w, series{name: s.name, labels: labels}, "", v*scale)
		}
	}
	writeLine(w, s, "_sum", float64(h.sum.Count())*scale)
	writeLine(w, s, "_count", float64(values.Count()))
}

// writeLine writes one value.
func writeLine(w *bufio.Writer, s series, suffix string, value float64) {
	writeText(w, Prefix, s.name, suffix, labelText(s.labels), " ", strconv.FormatFloat(value, 'g', -1, 64), "\n")
}

// writeText writes the parts. Flush reports an error of any of them.
func writeText(w *bufio.Writer, parts ...string) {
	for _, p := range parts {
		_, _ = w.WriteString(p)
	}
}
