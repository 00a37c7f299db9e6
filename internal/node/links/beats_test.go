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

// countingLeader is a leader that ends each stream after beatsPerStream heartbeats.
type countingLeader struct {
	inner.UnimplementedAgentServer

	beatsPerStream              int
	opened, closed, beats, last atomic.Int64
}

func (c *countingLeader) Beats(stream grpc.BidiStreamingServer[inner.BeatsRequest, inner.BeatsReply]) error {
	c.opened.Add(1)
	defer c.closed.Add(1)
	var beat *inner.BeatRequest
	for range c.beatsPerStream {
		req, err := stream.Recv()
		if err != nil {
			return err
		}
		beat = ExpandBeat(req, beat)
		c.beats.Add(1)
		c.last.Store(beat.GetSequence())
		if err := stream.Send(&inner.BeatsReply{Go: beat.GetJob() == "j" && beat.GetAgent() == "a"}); err != nil {
			return err
		}
	}
	return nil
}

// Guards against opening a stream for each heartbeat, losing a heartbeat because
// the stream broke after the previous one, and leaking the stream of an ended task.
func TestBeatsShareAStream(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	leader, server := &countingLeader{beatsPerStream: 4}, grpc.NewServer()
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
		assert.Assert(t, reply.GetGo(), "the stream lost the identity of the member")
	}
	assert.DeepEqual(t, []int64{leader.opened.Load(), leader.beats.Load(), leader.last.Load()}, []int64{3, 10, 10})
	d.Sweep(time.Now())
	assert.Equal(t, leader.closed.Load(), int64(2))
	for _, c := range d.conns {
		c.lastUsed = c.lastUsed.Add(time.Hour)
	}
	d.Sweep(time.Now().Add(IdleLimit))
	for deadline := time.Now().Add(20 * time.Second); leader.closed.Load() < 3; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the idle stream was not closed")
	}
}

// Guards against rounding that extends a lease: times on a stream are rounded
// towards an earlier expiry, by less than a millisecond.
func TestTimesRoundTowardsExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.Int64Range(0, int64(time.Hour))
		echo, since, oldest, stamp := times.Draw(t, "echo"), times.Draw(t, "since"), times.Draw(t, "oldest"), times.Draw(t, "stamp")
		beat := &inner.BeatRequest{Job: "j", Attempt: 2, Echo: echo, Since: durationpb.New(time.Duration(since)), Sequence: 3, Saved: true}
		got := ExpandBeat(CompactBeat(beat, false), beat)
		checkLoss := func(lost int64) { assert.Assert(t, lost >= 0 && lost < int64(time.Millisecond), lost) }
		checkLoss(echo - got.GetEcho())
		checkLoss(since - int64(got.GetSince().AsDuration()))
		assert.Assert(t, got.GetJob() == "j" && got.GetAttempt() == 2 && got.GetSequence() == 3 && got.GetSaved())
		reply := ExpandReply(CompactReply(&inner.BeatReply{Stop: true, Reason: "r", Oldest: durationpb.New(time.Duration(oldest)), Stamp: stamp}))
		checkLoss(int64(reply.GetOldest().AsDuration()) - oldest)
		checkLoss(stamp - reply.GetStamp())
		assert.Assert(t, reply.GetStop() && reply.GetReason() == "r" && !reply.GetGo())
	})
}
