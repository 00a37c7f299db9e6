package plan

import (
	"math"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/learn"
)

const (
	// gangSpread and stepSpread are the standard deviations of the logarithm of the
	// durations within a gang and within another step. Measured on deployments A and B are
	// 0.00 to 0.03, and 0.27 to 0.47 for bulk.
	gangSpread = 0.05
	stepSpread = 0.35
	// estimateSpread is the deviation that is assumed of callers' estimates of which
	// nothing has been learned. Measured are 0.33 to 1.35.
	estimateSpread = 0.6
	// minStepSpread is the lower bound of the deviation between steps.
	minStepSpread = 0.1
	// minShownPercent is the progress from which on a run shows how long its task takes.
	// Workers report whole percents, every 0.4 s.
	minShownPercent = 10
	// stoppedWeight is the weight of the first stopped run of a task and of its completed
	// run after that, so that a task that was stopped counts once in all.
	stoppedWeight = 0.5
)

// evidence is what runs of a step show of its durations.
type evidence struct {
	runs int
	// logs is the sum of the logarithms of the durations in seconds.
	logs float64
}

// with returns the evidence with a further duration.
func (e evidence) with(d time.Duration) evidence {
	if d <= 0 {
		return e
	}
	return evidence{runs: e.runs + 1, logs: e.logs + math.Log(d.Seconds())}
}

// spread returns the standard deviation of the logarithm of the step's durations.
func (s *step) spread() float64 {
	if s.def.Gang {
		return gangSpread
	}
	return stepSpread
}

// evidence returns what the completed, running and stopped runs of the step show.
func (s *step) evidence() evidence {
	e := s.finished
	for _, t := range s.tasks {
		if t.phase == taskDone {
			continue
		}
		shown := t.shown
		if t.current != nil {
			if d, ok := t.current.shownDuration(); ok {
				shown = d
			}
		}
		e = e.with(shown)
	}
	return e
}

// shownDuration returns the duration of the whole task that the run's progress implies;
// false if it has made too little.
func (r *run) shownDuration() (time.Duration, bool) {
	each, ok := r.timePerPercent()
	if !ok || r.phase != runSeen || r.percent-r.basePercent < minShownPercent {
		return 0, false
	}
	return 100 * each, true
}

// adopted reports whether a former leader ordered the run, whose beginning this planner has
// not seen.
func (r *run) adopted() bool { return r.batch == 0 }

// predictLearned returns how long a task of the step is expected to run, by the model and
// by what runs of the step show.
func (p *Planner) predictLearned(s *step) time.Duration {
	class := chestnutpond.ClassOf(s.occurrence.job.graph, s.def)
	learned, e := p.model.Predict(class), s.evidence()
	if e.runs == 0 {
		return learned.Mean()
	}
	mean, inside := e.logs/float64(e.runs), s.spread()*s.spread()
	variance := inside / float64(e.runs)
	if learned.Median > 0 {
		deviation := learned.Deviation()
		if learned.Samples == 0 {
			deviation = estimateSpread
		}
		between := max(deviation*deviation-inside, minStepSpread*minStepSpread)
		mean = (variance*math.Log(learned.Median.Seconds()) + between*mean) / (variance + between)
		variance = variance * between / (variance + between)
	}
	// The mean of a log-normal distribution.
	return chestnutpond.NewPrediction(mean, math.Sqrt(variance+inside), float64(e.runs)).Mean()
}

// learnDone learns from a completed run that was not started from a checkpoint. The
// members of a gang end together, and only the first of them gets here.
func (p *Planner) learnDone(now time.Duration, r *run, took time.Duration) {
	s := r.task.step
	sample := chestnutpond.DurationSample{Duration: took, At: now, Weight: s.sampleWeight(), LowerBound: r.adopted()}
	if s.def.Gang {
		sample.Weight = 1
	}
	if r.task.bounded {
		sample.Weight *= stoppedWeight
	}
	class := chestnutpond.ClassOf(r.job().graph, s.def)
	if !sample.LowerBound {
		s.finished = s.finished.with(took)
		if learned := p.model.Predict(class); learned.Samples > 0 {
			p.note(Note{Kind: NotePredicted, Job: r.job().graph.ID, Queue: class.Queue, Took: took, Prediction: learned})
		}
	}
	p.learnFrom(class, sample)
}

// sampleWeight returns the weight of one task's run. The durations within a step depend on
// each other, so its tasks together weigh less than their number.
func (s *step) sampleWeight() float64 {
	if s.def.Gang {
		return 1 / float64(len(s.tasks))
	}
	return 1 / math.Sqrt(float64(len(s.tasks)))
}

// learnStopped learns from a run that was stopped or lost: its progress implies the
// duration of its task, and its time up to the last progress is a lower bound. Time without
// progress shows a fault of the worker, or a gang that is not complete.
func (p *Planner) learnStopped(_ time.Duration, r *run, ending chestnutpond.RunOutcome) {
	t := r.task
	interrupted := ending == chestnutpond.RunStopped || ending == chestnutpond.RunLeaseExpired
	if p.model == nil || !interrupted || r.phase != runSeen || t.step.def.Perpetual || t.step.def.Filler {
		return
	}
	if shown, ok := r.shownDuration(); ok {
		t.shown = shown
		delete(p.predictions, t.step)
	}
	if t.bounded || r.checkpoint != "" || r.percent <= r.basePercent || r.progressAt <= r.seen {
		return
	}
	t.bounded = true
	p.learnFrom(chestnutpond.ClassOf(r.job().graph, t.step.def), chestnutpond.DurationSample{
		Duration: r.progressAt - r.seen, LowerBound: true, At: r.progressAt, Weight: stoppedWeight * t.step.sampleWeight(),
	})
}

// learnFrom adds a sample to the model.
func (p *Planner) learnFrom(c chestnutpond.TaskClass, s chestnutpond.DurationSample) {
	if p.trial != nil {
		// The model is shared with the planner that was copied.
		return
	}
	p.model.Observe(c, s)
	p.learnedMore = true
	clear(p.predictions)
}

// LoadLearned replaces the model by that of a record, whose age is counted by the wall
// clock. After an error the planner predicts by callers' estimates.
func (p *Planner) LoadLearned(value []byte, wall time.Time) error {
	if p.model == nil || len(value) == 0 {
		return nil
	}
	model, err := learn.Decode(learn.Config{}, value, p.cfg.ClaimedAt, wall)
	if err != nil {
		return err
	}
	p.model = model
	clear(p.predictions)
	return nil
}

// TakeLearned returns the record of the model, of at most limit bytes; nil if it has
// learned nothing since the last call.
func (p *Planner) TakeLearned(now time.Duration, wall time.Time, limit int) ([]byte, error) {
	if p.model == nil || !p.learnedMore {
		return nil, nil
	}
	p.learnedMore = false
	return p.model.Encode(now, wall, limit)
}

// LearnedGroups returns the number of groups that the model keeps.
func (p *Planner) LearnedGroups() int {
	if p.model == nil {
		return 0
	}
	return p.model.Groups()
}
