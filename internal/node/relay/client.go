package relay

import (
	"context"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/node/mesh"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Error is the error class of this package.
var Error = errs.Class("relay")

// connUse is the mesh use of the connections for relayed calls.
const connUse = "relay"

// client is a store that forwards calls through another process.
type client struct {
	mesh    *mesh.Mesh
	address string
}

var _ chestnutpond.Store = (*client)(nil)

func (c *client) call(ctx context.Context, f func(inner.RelayClient) error) error {
	conn, err := c.mesh.Conn(c.address, connUse)
	if err != nil {
		return &chestnutpond.StoreError{Fault: chestnutpond.StoreUnavailable, Err: Error.Wrap(err)}
	}
	err = f(inner.NewRelayClient(conn))
	if err == nil {
		return nil
	}
	return c.callError(ctx, conn, err)
}

// callError returns the StoreError for a call that the relay did not answer. After a
// deadline it also replaces the connection, which may be dead.
func (c *client) callError(ctx context.Context, conn *grpc.ClientConn, err error) error {
	fault := chestnutpond.StoreInDoubt
	switch status.Code(err) {
	case codes.Unimplemented:
		fault = chestnutpond.StoreUnavailable
	case codes.DeadlineExceeded:
		if ctx.Err() == context.DeadlineExceeded {
			c.mesh.Replace(c.address, connUse, conn)
		}
	}
	return &chestnutpond.StoreError{Fault: fault, Err: Error.Wrap(err)}
}

// Append implements chestnutpond.Store.
func (c *client) Append(ctx context.Context, topic chestnutpond.Topic, a chestnutpond.KeyedAppend) (int64, error) {
	request := &inner.RelayAppendRequest{
		Topic: string(topic), Records: encodeRecords(a.Records), OnlyAt: a.CheckEnd, At: a.ExpectedEnd,
	}
	if a.Producer != nil {
		request.Producer = &inner.RelayProducer{
			Name: a.Producer.Name, Epoch: a.Producer.Epoch, Sequence: a.Producer.Sequence,
		}
	}
	var reply *inner.RelayAppendReply
	err := c.call(ctx, func(r inner.RelayClient) error {
		got, err := r.Append(ctx, request)
		reply = got
		return err
	})
	if err != nil {
		return 0, err
	}
	if reply.GetFault() != "" {
		return 0, relayedError(reply.GetFault(), reply.GetDetail(), reply.GetEnd())
	}
	return reply.GetFirst(), nil
}

// Read implements chestnutpond.Store.
func (c *client) Read(ctx context.Context, topic chestnutpond.Topic, from int64, wait time.Duration) (chestnutpond.KeyedBatch, error) {
	var reply *inner.RelayReadReply
	err := c.call(ctx, func(r inner.RelayClient) error {
		got, err := r.Read(ctx, &inner.RelayReadRequest{Topic: string(topic), From: from, WaitMs: wait.Milliseconds()})
		reply = got
		return err
	})
	switch {
	case err != nil:
		return chestnutpond.KeyedBatch{}, err
	case reply.GetTrimmed():
		return chestnutpond.KeyedBatch{}, &chestnutpond.TrimmedError{From: from, First: reply.GetFirst()}
	case reply.GetFault() != "":
		return chestnutpond.KeyedBatch{}, relayedError(reply.GetFault(), reply.GetDetail(), 0)
	}
	return chestnutpond.KeyedBatch{
		Records: decodeRecords(reply.GetRecords()), First: reply.GetFirst(), End: reply.GetEnd(),
	}, nil
}

// Newest implements chestnutpond.Store.
func (c *client) Newest(ctx context.Context, topic chestnutpond.Topic, after string) (chestnutpond.KeyedPage, error) {
	var reply *inner.RelayNewestReply
	err := c.call(ctx, func(r inner.RelayClient) error {
		got, err := r.Newest(ctx, &inner.RelayNewestRequest{Topic: string(topic), After: after})
		reply = got
		return err
	})
	switch {
	case err != nil:
		return chestnutpond.KeyedPage{}, err
	case reply.GetFault() != "":
		return chestnutpond.KeyedPage{}, relayedError(reply.GetFault(), reply.GetDetail(), 0)
	}
	return chestnutpond.KeyedPage{
		Records: decodeRecords(reply.GetRecords()), More: reply.GetMore(), End: reply.GetEnd(),
	}, nil
}

func relayedError(name, detail string, end int64) error {
	return &chestnutpond.StoreError{Fault: chestnutpond.StoreFault(name), End: end, Err: Error.New("through a relay: %s", detail)}
}

func encodeRecords(records []chestnutpond.KeyedRecord) []*inner.KeyedRecord {
	out := make([]*inner.KeyedRecord, 0, len(records))
	for _, r := range records {
		out = append(out, &inner.KeyedRecord{Offset: r.Offset, Key: r.Key, Value: r.Value})
	}
	return out
}

func decodeRecords(records []*inner.KeyedRecord) []chestnutpond.KeyedRecord {
	out := make([]chestnutpond.KeyedRecord, 0, len(records))
	for _, r := range records {
		out = append(out, chestnutpond.KeyedRecord{Offset: r.GetOffset(), Key: r.GetKey(), Value: r.GetValue()})
	}
	return out
}
