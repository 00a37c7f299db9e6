package stand

import (
	"context"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// FreshCaller reads over new connections on a caller's way, so that none is stale.
type FreshCaller struct{ *StoreCaller }

// Read implements chestnutpond.Store.
func (c FreshCaller) Read(ctx context.Context, topic chestnutpond.Topic, from int64, wait time.Duration) (chestnutpond.KeyedBatch, error) {
	c.mu.Lock()
	fault, silent := c.fault, c.silent
	c.mu.Unlock()
	if err := fail(ctx, fault, silent); err != nil {
		return chestnutpond.KeyedBatch{}, err
	}
	return c.Store.Read(ctx, topic, from, wait)
}
