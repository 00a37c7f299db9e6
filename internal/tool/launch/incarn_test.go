package launch

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

type fixedEntry struct {
	inner.UnimplementedEntryServer

	last int64
}

func (e fixedEntry) LastIncarnation(
	context.Context, *inner.LastIncarnationRequest,
) (*inner.LastIncarnationReply, error) {
	return &inner.LastIncarnationReply{Incarnation: e.last}, nil
}

// TestNextIncarnation guards against a restarted process that others take for
// an older one, because its host's clock went back.
func TestNextIncarnation(t *testing.T) {
	ahead := time.Now().Add(time.Hour).UnixMilli()
	tests := map[string]struct {
		last  []int64
		least int64
	}{
		"no entry":              {nil, time.Now().UnixMilli()},
		"unknown name":          {[]int64{0}, time.Now().UnixMilli()},
		"earlier start":         {[]int64{5}, time.Now().UnixMilli()},
		"clock went back":       {[]int64{ahead}, ahead + 1},
		"highest of two counts": {[]int64{5, ahead}, ahead + 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			addresses := []string{"127.0.0.1:1"}
			for _, last := range tc.last {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				server := grpc.NewServer()
				inner.RegisterEntryServer(server, fixedEntry{last: last})
				go func() { _ = server.Serve(listener) }()
				defer server.Stop()
				addresses = append(addresses, listener.Addr().String())
			}
			got := nextIncarnation(t.Context(), "a", addresses, nil)
			assert.Assert(t, got >= tc.least)
			assert.Assert(t, got <= max(tc.least, time.Now().UnixMilli())+1)
		})
	}
}
