package bench_test

import (
	"bytes"
	"flag"
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/test/bench"
)

var (
	tableOut      = flag.String("table.out", "", "write the full table to this file")
	tableRows     = flag.String("table.rows", "", "with -table.out, only these rows, separated by commas, and the ordinary day")
	tableSeeds    = flag.Int("table.seeds", len(bench.Seeds), "with -table.out, the number of seeds")
	tableParallel = flag.Int("table.parallel", 3, "runs that go on at a time")
)

// Guards against policies that hand out accelerators twice, lose jobs, or are
// not deterministic. With -table.out it measures and writes the whole table.
func TestTable(t *testing.T) {
	rows, seeds := bench.Rows(), bench.Seeds
	if *tableOut == "" {
		seeds = seeds[:1]
	} else {
		seeds = seeds[:*tableSeeds]
	}
	t.Logf("seeds %v", seeds)
	var chosen []bench.Row
	for _, r := range rows {
		names := *tableRows
		if *tableOut == "" {
			names = "impossible_fifth,reclaim"
		}
		if names == "" || r.Name == "ordinary_day" || slices.Contains(strings.Split(names, ","), r.Name) {
			chosen = append(chosen, r)
		}
	}
	var names []string
	for _, c := range bench.Candidates() {
		if c.Baseline {
			names = append(names, c.Name)
		}
	}
	cells := bench.Measure(chosen, bench.Candidates(), seeds, *tableParallel)
	for _, c := range cells {
		unfinished, worst := c.Median(func(r *bench.Result) float64 { return r.Unfinished }, false)
		assert.Equal(t, unfinished+worst, 0.0, "%s %s %s", c.Deployment, c.Row, c.Policy)
	}
	var out bytes.Buffer
	assert.NilError(t, bench.Write(&out, cells, seeds))
	assert.NilError(t, bench.WriteVerdicts(&out, bench.Judge(cells, chosen, "core", names)))
	if *tableOut != "" {
		assert.NilError(t, os.WriteFile(*tableOut, out.Bytes(), 0o644))
		return
	}
	t.Log(out.String())
	again := bench.Measure(chosen[:1], bench.Candidates(), seeds, *tableParallel)
	for _, c := range again {
		for _, o := range cells {
			if o.Deployment == c.Deployment && o.Row == c.Row && o.Policy == c.Policy {
				assert.DeepEqual(t, c.Results, o.Results)
			}
		}
	}
}
