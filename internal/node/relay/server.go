package relay

import (
	"context"
	"errors"
	"time"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Server forwards calls from other processes to the store. It uses only the direct
// route, which rules out forwarding loops.
type Server struct {
	inner.UnimplementedRelayServer

	direct chestnutpond.Store
}

// NewServer returns a server that forwards calls to direct.
func NewServer(direct chestnutpond.Store) *Server { return &Server{direct: direct} }

// Append implements inner.RelayServer.
func (s *Server) Append(ctx context.Context, r *inner.RelayAppendRequest) (*inner.RelayAppendReply, error) {
	a := chestnutpond.KeyedAppend{Records: decodeRecords(r.GetRecords()), CheckEnd: r.GetOnlyAt(), ExpectedEnd: r.GetAt()}
	if p := r.GetProducer(); p != nil {
		a.Producer = &chestnutpond.Producer{Name: p.GetName(), Epoch: p.GetEpoch(), Sequence: p.GetSequence()}
	}
	first, err := s.direct.Append(ctx, chestnutpond.Topic(r.GetTopic()), a)
	if err != nil {
		name, detail, end := encodeFault(err)
		return &inner.RelayAppendReply{Fault: name, Detail: detail, End: end}, nil
	}
	return &inner.RelayAppendReply{First: first}, nil
}

// Read implements inner.RelayServer.
func (s *Server) Read(ctx context.Context, r *inner.RelayReadRequest) (*inner.RelayReadReply, error) {
	wait := time.Duration(r.GetWaitMs()) * time.Millisecond
	batch, err := s.direct.Read(ctx, chestnutpond.Topic(r.GetTopic()), r.GetFrom(), wait)
	var trimmed *chestnutpond.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		return &inner.RelayReadReply{Trimmed: true, First: trimmed.First}, nil
	case err != nil:
		name, detail, _ := encodeFault(err)
		return &inner.RelayReadReply{Fault: name, Detail: detail}, nil
	}
	return &inner.RelayReadReply{Records: encodeRecords(batch.Records), First: batch.First, End: batch.End}, nil
}

// Newest implements inner.RelayServer.
func (s *Server) Newest(ctx context.Context, r *inner.RelayNewestRequest) (*inner.RelayNewestReply, error) {
	page, err := s.direct.Newest(ctx, chestnutpond.Topic(r.GetTopic()), r.GetAfter())
	if err != nil {
		name, detail, _ := encodeFault(err)
		return &inner.RelayNewestReply{Fault: name, Detail: detail}, nil
	}
	return &inner.RelayNewestReply{Records: encodeRecords(page.Records), More: page.More, End: page.End}, nil
}

// encodeFault returns the fault, detail and end offset that a reply carries for err.
func encodeFault(err error) (string, string, int64) {
	var failed *chestnutpond.StoreError
	if errors.As(err, &failed) {
		return string(failed.Fault), failed.Error(), failed.End
	}
	return string(chestnutpond.StoreInDoubt), err.Error(), 0
}
