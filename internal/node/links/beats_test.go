package links

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// counted is a leader that breaks each stream after so many beats.
type counted struct {
	inner.UnimplementedAgentServer

	breaks                      int
	opened, closed, beats, last atomic.Int64
}

func (c *counted) Beats(stream grpc.BidiStreamingServer[inner.BeatsRequest, inner.BeatsReply]) error {
	c.opened.Add(1)
	defer c.closed.Add(1)
	var beat *inner.BeatRequest
	for range c.breaks {
		req, err := stream.Recv()
		if err != nil {
			return err
		}
		beat = Whole(req, beat)
		c.beats.Add(1)
		c.last.Store(beat.GetSequence())
		if err := stream.Send(&inner.BeatsReply{Go: beat.GetJob() == "j" && beat.GetAgent() == "a"}); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a stream for each beat, a beat that is lost because the stream
// broke after the beat before it, and a stream that stays when its task is over.
func TestBeatsShareAStream(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	leader, server := &counted{breaks: 4}, grpc.NewServer()
	inner.RegisterAgentServer(server, leader)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	d := New(nil)
	defer d.Close()
	for i := range int64(10) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		reply, err := d.Beat(ctx, listener.Addr().String(), &inner.BeatRequest{Job: "j", Agent: "a", Sequence: i + 1})
		cancel()
		assert.NilError(t, err)
		assert.Assert(t, reply.GetGo(), "the stream forgot who beats")
	}
	assert.DeepEqual(t, []int64{leader.opened.Load(), leader.beats.Load(), leader.last.Load()}, []int64{3, 10, 10})
	d.Sweep(time.Now())
	assert.Equal(t, leader.closed.Load(), int64(2))
	for _, c := range d.conns {
		c.used = c.used.Add(time.Hour)
	}
	d.Sweep(time.Now().Add(IdleLimit))
	for deadline := time.Now().Add(20 * time.Second); leader.closed.Load() < 3; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the stream stays open")
	}
}

// Guards against a time that makes a gang live longer than it does: what a
// stream cuts off errs towards stopping, by less than a millisecond.
func TestTimesErrTowardsStopping(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.Int64Range(0, int64(time.Hour))
		echo, since, oldest, stamp := times.Draw(t, "echo"), times.Draw(t, "since"), times.Draw(t, "oldest"), times.Draw(t, "stamp")
		beat := &inner.BeatRequest{Job: "j", Attempt: 2, Echo: echo, Since: durationpb.New(time.Duration(since)), Sequence: 3, Saved: true}
		got := Whole(Short(beat, false), beat)
		lost := func(lost int64) { assert.Assert(t, lost >= 0 && lost < int64(time.Millisecond), lost) }
		lost(echo - got.GetEcho())
		lost(since - int64(got.GetSince().AsDuration()))
		assert.Assert(t, got.GetJob() == "j" && got.GetAttempt() == 2 && got.GetSequence() == 3 && got.GetSaved())
		reply := WholeReply(ShortReply(&inner.BeatReply{Stop: true, Reason: "r", Oldest: durationpb.New(time.Duration(oldest)), Stamp: stamp}))
		lost(int64(reply.GetOldest().AsDuration()) - oldest)
		lost(stamp - reply.GetStamp())
		assert.Assert(t, reply.GetStop() && reply.GetReason() == "r" && !reply.GetGo())
	})
}
