package links

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// CompactBeat returns the compact form of a heartbeat for a stream. The first message
// of a stream carries the heartbeat in full. Times are truncated to milliseconds,
// so that the leader may take the heartbeat to be older than it is, never newer.
func CompactBeat(beat *inner.BeatRequest, first bool) *inner.BeatsRequest {
	if first {
		return &inner.BeatsRequest{First: beat}
	}
	return &inner.BeatsRequest{
		State: beat.GetState(), Sequence: beat.GetSequence(), Saved: beat.GetSaved(),
		EchoMs: beat.GetEcho() / int64(time.Millisecond), SinceMs: beat.GetSince().AsDuration().Milliseconds(),
	}
}

// ExpandBeat returns the full heartbeat of a stream message. first is the first
// heartbeat of the stream, nil if none was received; without it, ExpandBeat returns nil
// for a compact message.
func ExpandBeat(req *inner.BeatsRequest, first *inner.BeatRequest) *inner.BeatRequest {
	if req.GetFirst() != nil || first == nil {
		return req.GetFirst()
	}
	beat := proto.Clone(first).(*inner.BeatRequest)
	beat.State, beat.Sequence, beat.Saved = req.GetState(), req.GetSequence(), req.GetSaved()
	beat.Echo = req.GetEchoMs() * int64(time.Millisecond)
	beat.Since = durationpb.New(time.Duration(req.GetSinceMs()) * time.Millisecond)
	return beat
}

// CompactReply returns the compact form of a reply for a stream. The age is rounded
// up and the stamp down, so that members may take the proof that the gang is alive
// to be older than it is, never newer.
func CompactReply(reply *inner.BeatReply) *inner.BeatsReply {
	return &inner.BeatsReply{
		Go: reply.GetGo(), Stop: reply.GetStop(), Reason: reply.GetReason(), Done: reply.GetDone(), Saved: reply.GetSaved(),
		OldestMs: (reply.GetOldest().AsDuration() + time.Millisecond - 1).Milliseconds(),
		StampMs:  reply.GetStamp() / int64(time.Millisecond),
	}
}

// ExpandReply returns the full reply of a stream message.
func ExpandReply(reply *inner.BeatsReply) *inner.BeatReply {
	return &inner.BeatReply{
		Go: reply.GetGo(), Stop: reply.GetStop(), Reason: reply.GetReason(), Done: reply.GetDone(), Saved: reply.GetSaved(),
		Oldest: durationpb.New(time.Duration(reply.GetOldestMs()) * time.Millisecond),
		Stamp:  reply.GetStampMs() * int64(time.Millisecond),
	}
}

// memberKey identifies one member of a gang. A member sends its heartbeats
// sequentially.
type memberKey struct {
	job     string
	attempt int64
	number  int32
}

// beatStream is the heartbeat stream of one member to its leader. Each heartbeat
// is answered by one reply, so that a call waits for one message.
type beatStream struct {
	// ctx is the context of the stream, which outlives the call that opens it.
	ctx    context.Context
	cancel context.CancelFunc
	// lastUsed is guarded by the Dialer's lock.
	lastUsed time.Time
	// stream is used only by the member's goroutine; nil before the first heartbeat.
	stream grpc.BidiStreamingClient[inner.BeatsRequest, inner.BeatsReply]
}

// Beat sends one heartbeat to the leader at an address. The heartbeats of a
// member share one stream, because a call for each takes twice the bytes. If the
// stream broke since the last heartbeat, Beat retries immediately on a new stream.
func (d *Dialer) Beat(ctx context.Context, address string, beat *inner.BeatRequest) (*inner.BeatReply, error) {
	for {
		c, err := d.connTo(address)
		if err != nil {
			return nil, err
		}
		reply, reused, err := d.beat(ctx, c, beat)
		switch status.Code(err) {
		case codes.DeadlineExceeded, codes.Unavailable:
			d.discard(address, c)
		}
		if err == nil || !reused || ctx.Err() != nil {
			return reply, err
		}
	}
}

// beat sends a heartbeat on a connection and reports whether its stream was
// reused.
func (d *Dialer) beat(ctx context.Context, c *conn, beat *inner.BeatRequest) (_ *inner.BeatReply, reused bool, _ error) {
	client, key := inner.NewAgentClient(c.client), memberKey{beat.GetJob(), beat.GetAttempt(), beat.GetMember()}
	s, reused := d.streamFor(c, key)
	if s == nil {
		reply, err := client.Beat(ctx, beat)
		return reply, false, err
	}
	reply, err := s.exchange(ctx, client, beat)
	if err == nil {
		return reply, reused, nil
	}
	s.cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(c.streams, key)
	if status.Code(err) == codes.Unimplemented {
		c.unaryOnly, reused = true, true
	}
	return nil, reused, err
}

// streamFor returns the stream of a member, creating it if needed, and reports
// whether it existed before. It returns nil if the leader supports only unary calls.
func (d *Dialer) streamFor(c *conn, key memberKey) (_ *beatStream, reused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.unaryOnly {
		return nil, false
	}
	s, reused := c.streams[key]
	if !reused {
		s = &beatStream{}
		s.ctx, s.cancel = context.WithCancel(context.Background())
		c.streams[key] = s
	}
	s.lastUsed = time.Now()
	return s, reused
}

// exchange sends a heartbeat and waits for its reply. The stream must not be used
// after an error.
func (s *beatStream) exchange(ctx context.Context, client inner.AgentClient, beat *inner.BeatRequest) (*inner.BeatReply, error) {
	defer context.AfterFunc(ctx, s.cancel)()
	first := s.stream == nil
	var err error
	if first {
		s.stream, err = client.Beats(s.ctx)
	}
	if err == nil {
		err = s.stream.Send(CompactBeat(beat, first))
	}
	var reply *inner.BeatsReply
	if err == nil || errors.Is(err, io.EOF) {
		// After the stream ended, Recv returns its status.
		reply, err = s.stream.Recv()
	}
	switch {
	case err == nil:
		return ExpandReply(reply), nil
	case ctx.Err() != nil:
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	return nil, err
}
