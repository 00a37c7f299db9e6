package lead

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

const (
	// probeInterval is the time between two probes of the leader.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds a probe; between regions a probe takes 20 ms.
	probeTimeout = 600 * time.Millisecond
	// probeConnection is the use under which the mesh keeps connections for probes.
	probeConnection = "probe"
	// refusedProbesThreshold is how many consecutive probes must be refused before
	// the leader's host counts as refusing connections. A single probe may fail
	// because a connection was reset.
	refusedProbesThreshold = 2
)

// prober checks whether the leader's process is alive. It detects a killed process
// sooner than the absence of leader records does.
type prober struct {
	manager *Manager
	refused int
	epoch   int64
}

func (p *prober) loop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.probe(ctx)
		}
	}
}

// probe sends one probe and records its result.
func (p *prober) probe(ctx context.Context) {
	m := p.manager
	m.mu.Lock()
	leader := m.table.Leader()
	leading := m.term != nil
	m.mu.Unlock()
	if leading || leader.GetEpoch() == 0 || leader.GetReleased() || leader.GetEntry().GetName() == m.cfg.Self.GetName() {
		return
	}
	if leader.GetEpoch() != p.epoch {
		p.refused, p.epoch = 0, leader.GetEpoch()
	}
	address := leader.GetEntry().GetAddress()
	conn, err := m.cfg.Mesh.Conn(address, probeConnection)
	if err != nil {
		m.cfg.Log.Error("cannot create a connection to the leader", "error", err)
		return
	}
	sent := m.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := inner.NewLeadClient(conn).Probe(ctx, &inner.ProbeRequest{
		Entry: m.cfg.Self.GetName(), Epoch: leader.GetEpoch(),
	})
	if status.Code(err) == codes.DeadlineExceeded {
		m.cfg.Mesh.Replace(address, probeConnection, conn)
	}
	now := m.cfg.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.Leader().GetEpoch() != p.epoch {
		return
	}
	switch {
	case err == nil && reply.GetBoot() != leader.GetBoot():
		if !m.suspicion.restarted {
			m.suspicion.restarted, m.suspicion.refusedSince = true, now
			m.wakeUp()
		}
	case err == nil:
		p.refused, m.suspicion.refusedSince, m.suspicion.unansweredSince = 0, 0, 0
	case status.Code(err) == codes.Unavailable && m.cfg.Mesh.Refused(address):
		p.refused++
		if p.refused >= refusedProbesThreshold && m.suspicion.refusedSince == 0 {
			m.suspicion.refusedSince = now
			m.wakeUp()
		}
	case m.suspicion.unansweredSince == 0:
		m.suspicion.unansweredSince = sent
	}
}

// Probe implements inner.LeadServer.
func (m *Manager) Probe(_ context.Context, _ *inner.ProbeRequest) (*inner.ProbeReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &inner.ProbeReply{
		Entry: m.cfg.Self.GetName(), Boot: m.cfg.Boot, Epoch: m.table.Leader().GetEpoch(),
		Leads: m.term != nil, Agents: m.reportingAgents(),
	}, nil
}
