package runner

import (
	"errors"
	"time"

	"github.com/chestnutpond/chestnutpond"
)

// leaseBound is a bound on the worker's lease: the time at which it has certainly expired. A
// call that renews the lease counts from before it is made until it is known that it was
// never sent. The agent's lock guards it.
type leaseBound struct {
	// end is the expiry of the leases whose renewals the worker may have received.
	end time.Duration
	// calls has the expiry that each renewal in progress would set.
	calls map[renewal]time.Duration
	// last is the newest renewal.
	last renewal
}

// renewal identifies a call that renews the lease.
type renewal int64

func newLeaseBound(end time.Duration) *leaseBound {
	return &leaseBound{end: end, calls: map[renewal]time.Duration{}}
}

// begin records that a call is about to renew the lease until the given time.
func (b *leaseBound) begin(until time.Duration) renewal {
	b.last++
	b.calls[b.last] = until + leaseMargin
	return b.last
}

// finish records the result of the call. A renewal of another incarnation of the worker has
// no effect.
func (b *leaseBound) finish(r renewal, err error) {
	if !isNotSent(err) {
		b.end = max(b.end, b.calls[r])
	}
	delete(b.calls, r)
}

// expiry returns the time at which the lease has certainly expired.
func (b *leaseBound) expiry() time.Duration {
	expiry := b.end
	for _, until := range b.calls {
		expiry = max(expiry, until)
	}
	return expiry
}

// isNotSent reports whether the error means that the worker cannot have received the call.
func isNotSent(err error) bool {
	var notSent *chestnutpond.NotSentError
	return errors.As(err, &notSent)
}
