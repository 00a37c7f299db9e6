package fleet

import (
	"context"
	"time"

	"github.com/oklog/run"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/runner"
)

// leaveDelay is how long a stopping agent keeps running after it has announced that
// it leaves, so that the leader receives the announcement.
const leaveDelay = 150 * time.Millisecond

// AgentConfig configures an Agent.
type AgentConfig struct {
	Base

	// Runner runs tasks on the worker.
	Runner chestnutpond.TaskRunner
	// Service is the worker's service. Reports of workers of other services are refused;
	// empty means that none are.
	Service string
}

// Agent is the sidecar process of a worker.
type Agent struct {
	*process

	side *runner.Agent
}

// NewAgent returns an agent that is ready to run.
func NewAgent(c AgentConfig) *Agent {
	a := &Agent{process: newProcess(c.Base, func() []string { return nil })}
	a.side = runner.New(runner.Config{
		Name: c.Name, Service: c.Service, Boot: a.boot, Zone: c.Zone, Region: c.Region, Address: c.Address,
		Runner: c.Runner, Mesh: a.mesh, Roster: a.roster, Now: c.Now, Log: c.Logs.Logger("agent"), Lease: c.Lease,
		Metrics: a.base.Metrics,
	})
	return a
}

// Reports returns the receiver of the worker's reports.
func (a *Agent) Reports() chestnutpond.WorkerReports { return a.side }

// Run runs the agent until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	log := a.base.Logs.Logger("agent")
	log.Info("process starts", "name", a.base.Name, "boot", a.boot, "zone", a.base.Zone, "address", a.base.Address)
	var g run.Group
	addLoop(ctx, &g, a.side.Run)
	addLoop(ctx, &g, a.entriesFeed().Run)
	a.addServer(&g)
	err := g.Run()
	log.Info("process ends", "error", err)
	return err
}

// Leave announces to the leader that the process is about to stop.
func (a *Agent) Leave() {
	a.base.Logs.Logger("agent").Info("process stops", "name", a.base.Name)
	a.side.Leave()
	time.Sleep(leaveDelay)
}
