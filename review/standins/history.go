package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// kind is what the platform knows of the work items of a job.
type kind struct {
	need amount
	work time.Duration
	// label is the label that a worker must have, or empty.
	label string
	// spread is how many work items of a step may run on one worker; 0 means any.
	spread int
	// lasts means that a run works until it is stopped.
	lasts bool
	// fails is how many runs of a work item fail.
	fails int64
}

// start is one start of a work item.
type start struct {
	item   string
	number int64
	worker string
	life   string
	labels []string
	kind   kind
	at     time.Time
	// ended is the zero time while the run is on; how says how it ended.
	ended time.Time
	how   string
	// noted means that the end was taken note of, and lapsed that the worker's lease was
	// over between the end and that.
	noted, lapsed bool
}

// history is what the workers of a case have run.
type history struct {
	rec *record

	mu     sync.Mutex
	kinds  map[string]kind
	starts []*start
}

func newHistory(rec *record) *history { return &history{rec: rec, kinds: map[string]kind{}} }

// define says what the work items of a job take.
func (h *history) define(job string, k kind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kinds[job] = k
}

func (h *history) kind(item string) kind {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.kinds[jobOf(item)]
}

func (h *history) begun(item string, number int64, worker, id string, born int64, labels []string) *start {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &start{
		item: item, number: number, worker: worker, life: fmt.Sprintf("%s/%d", id, born), labels: labels,
		kind: h.kinds[jobOf(item)], at: time.Now(),
	}
	h.starts = append(h.starts, s)
	h.rec.line("run: %s run %d starts on worker %s (%s)", item, number, worker, s.life)
	return s
}

func (h *history) over(s *start, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.ended, s.how = time.Now(), how
	h.rec.line("run: %s run %d on worker %s ends %s", s.item, s.number, s.worker, how)
}

func (h *history) note(s *start) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.noted = !s.lapsed
}

// count returns the number of runs of a job that are on, and of those that ended done.
func (h *history) count(job string) (int, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	on, done := 0, 0
	for _, s := range h.starts {
		if job != "" && jobOf(s.item) != job {
			continue
		}
		switch {
		case s.ended.IsZero():
			on++
		case s.how == "done":
			done++
		}
	}
	return on, done
}

// byItem returns the starts of each work item in order of time.
func (h *history) byItem() map[string][]start {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := map[string][]start{}
	for _, s := range h.starts {
		all[s.item] = append(all[s.item], *s)
	}
	return all
}

// breaksOfTwice returns the breaks of the rule TWICE: two runs of one work item at the same
// time, or a start after a run has ended done whose end was taken note of.
func (h *history) breaksOfTwice() []string {
	var breaks []string
	for item, starts := range h.byItem() {
		for i, later := range starts {
			for _, earlier := range starts[:i] {
				switch {
				case earlier.ended.IsZero() || earlier.ended.After(later.at):
					breaks = append(breaks, fmt.Sprintf("TWICE: %s run %d starts on %s at %.3f while run %d is on at %s (until %.3f)",
						item, later.number, later.worker, h.rec.seconds(later.at), earlier.number, earlier.worker, h.rec.seconds(earlier.ended)))
				case earlier.how == "done" && earlier.noted:
					breaks = append(breaks, fmt.Sprintf("TWICE: %s run %d starts on %s at %.3f after run %d ended done at %.3f, which was taken note of",
						item, later.number, later.worker, h.rec.seconds(later.at), earlier.number, h.rec.seconds(earlier.ended)))
				}
			}
		}
	}
	slices.Sort(breaks)
	return breaks
}

// breaksOfLabels returns the breaks of the rule ROUTE: a start on a worker without the label
// that the job requires.
func (h *history) breaksOfLabels() []string {
	var breaks []string
	for item, starts := range h.byItem() {
		for _, s := range starts {
			if s.kind.label != "" && !slices.Contains(s.labels, s.kind.label) {
				breaks = append(breaks, fmt.Sprintf("ROUTE: %s run %d starts on %s (%s) at %.3f, which has labels %v and not %q",
					item, s.number, s.worker, s.life, h.rec.seconds(s.at), s.labels, s.kind.label))
			}
		}
	}
	slices.Sort(breaks)
	return breaks
}

// cancelTime is the bound cancel_ms.
const cancelTime = 3 * time.Second

// breaksOfCancel returns the breaks of the rule UNASKED: a start later than cancel_ms after
// the cancellation of the job was acknowledged, by machines that are in touch from the given
// time on.
func (h *history) breaksOfCancel(job string, acknowledged, touch time.Time) []string {
	var breaks []string
	for item, starts := range h.byItem() {
		for _, s := range starts {
			if jobOf(item) == job && s.at.Sub(acknowledged) > cancelTime && s.at.After(touch) {
				breaks = append(breaks, fmt.Sprintf("UNASKED: %s run %d starts on %s at %.3f, %.3f s after the cancellation was acknowledged",
					item, s.number, s.worker, h.rec.seconds(s.at), s.at.Sub(acknowledged).Seconds()))
			}
		}
	}
	slices.Sort(breaks)
	return breaks
}

// breaksOfSpread returns the breaks of the rule ROUTE: a start on a worker that runs as many
// work items of the step as its anti_affinity allows.
func (h *history) breaksOfSpread() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var breaks []string
	for i, s := range h.starts {
		on := 0
		for _, other := range h.starts[:i] {
			if stepOf(other.item) == stepOf(s.item) && other.life == s.life && (other.ended.IsZero() || other.ended.After(s.at)) {
				on++
			}
		}
		if s.kind.spread > 0 && on >= s.kind.spread {
			breaks = append(breaks, fmt.Sprintf("ROUTE: %s run %d starts on %s at %.3f, where %d of its step run already; anti_affinity is %d",
				s.item, s.number, s.worker, h.rec.seconds(s.at), on, s.kind.spread))
		}
	}
	return breaks
}
