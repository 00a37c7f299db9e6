package demo

import (
	"context"
	"fmt"
	"sort"
	"time"
)

// pollEvery is the pause between two looks at a state that is waited for.
const pollEvery = 50 * time.Millisecond

// play is the course of the demo.
func (d *deployment) play(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		d.publish, d.requests, d.borrow, d.reclaim, d.cancel, d.timeline,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) publish(ctx context.Context) error {
	d.title("Configuration")
	version, err := d.caller.publish(ctx, d.documentText())
	if err != nil {
		return err
	}
	err = d.until(ctx, "the document is in force everywhere", func() bool {
		for _, a := range d.agents {
			if a.ConfigVersion() != version || !a.Ready() {
				return false
			}
		}
		return d.entry.ConfigVersion() == version
	})
	d.say("version %d is in force in 1 entry and %d agents", version, len(d.agents))
	return err
}

func (d *deployment) requests(ctx context.Context) error {
	d.title("Requests")
	for _, r := range []struct{ token, kind, key string }{
		{salesToken, "price_list", ""},
		{stockToken, "price_list", ""},
		{salesToken, "place_order", "order-1"},
		{salesToken, "place_order", "order-1"},
	} {
		answer, err := d.caller.request(ctx, r.token, r.kind, r.key)
		if err != nil {
			return err
		}
		d.say("%-12s key %-8q %s by %s", r.kind, r.key, answer.outcome, answer.upstream)
	}
	d.say("the repeated order got the first one's answer and ran once")
	return nil
}

// borrow lets one account use the accelerators that another is guaranteed.
func (d *deployment) borrow(ctx context.Context) error {
	d.title("Borrowing")
	for i := range 2 {
		id, err := d.caller.submit(ctx, stockToken, "forecast", 24, "rack", "1m", fmt.Sprint("forecast-", i))
		if err != nil {
			return err
		}
		if err := d.untilState(ctx, id, "running"); err != nil {
			return err
		}
		d.forecasts = append(d.forecasts, id)
		d.say("forecast %s runs on 24 accelerators, a whole rack", id)
	}
	return nil
}

// reclaim claims the guarantee while all accelerators are lent out.
func (d *deployment) reclaim(ctx context.Context) error {
	d.title("Reclaiming a guarantee")
	began := time.Now()
	id, err := d.caller.submit(ctx, salesToken, "pricing_run", 16, "rack", "300ms", "pricing-1")
	if err != nil {
		return err
	}
	if err := d.untilState(ctx, id, "running", "completed"); err != nil {
		return err
	}
	d.say("pricing run %s, a gang of two workers, runs %d ms after its claim", id, time.Since(began).Milliseconds())
	if err := d.untilState(ctx, id, "completed"); err != nil {
		return err
	}
	job, err := d.caller.job(ctx, operatorToken, id)
	if err != nil {
		return err
	}
	d.say("pricing run %s is %s after %d attempt", id, job.State, job.Attempt)
	return nil
}

// cancel ends the forecasts, so that the processes have nothing to hand over.
func (d *deployment) cancel(ctx context.Context) error {
	d.title("Cancelling")
	for _, id := range d.forecasts {
		if err := d.caller.cancel(ctx, stockToken, id); err != nil {
			return err
		}
		if err := d.untilState(ctx, id, "cancelled"); err != nil {
			return err
		}
		d.say("forecast %s is cancelled", id)
	}
	return nil
}

func (d *deployment) timeline(ctx context.Context) error {
	d.title("Time line of the jobs")
	list, err := d.caller.events(ctx)
	if err != nil {
		return err
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
	for _, e := range list {
		if e.Job == "" {
			continue
		}
		d.say("%s  %-9s %-12s %s.%d  %s", e.At.Format("15:04:05.000"), e.Process, e.Kind, e.Job, e.Attempt, e.Detail)
	}
	return nil
}

func (d *deployment) untilState(ctx context.Context, id string, states ...string) error {
	return d.until(ctx, fmt.Sprintf("job %s is %v", id, states), func() bool {
		job, err := d.caller.job(ctx, operatorToken, id)
		if err != nil {
			return false
		}
		for _, s := range states {
			if job.State == s {
				return true
			}
		}
		return false
	})
}

func (d *deployment) until(ctx context.Context, what string, reached func() bool) error {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !reached() {
		select {
		case <-ctx.Done():
			return Error.New("not reached in time: %s", what)
		case <-ticker.C:
		}
	}
	return nil
}
