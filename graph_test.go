package chestnutpond_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// Guards against one job that takes the memory of every entry, or whose numbers overflow.
func TestCheck(t *testing.T) {
	cases := map[string]struct {
		change func(g *chestnutpond.Graph)
		want   string
	}{
		"usual":            {func(*chestnutpond.Graph) {}, ""},
		"no steps":         {func(g *chestnutpond.Graph) { g.Steps = nil }, "allowed are 1 to 256"},
		"many steps":       {func(g *chestnutpond.Graph) { g.Steps = make([]chestnutpond.Step, 257) }, "allowed are 1 to 256"},
		"no tasks":         {func(g *chestnutpond.Graph) { g.Steps[0].Count = 0 }, "allowed are 1 to 4096"},
		"many tasks":       {func(g *chestnutpond.Graph) { g.Steps[0].Count = 4097 }, "allowed are 1 to 4096"},
		"repetitions":      {func(g *chestnutpond.Graph) { g.Schedule.Repetitions = 1 << 31 }, "allowed are at most 10000"},
		"negative":         {func(g *chestnutpond.Graph) { g.Schedule.Repetitions = -1 }, "negative"},
		"tasks of all":     {func(g *chestnutpond.Graph) { g.Steps[0].Count, g.Schedule.Repetitions = 1000, 1000 }, "allowed are at most 100000"},
		"negative need":    {func(g *chestnutpond.Graph) { g.Steps[0].Need.CPU = -1 }, "negative"},
		"huge need":        {func(g *chestnutpond.Graph) { g.Steps[0].Need.Memory = 1 << 62 }, "need exceeds"},
		"huge estimate":    {func(g *chestnutpond.Graph) { g.Steps[0].Estimate = 1 << 62 }, "exceeds 8760h"},
		"follows itself":   {func(g *chestnutpond.Graph) { g.Steps[0].After = []int{0} }, "earlier steps"},
		"follows negative": {func(g *chestnutpond.Graph) { g.Steps[0].After = []int{-1} }, "earlier steps"},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			g := chestnutpond.Graph{Steps: []chestnutpond.Step{{Count: 2, Estimate: time.Second}}}
			tt.change(&g)
			err := g.Check()
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

// Guards against addresses that cannot be dialled.
func TestValidAddress(t *testing.T) {
	for address, want := range map[string]bool{
		"10.1.0.19:7000": true, "[::1]:1": true, "host.example:65535": true,
		"10.1.0.19": false, ":7000": false, "10.1.0.19:0": false, "10.1.0.19:65536": false, "10.1.0.19:-1": false,
		"10.1.0.19:http": false, "10.1.0.19 :7000": false, "": false,
	} {
		t.Run(address, func(t *testing.T) { assert.Equal(t, chestnutpond.ValidAddress(address), want) })
	}
}
