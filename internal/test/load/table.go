package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// key names the runs of one cell.
type key struct{ dep, row, policy string }

// table holds the results of each cell, one for each seed.
type table struct {
	seeds []uint64
	cells map[key][]result
}

// tail is how long a run goes on after its last arrival.
const tail = 30 * time.Second

// measure makes one run.
func measure(dep *deployment, r *row, policyIndex int, seed uint64, scale float64) result {
	w := newWorld(dep, r, policies[policyIndex].build, seed, scale)
	w.run(w.end + tail)
	return w.fig.result(w)
}

func (t *table) median(k key, col int) float64 {
	v := t.values(k, col)
	slices.Sort(v)
	return v[len(v)/2]
}

func (t *table) worst(k key, col int) float64 {
	if columns[col].lowBad {
		return slices.Min(t.values(k, col))
	}
	return slices.Max(t.values(k, col))
}

func (t *table) values(k key, col int) []float64 {
	var v []float64
	for _, r := range t.cells[k] {
		v = append(v, r[col])
	}
	return v
}

// keep fills in the work kept against the first row of the same policy and seed.
func (t *table) keep() {
	for _, d := range deployments {
		for _, r := range rows {
			for _, p := range policies {
				cell, ref := t.cells[key{d.name, r.name, p.name}], t.cells[key{d.name, rows[0].name, p.name}]
				col := colWork
				if r.known {
					col = colWorkRest
				}
				for i := range cell {
					if r.upstreams == 0 {
						cell[i][colKept] = percent(cell[i][col], ref[i][col])
					}
				}
			}
		}
	}
}

// write prints the table with the median and the worst of each cell.
func (t *table) write(w io.Writer) error {
	out := &strings.Builder{}
	fmt.Fprintf(out, "Seeds %v. Each cell: median, worst. Requests without an answer count with their timeout.\n", t.seeds)
	for _, d := range deployments {
		fmt.Fprintf(out, "\n## %s\n\n| row | policy |", d.name)
		for _, c := range columns {
			fmt.Fprintf(out, " %s |", c.name)
		}
		fmt.Fprintf(out, "\n|%s\n", strings.Repeat("---|", columnCount+2))
		for _, r := range rows {
			for _, p := range policies {
				k := key{d.name, r.name, p.name}
				if len(t.cells[k]) == 0 {
					continue
				}
				fmt.Fprintf(out, "| %s | %s |", r.name, p.name)
				for i, c := range columns {
					fmt.Fprintf(out, " %.*f, %.*f |", c.decimals, t.median(k, i), c.decimals, t.worst(k, i))
				}
				out.WriteString("\n")
			}
		}
	}
	t.aims(out)
	_, err := io.WriteString(w, out.String())
	return err
}

// Aims of section 1.3 of the design page.
const (
	aimKept     = 95.0
	aimRefuse   = 100.0
	aimSmall    = 1.5
	aimSlowdown = 0.7
	aimBad      = 1.0
)

// aims prints each aim as met or missed, by the worst seed.
func (t *table) aims(out *strings.Builder) {
	out.WriteString("\n## Aims, by the worst seed of the core\n\n| deployment | row | aim | measured | verdict |\n|---|---|---|---|---|\n")
	own := policies[len(policies)-1].name
	for _, d := range deployments {
		first := key{d.name, rows[0].name, own}
		for _, r := range rows {
			k := key{d.name, r.name, own}
			if len(t.cells[k]) == 0 {
				continue
			}
			say := func(aim string, value float64, met bool) {
				verdict := "met"
				if !met {
					verdict = "missed"
				}
				fmt.Fprintf(out, "| %s | %s | %s | %.2f | %s |\n", d.name, r.name, aim, value, verdict)
			}
			if r.flood {
				v := t.worst(k, colKept)
				say("other work keeps at least 95 %", v, v >= aimKept)
				v = t.worst(k, colRefuse99)
				say("99 % of refusals within 100 ms", v, v <= aimRefuse)
				v = t.worst(k, colRefuseMax)
				say("all refusals within 100 ms", v, v <= aimRefuse)
			}
			if r.flood || r.greedy {
				v := t.worstRatio(k, first, colP99Small)
				say("p99 of small callers at most 1.5 of the ordinary day", v, v <= aimSmall)
			}
			if r.bad {
				v := t.worst(k, colBad)
				say("under 1 % of starts on bad upstreams", v, v < aimBad)
			}
			bound, aim := 1.0, "mean slowdown not above the best baseline"
			if r.name == rows[0].name {
				bound, aim = aimSlowdown, "mean slowdown at most 0.7 of the best baseline"
			}
			v := t.worstSlowdown(k)
			say(aim, v, v <= bound)
		}
	}
}

// worstRatio is the greatest ratio of a column to the reference over the seeds.
func (t *table) worstRatio(k, ref key, col int) float64 {
	worst := 0.0
	for i, r := range t.cells[k] {
		worst = max(worst, r[col]/t.cells[ref][i][col])
	}
	return worst
}

// worstSlowdown is the greatest ratio over the seeds of the mean slowdown to that
// of the best baseline.
func (t *table) worstSlowdown(k key) float64 {
	worst := 0.0
	for i, r := range t.cells[k] {
		best := 0.0
		for _, p := range policies[:len(policies)-1] {
			c := t.cells[key{k.dep, k.row, p.name}]
			if len(c) == 0 {
				continue
			}
			v := c[i][colSlow]
			if best == 0 || v < best {
				best = v
			}
		}
		worst = max(worst, r[colSlow]/best)
	}
	return worst
}
