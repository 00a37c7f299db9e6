package bench

import (
	"fmt"
	"io"
	"sort"
	"sync"
)

// Seeds are the seeds of the full table.
var Seeds = []uint64{11, 23, 37, 53, 71}

// Cell is a row under a policy in a deployment, over all seeds.
type Cell struct {
	Deployment, Row, Policy string
	Results                 []*Result
	// KeptShare is, by seed, the work that the others kept in a flood relative
	// to the load without it.
	KeptShare []float64
}

// Median returns the median and the worst over the seeds, where the worst is
// the largest, or the smallest if less is worse.
func (c *Cell) Median(f func(*Result) float64, lessIsWorse bool) (median, worst float64) {
	var v []float64
	for _, r := range c.Results {
		v = append(v, f(r))
	}
	return medianWorst(v, lessIsWorse)
}

func medianWorst(v []float64, lessIsWorse bool) (median, worst float64) {
	if len(v) == 0 {
		return -1, -1
	}
	s := append([]float64(nil), v...)
	sort.Float64s(s)
	if lessIsWorse {
		return s[len(s)/2], s[0]
	}
	return s[len(s)/2], s[len(s)-1]
}

// Measure runs the rows under the candidates in all deployments. At most
// parallel runs go on at a time.
func Measure(rows []Row, candidates []Candidate, seeds []uint64, parallel int) []*Cell {
	m := &measurement{slots: make(chan struct{}, parallel)}
	var cells []*Cell
	for _, d := range Deployments() {
		for _, row := range rows {
			for _, k := range candidates {
				c := &Cell{Deployment: d.Name, Row: row.Name, Policy: k.Name, Results: make([]*Result, len(seeds))}
				if row.Flooded {
					c.KeptShare = make([]float64, len(seeds))
				}
				cells = append(cells, c)
				for i, seed := range seeds {
					m.wait.Add(1)
					u := &unit{m: m, d: d, row: row, candidate: k, seed: seed, cell: c, index: i}
					go u.run()
				}
			}
		}
	}
	m.wait.Wait()
	return cells
}

// measurement bounds the runs that go on at a time.
type measurement struct {
	slots chan struct{}
	wait  sync.WaitGroup
}

// unit is one run of the table.
type unit struct {
	m         *measurement
	d         Deployment
	row       Row
	candidate Candidate
	seed      uint64
	cell      *Cell
	index     int
}

func (u *unit) run() {
	defer u.m.wait.Done()
	u.m.slots <- struct{}{}
	defer func() { <-u.m.slots }()
	load := u.row.Build(u.d, u.seed)
	res := Execute(u.d, load, u.candidate.New(u.seed), u.seed)
	u.cell.Results[u.index] = res
	if !u.row.Flooded {
		return
	}
	var calm []Job
	for _, j := range load.Jobs {
		if !j.Extra {
			calm = append(calm, j)
		}
	}
	load.Jobs = calm
	without := Execute(u.d, load, u.candidate.New(u.seed), u.seed)
	u.cell.KeptShare[u.index] = ratio(res.KeptWork, without.KeptWork)
}

// column is one figure of the table.
type column struct {
	name        string
	value       func(*Result) float64
	lessIsWorse bool
	format      string
}

func columns() []column {
	return []column{
		{"mean s", func(r *Result) float64 { return r.Mean }, false, "%.0f"},
		{"p50 s", func(r *Result) float64 { return r.P50 }, false, "%.0f"},
		{"p99 s", func(r *Result) float64 { return r.P99 }, false, "%.0f"},
		{"slowdown", func(r *Result) float64 { return r.Slowdown }, false, "%.2f"},
		{"fragm.", func(r *Result) float64 { return r.Fragmentation }, false, "%.2f"},
		{"util.", func(r *Result) float64 { return r.Utilisation }, true, "%.2f"},
		{"small p99 s", func(r *Result) float64 { return r.SmallP99 }, false, "%.0f"},
		{"small/large", func(r *Result) float64 { return r.SmallOverLarge }, false, "%.3f"},
		{"Jain", func(r *Result) float64 { return r.Jain }, true, "%.3f"},
		{"reclaim s", func(r *Result) float64 { return r.Reclaim }, false, "%.1f"},
		{"gang wait s", func(r *Result) float64 { return r.GangWait }, false, "%.0f"},
		{"urgent wait p99 s", func(r *Result) float64 { return r.UrgentWait }, false, "%.1f"},
		{"lost %", func(r *Result) float64 { return r.Lost }, false, "%.2f"},
		{"bad starts %", func(r *Result) float64 { return r.BadStarts }, false, "%.2f"},
		{"preempted", func(r *Result) float64 { return r.Preempted }, false, "%.0f"},
		{"wrong ends", func(r *Result) float64 { return r.WrongEnds }, false, "%.0f"},
		{"unfinished", func(r *Result) float64 { return r.Unfinished }, false, "%.0f"},
	}
}

// Write prints the table as Markdown, "median / worst" over the seeds.
func Write(w io.Writer, cells []*Cell, seeds []uint64) error {
	cols := columns()
	if _, err := fmt.Fprintf(w, "Seeds %v. Each figure is the median / worst over the seeds; – means that the row has none.\n", seeds); err != nil {
		return err
	}
	last := ""
	for _, c := range cells {
		if c.Deployment != last {
			last = c.Deployment
			if err := heading(w, last, cols); err != nil {
				return err
			}
		}
		line := fmt.Sprintf("| %s | %s |", c.Row, c.Policy)
		for _, k := range cols {
			m, x := c.Median(k.value, k.lessIsWorse)
			line += " " + pair(k.format, m, x) + " |"
		}
		m, x := medianWorst(c.KeptShare, true)
		if _, err := fmt.Fprintf(w, "%s %s |\n", line, pair("%.3f", m, x)); err != nil {
			return err
		}
	}
	return nil
}

func heading(w io.Writer, name string, cols []column) error {
	line, rule := "| row | policy |", "|---|---|"
	for _, k := range cols {
		line += " " + k.name + " |"
		rule += "---|"
	}
	_, err := fmt.Fprintf(w, "\n%s\n\n%s work kept |\n%s---|\n", name, line, rule)
	return err
}

func pair(format string, median, worst float64) string {
	if median < 0 {
		return "–"
	}
	return fmt.Sprintf(format+" / "+format, median, worst)
}
