package runner

import (
	"errors"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutpond/chestnutpond"
)

// Guards against a lease that never expires because of calls that were not sent, and against
// one that counts as expired although a call may have renewed it.
func TestLeaseBound(t *testing.T) {
	const first, later = 6 * time.Second, 9 * time.Second
	notSent := &chestnutpond.NotSentError{Err: syscall.ECONNREFUSED}
	for name, c := range map[string]struct {
		calls func(b *leaseBound)
		want  time.Duration
	}{
		"no call":     {func(*leaseBound) {}, first},
		"in progress": {func(b *leaseBound) { b.begin(later) }, later + leaseMargin},
		"answered":    {func(b *leaseBound) { b.finish(b.begin(later), nil) }, later + leaseMargin},
		"refused": {func(b *leaseBound) {
			b.finish(b.begin(later), &chestnutpond.RefusedError{Refusal: chestnutpond.RefusedCapacity})
		}, later + leaseMargin},
		"not answered": {func(b *leaseBound) { b.finish(b.begin(later), errors.New("time-out")) }, later + leaseMargin},
		"not sent":     {func(b *leaseBound) { b.finish(b.begin(later), notSent) }, first},
		"not sent beside one in progress": {func(b *leaseBound) {
			b.begin(later)
			b.finish(b.begin(later+time.Second), notSent)
		}, later + leaseMargin},
		"shorter":                {func(b *leaseBound) { b.finish(b.begin(time.Second), nil) }, first},
		"of another incarnation": {func(b *leaseBound) { b.finish(renewal(7), nil) }, first},
	} {
		t.Run(name, func(t *testing.T) {
			b := newLeaseBound(first)
			c.calls(b)
			assert.Equal(t, b.expiry(), c.want)
		})
	}
}
