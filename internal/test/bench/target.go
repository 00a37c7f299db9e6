package bench

import (
	"fmt"
	"io"
	"time"
)

// Targets of section 1.3. They are fixed.
const (
	targetReclaim       = 2 * time.Second
	targetUrgent        = 2 * time.Second
	targetKept          = 0.95
	targetSmallP99      = 1.5
	targetSlowdown      = 0.7
	targetFragmentation = 0.5
	targetBadStarts     = 1.0
)

// Verdict says whether a policy meets a target.
type Verdict struct {
	Deployment, Target string
	Met                bool
	Detail             string
}

// Judge compares a policy with the targets, by the median over the seeds except
// where the target is a bound on each case, which takes the worst.
func Judge(cells []*Cell, rows []Row, policy string, baselines []string) []Verdict {
	by := map[[3]string]*Cell{}
	for _, c := range cells {
		by[[3]string{c.Deployment, c.Row, c.Policy}] = c
	}
	var out []Verdict
	for _, d := range Deployments() {
		j := &judge{d: d, policy: policy, baselines: baselines, by: by}
		for _, r := range rows {
			j.row(r)
		}
		out = append(out, j.out...)
	}
	return out
}

type judge struct {
	d         Deployment
	policy    string
	baselines []string
	by        map[[3]string]*Cell
	out       []Verdict
}

func (j *judge) cell(row, policy string) *Cell { return j.by[[3]string{j.d.Name, row, policy}] }

func (j *judge) add(target string, met bool, format string, args ...any) {
	j.out = append(j.out, Verdict{j.d.Name, target, met, fmt.Sprintf(format, args...)})
}

func (j *judge) row(r Row) {
	c := j.cell(r.Name, j.policy)
	if c == nil {
		return
	}
	j.slowdown(r, c)
	j.fragmentation(r, c)
	if r.Flooded {
		m, w := medianWorst(c.KeptShare, true)
		j.add(r.Name+": others keep 95%", m >= targetKept, "median %.3f, worst %.3f", m, w)
	}
	if o := j.cell("ordinary_day", j.policy); r.Bounded && o != nil {
		m, _ := c.Median(func(r *Result) float64 { return r.SmallP99 }, false)
		base, _ := o.Median(func(r *Result) float64 { return r.SmallP99 }, false)
		j.add(r.Name+": small p99 within 1.5 of the ordinary day", m <= targetSmallP99*base, "%.0f s, ordinary day %.0f s", m, base)
	}
	if _, w := c.Median(func(r *Result) float64 { return r.Reclaim }, false); w >= 0 {
		bound := targetReclaim + j.checkpoint()
		j.add(r.Name+": claimed shapes start within 2 s and the checkpoint", w <= bound.Seconds(), "worst %.1f s of %.1f s", w, bound.Seconds())
	}
	if _, w := c.Median(func(r *Result) float64 { return r.UrgentWait }, false); w >= 0 {
		bound := targetUrgent + j.checkpoint()
		j.add(r.Name+": p99 of urgent starts within 2 s and the checkpoint", w <= bound.Seconds(), "worst %.1f s of %.1f s", w, bound.Seconds())
	}
	if _, w := c.Median(func(r *Result) float64 { return r.GangWait }, false); w >= 0 {
		j.add(r.Name+": gangs start within the reservation bound", w <= time.Hour.Seconds(), "worst %.0f s of %.0f s", w, time.Hour.Seconds())
	}
	if _, w := c.Median(func(r *Result) float64 { return r.BadStarts }, false); w >= 0 {
		j.add(r.Name+": under 1% of starts go to bad workers", w < targetBadStarts, "worst %.2f%%", w)
	}
	if _, w := c.Median(func(r *Result) float64 { return r.WrongEnds + r.Unfinished }, false); w > 0 || r.Name == "impossible_fifth" {
		j.add(r.Name+": every job ends, as impossible only if it is", w == 0, "worst %.0f jobs", w)
	}
}

// checkpoint is the longest time that displaced work may take for a checkpoint.
func (j *judge) checkpoint() (longest time.Duration) {
	for _, s := range j.d.streams {
		longest = max(longest, s.checkpoint)
	}
	return longest
}

func (j *judge) slowdown(r Row, c *Cell) {
	best, name := -1.0, ""
	for _, b := range j.baselines {
		if o := j.cell(r.Name, b); o != nil {
			if m, _ := o.Median(func(r *Result) float64 { return r.Slowdown }, false); best < 0 || m < best {
				best, name = m, b
			}
		}
	}
	if best < 0 {
		return
	}
	m, _ := c.Median(func(r *Result) float64 { return r.Slowdown }, false)
	if r.Name == "ordinary_day" {
		j.add(r.Name+": mean slowdown 30% below the best baseline", m <= targetSlowdown*best, "%.2f, %s %.2f", m, name, best)
		return
	}
	j.add(r.Name+": mean slowdown not above the best baseline", m <= best, "%.2f, %s %.2f", m, name, best)
}

func (j *judge) fragmentation(r Row, c *Cell) {
	o := j.cell(r.Name, "first_fit")
	if o == nil {
		return
	}
	m, _ := c.Median(func(r *Result) float64 { return r.Fragmentation }, false)
	base, _ := o.Median(func(r *Result) float64 { return r.Fragmentation }, false)
	j.add(r.Name+": fragmentation half of first fit", m <= targetFragmentation*base, "%.3f, first fit %.3f", m, base)
}

// WriteVerdicts prints the targets, met or missed.
func WriteVerdicts(w io.Writer, verdicts []Verdict) error {
	if _, err := fmt.Fprint(w, "\n| deployment | target | verdict | figures |\n|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, v := range verdicts {
		word := "missed"
		if v.Met {
			word = "met"
		}
		if _, err := fmt.Fprintf(w, "| %s | %s | %s | %s |\n", v.Deployment, v.Target, word, v.Detail); err != nil {
			return err
		}
	}
	return nil
}
