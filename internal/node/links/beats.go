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

// Short returns a beat as it goes over a stream. The first one of a stream has
// it whole. Times are cut to milliseconds, so that the leader takes the beat for
// older than it is and never for younger.
func Short(beat *inner.BeatRequest, begins bool) *inner.BeatsRequest {
	if begins {
		return &inner.BeatsRequest{First: beat}
	}
	return &inner.BeatsRequest{
		State: beat.GetState(), Sequence: beat.GetSequence(), Saved: beat.GetSaved(),
		EchoMs: beat.GetEcho() / int64(time.Millisecond), SinceMs: beat.GetSince().AsDuration().Milliseconds(),
	}
}

// Whole returns the beat that a message stands for. first is the first one of
// the stream, nil before it; the result is nil if that is missing.
func Whole(req *inner.BeatsRequest, first *inner.BeatRequest) *inner.BeatRequest {
	if req.GetFirst() != nil || first == nil {
		return req.GetFirst()
	}
	beat := proto.Clone(first).(*inner.BeatRequest)
	beat.State, beat.Sequence, beat.Saved = req.GetState(), req.GetSequence(), req.GetSaved()
	beat.Echo = req.GetEchoMs() * int64(time.Millisecond)
	beat.Since = durationpb.New(time.Duration(req.GetSinceMs()) * time.Millisecond)
	return beat
}

// ShortReply returns an answer as it goes over a stream. The age is rounded up,
// and the stamp down, so that members take the gang for older than it is.
func ShortReply(reply *inner.BeatReply) *inner.BeatsReply {
	return &inner.BeatsReply{
		Go: reply.GetGo(), Stop: reply.GetStop(), Reason: reply.GetReason(), Done: reply.GetDone(), Saved: reply.GetSaved(),
		OldestMs: (reply.GetOldest().AsDuration() + time.Millisecond - 1).Milliseconds(),
		StampMs:  reply.GetStamp() / int64(time.Millisecond),
	}
}

// WholeReply returns the answer that a message stands for.
func WholeReply(reply *inner.BeatsReply) *inner.BeatReply {
	return &inner.BeatReply{
		Go: reply.GetGo(), Stop: reply.GetStop(), Reason: reply.GetReason(), Done: reply.GetDone(), Saved: reply.GetSaved(),
		Oldest: durationpb.New(time.Duration(reply.GetOldestMs()) * time.Millisecond),
		Stamp:  reply.GetStampMs() * int64(time.Millisecond),
	}
}

// member identifies one member of a gang, which sends its beats one by one.
type member struct {
	job     string
	attempt int64
	number  int32
}

// beats is the stream of one member to its leader. An answer follows each beat,
// so that a call waits for one message.
type beats struct {
	// ctx is that of the stream, which outlives the call that opens it.
	ctx    context.Context
	cancel context.CancelFunc
	// used is guarded by the Dialer's lock.
	used time.Time
	// stream belongs to the member; it is nil before the first beat.
	stream grpc.BidiStreamingClient[inner.BeatsRequest, inner.BeatsReply]
}

// Beat sends one beat to the leader at an address. Beats of a member go over one
// stream, because a call for each has twice the bytes. A beat whose stream broke
// since the last one is sent again at once, on a new stream.
func (d *Dialer) Beat(ctx context.Context, address string, beat *inner.BeatRequest) (*inner.BeatReply, error) {
	for {
		c, err := d.get(address)
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

// beat sends a beat on a connection and reports whether its stream was in use
// before.
func (d *Dialer) beat(ctx context.Context, c *conn, beat *inner.BeatRequest) (_ *inner.BeatReply, reused bool, _ error) {
	client, key := inner.NewAgentClient(c.client), member{beat.GetJob(), beat.GetAttempt(), beat.GetMember()}
	s, reused := d.lookup(c, key)
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
		c.callsOnly, reused = true, true
	}
	return nil, reused, err
}

// lookup returns the stream of a member and whether it was in use before. There
// is none if the leader knows single calls only.
func (d *Dialer) lookup(c *conn, key member) (_ *beats, reused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.callsOnly {
		return nil, false
	}
	s, reused := c.streams[key]
	if !reused {
		s = &beats{}
		s.ctx, s.cancel = context.WithCancel(context.Background())
		c.streams[key] = s
	}
	s.used = time.Now()
	return s, reused
}

// exchange sends a beat and waits for its answer. The stream is of no use after
// an error.
func (s *beats) exchange(ctx context.Context, client inner.AgentClient, beat *inner.BeatRequest) (*inner.BeatReply, error) {
	defer context.AfterFunc(ctx, s.cancel)()
	begins := s.stream == nil
	var err error
	if begins {
		s.stream, err = client.Beats(s.ctx)
	}
	if err == nil {
		err = s.stream.Send(Short(beat, begins))
	}
	var reply *inner.BeatsReply
	if err == nil || errors.Is(err, io.EOF) {
		// After the end of the stream Recv has its status.
		reply, err = s.stream.Recv()
	}
	switch {
	case err == nil:
		return WholeReply(reply), nil
	case ctx.Err() != nil:
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	return nil, err
}
