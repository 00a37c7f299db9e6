package graphs

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// mostLost is the share of the value by which learning may make a row worse: no deployment
// may fall by 0.03.
const mostLost = 0.03

// Guards against learning that makes jobs late, and against predictions whose 90th percentile
// is far from one. With -v it prints the table of the planner with and without it; with more
// than one seed also of the rows of TestPlanner.
func TestLearning(t *testing.T) {
	rows := LearningRows()
	if *seedsRun > 1 {
		rows = append(rows, Rows()...)
	}
	for _, r := range rows {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			seeds := Seeds[:max(2, *seedsRun)]
			n := float64(len(seeds))
			var value, thrown [2]float64
			var late [2]map[string]int
			var each [2][]float64
			squared, predicted, under := 0.0, 0, 0
			for i, learn := range []bool{false, true} {
				r.Policy.LearnDurations = learn
				late[i] = map[string]int{}
				for _, seed := range seeds {
					got := Run(r, seed)
					assert.Equal(t, got.Unfinished, 0, "seed %d", seed)
					each[i] = append(each[i], got.Value)
					value[i], thrown[i] = value[i]+got.Value/n, thrown[i]+got.Thrown/n
					squared, predicted, under = squared+got.SquaredError, predicted+got.Predicted, under+got.UnderP90
					for kind, jobs := range got.Late {
						late[i][kind] += jobs
					}
				}
			}
			t.Logf("%s: value in time %.3f without, %.3f with; thrown away %.3f, %.3f; late %v, %v; error %.3f, under the 90th percentile %.3f of %d",
				r.Name, value[0], value[1], thrown[0], thrown[1], late[0], late[1],
				math.Sqrt(squared/float64(predicted)), float64(under)/float64(predicted), predicted)
			t.Logf("%s: value by seed %.3f without, %.3f with", r.Name, each[0], each[1])
			share := float64(under) / float64(predicted)
			assert.Assert(t, share >= 0.8 && share <= 0.97, "%.3f of the runs are under the 90th percentile", share)
			assert.Assert(t, value[1] >= value[0]-mostLost, "%.3f with, %.3f without", value[1], value[0])
		})
	}
}
