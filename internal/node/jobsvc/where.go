package jobsvc

import (
	"context"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/core/graph"
)

var _ chestnutpond.PlacementForecaster = (*Service)(nil)

// Where implements chestnutpond.PlacementForecaster. It stores nothing.
func (f *Service) Where(ctx context.Context, target chestnutpond.RouteTarget, g chestnutpond.Graph) (chestnutpond.PlacementForecast, chestnutpond.CallResult) {
	g.Account, g.Queue, g.Accepted = target.Account, target.Queue.Terms, f.cfg.WallClock()
	record, err := graph.JobRecord(&g)
	if err != nil {
		return chestnutpond.PlacementForecast{}, verdict(chestnutpond.OutcomeRejected, chestnutpond.ReasonBadBody)
	}
	if size := record.Size(); f.cfg.MaxRecord > 0 && size > f.cfg.MaxRecord {
		return chestnutpond.PlacementForecast{}, tooLarge(size, f.cfg.MaxRecord)
	}
	return f.cfg.Lead.ForecastPlacement(ctx, &g)
}

// WhereJob implements chestnutpond.PlacementForecaster.
func (f *Service) WhereJob(ctx context.Context, target chestnutpond.RouteTarget, id chestnutpond.JobID) (chestnutpond.PlacementForecast, chestnutpond.CallResult) {
	if _, v := f.lookup(ctx, target, id); v.Outcome != chestnutpond.OutcomeAnswered {
		return chestnutpond.PlacementForecast{}, v
	}
	return f.cfg.Lead.ForecastJob(ctx, id)
}
