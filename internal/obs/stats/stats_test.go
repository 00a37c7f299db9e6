package stats

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against output that a metrics collector cannot parse, or parses with
// the wrong unit.
func TestExposition(t *testing.T) {
	r := New()
	r.Counter("requests_total", "Requests.", Label{"outcome", "not_run"}).Inc(3)
	r.Counter("requests_total", "Requests.", Label{"outcome", `a "b"` + "\n\\"}).Inc(1)
	r.Gauge("queue_length", "Waiting\nrequests.").Update(7)
	r.GaugeFloat64("slots_busy_ratio", "Share of busy slots.").Update(0.25)
	r.GaugeFunc("events_dropped", "Events.", func() int64 { return 9 })
	for range 4 {
		r.Seconds("append_seconds", "Appends.", Label{"stream", "s"}).Observe(250 * time.Millisecond)
	}
	r.Seconds("read_seconds", "Reads.")
	r.Bytes("region_bytes", "Bytes.").Observe(100)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Equal(t, w.Header().Get("Content-Type"), ContentType)
	assert.Equal(t, w.Body.String(), strings.TrimPrefix(`
# HELP chestnutpond_append_seconds Appends.
# TYPE chestnutpond_append_seconds summary
chestnutpond_append_seconds{stream="s",quantile="0.5"} 0.25
chestnutpond_append_seconds{stream="s",quantile="0.9"} 0.25
chestnutpond_append_seconds{stream="s",quantile="0.99"} 0.25
chestnutpond_append_seconds{stream="s",quantile="0.999"} 0.25
chestnutpond_append_seconds_sum{stream="s"} 1
chestnutpond_append_seconds_count{stream="s"} 4
# HELP chestnutpond_events_dropped Events.
# TYPE chestnutpond_events_dropped gauge
chestnutpond_events_dropped 9
# HELP chestnutpond_queue_length Waiting\nrequests.
# TYPE chestnutpond_queue_length gauge
chestnutpond_queue_length 7
# HELP chestnutpond_read_seconds Reads.
# TYPE chestnutpond_read_seconds summary
chestnutpond_read_seconds_sum 0
chestnutpond_read_seconds_count 0
# HELP chestnutpond_region_bytes Bytes.
# TYPE chestnutpond_region_bytes summary
chestnutpond_region_bytes{quantile="0.5"} 100
chestnutpond_region_bytes{quantile="0.9"} 100
chestnutpond_region_bytes{quantile="0.99"} 100
chestnutpond_region_bytes{quantile="0.999"} 100
chestnutpond_region_bytes_sum 100
chestnutpond_region_bytes_count 1
# HELP chestnutpond_requests_total Requests.
# TYPE chestnutpond_requests_total counter
chestnutpond_requests_total{outcome="a \"b\"\n\\"} 1
chestnutpond_requests_total{outcome="not_run"} 3
# HELP chestnutpond_series_refused_total Series that are not exposed because the process has too many.
# TYPE chestnutpond_series_refused_total counter
chestnutpond_series_refused_total 0
# HELP chestnutpond_slots_busy_ratio Share of busy slots.
# TYPE chestnutpond_slots_busy_ratio gauge
chestnutpond_slots_busy_ratio 0.25
`, "\n"))
}

// Guards against names that a metrics collector rejects or that lack their unit.
func TestNamesAreChecked(t *testing.T) {
	r := New()
	r.Gauge("in_use", "")
	tests := map[string]struct {
		register func()
		want     string
	}{
		"upper case":            {func() { r.Gauge("Queue", "") }, `stats: name "Queue" is not in snake_case`},
		"label":                 {func() { r.Gauge("queue", "", Label{"my-label", ""}) }, `stats: name "my-label" is not in snake_case`},
		"counter without total": {func() { r.Counter("requests", "") }, `stats: name "requests" does not end in "_total"`},
		"seconds without unit":  {func() { r.Seconds("wait", "") }, `stats: name "wait" does not end in "_seconds"`},
		"bytes without unit":    {func() { r.Bytes("sent", "") }, `stats: name "sent" does not end in "_bytes"`},
		"two types":             {func() { r.getOrCreate("in_use", "", kindCounter, nil, nil) }, "stats: metric in_use is a gauge, not a counter"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			defer func() { assert.Equal(t, recover(), tt.want) }()
			tt.register()
		})
	}
}

// Guards against unbounded memory when callers supply label values.
func TestSeriesAreBounded(t *testing.T) {
	r := New()
	for i := range MaxSeries + 9 {
		r.Counter("calls_total", "", Label{"caller", fmt.Sprint(i)}).Inc(1)
	}
	assert.Equal(t, len(r.series), MaxSeries)
	assert.Equal(t, r.Counter(SeriesRefused, "").Count(), int64(10))
	assert.Equal(t, r.Counter("calls_total", "", Label{"caller", "0"}).Count(), int64(1))
}
