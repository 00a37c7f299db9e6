package entry

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chestnutpond/chestnutpond/internal/core/ledger"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// syncTimeout bounds one request for the state of another entry.
const syncTimeout = 3 * time.Second

// innerServer dispatches gRPC calls of other processes to the components.
type innerServer struct {
	inner.UnimplementedEntryServer

	entry *Entry
}

// Announce implements inner.EntryServer.
func (s *innerServer) Announce(stream grpc.BidiStreamingServer[inner.AnnounceRequest, inner.AnnounceReply]) error {
	return s.entry.group.Announce(stream)
}

// Exchange implements inner.EntryServer.
func (s *innerServer) Exchange(ctx context.Context, req *inner.ExchangeRequest) (*inner.ExchangeReply, error) {
	return s.entry.group.Exchange(ctx, req)
}

// LookupIntent implements inner.EntryServer.
func (s *innerServer) LookupIntent(
	ctx context.Context, req *inner.LookupIntentRequest,
) (*inner.LookupIntentReply, error) {
	return s.entry.serve.LookupIntent(ctx, req)
}

// Sync implements inner.EntryServer.
func (s *innerServer) Sync(context.Context, *inner.SyncRequest) (*inner.SyncReply, error) {
	data, next, err := s.entry.tail.Snapshot()
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &inner.SyncReply{Snapshot: data, NextOffset: next}, nil
}

// Events implements inner.EntryServer.
func (s *innerServer) Events(_ context.Context, req *inner.EventsRequest) (*inner.EventsReply, error) {
	return s.entry.cfg.Events.Reply(req), nil
}

// RegionStatus implements inner.EntryServer.
func (s *innerServer) RegionStatus(
	_ context.Context, req *inner.RegionStatusRequest,
) (*inner.RegionStatusReply, error) {
	return s.entry.sched.Status(req.GetRegion()), nil
}

// LastIncarnation implements inner.EntryServer.
func (s *innerServer) LastIncarnation(
	_ context.Context, req *inner.LastIncarnationRequest,
) (*inner.LastIncarnationReply, error) {
	last := s.entry.group.LastIncarnation(req.GetName())
	s.entry.tail.View(func(st *ledger.State) {
		for _, t := range st.Terms() {
			if t.Holder.Process == req.GetName() {
				last = max(last, t.Holder.Incarnation)
			}
		}
	})
	return &inner.LastIncarnationReply{Incarnation: last}, nil
}

// syncFromPeer returns the newest snapshot of the entries that respond.
func (e *Entry) syncFromPeer(ctx context.Context) ([]byte, error) {
	var newest *inner.SyncReply
	for _, address := range e.entryAddresses() {
		reply, err := e.requestSnapshot(ctx, address)
		if err == nil && (newest == nil || reply.GetNextOffset() > newest.GetNextOffset()) {
			newest = reply
		}
	}
	if newest == nil {
		return nil, Error.New("no other entry returned a snapshot")
	}
	return newest.GetSnapshot(), nil
}

func (e *Entry) requestSnapshot(ctx context.Context, address string) (*inner.SyncReply, error) {
	conn, done, err := e.pool.Get(address)
	if err != nil {
		return nil, err
	}
	defer done()
	sctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	return inner.NewEntryClient(conn).Sync(sctx, &inner.SyncRequest{})
}

// entryAddresses returns the gRPC addresses of the other entries.
func (e *Entry) entryAddresses() []string {
	seen := map[string]bool{e.InnerAddr(): true}
	var list []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			list = append(list, address)
		}
	}
	for _, p := range e.group.Peers() {
		if !p.Lost {
			add(p.Address)
		}
	}
	for _, address := range e.cfg.Entries {
		add(address)
	}
	return list
}

func versionText(v int64) string { return "version " + strconv.FormatInt(v, 10) }
