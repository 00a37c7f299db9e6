package fcast

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// MaxDigestBytes is the maximum size of an encoded digest. The classes with the smallest
// delays, and then half of the accounts at a time, are left out of a larger one; their jobs
// are accepted.
const MaxDigestBytes = 4096

// Encode returns the message of the digest.
func (d Digest) Encode() *inner.ForecastDigest {
	m := d.encode()
	for proto.Size(m) > MaxDigestBytes {
		d = d.WithoutSmallestDelay()
		m = d.encode()
	}
	return m
}

func (d Digest) encode() *inner.ForecastDigest {
	m := &inner.ForecastDigest{ComputedMs: d.Computed.UnixMilli()}
	for _, q := range d.Queues {
		row := &inner.ForecastQueueRow{Queue: q.Name, DurationMs: q.Duration.Milliseconds(), Capacity: vector(q.Capacity)}
		for _, c := range q.Classes {
			row.Classes = append(row.Classes, &inner.ForecastClassRow{
				Need: vector(c.Need), Width: int32(c.Width), Gang: c.Gang, SameRack: c.SameRack,
				FirstMs: c.First.Milliseconds(), LastMs: c.Last.Milliseconds(), LateLastMs: c.LateLast.Milliseconds(),
			})
		}
		m.Queues = append(m.Queues, row)
	}
	for _, a := range d.Accounts {
		m.Accounts = append(m.Accounts, &inner.ForecastAccountRow{Account: a.Account, Urgent: a.Accelerators})
	}
	return m
}

// Decode returns the digest of a message.
func Decode(m *inner.ForecastDigest) Digest {
	d := Digest{Computed: time.UnixMilli(m.GetComputedMs())}
	for _, row := range m.GetQueues() {
		q := Queue{Name: row.GetQueue(), Duration: milliseconds(row.GetDurationMs()), Capacity: resources(row.GetCapacity())}
		for _, c := range row.GetClasses() {
			q.Classes = append(q.Classes, Class{
				Shape: Shape{
					Need: resources(c.GetNeed()), Width: int(c.GetWidth()), Gang: c.GetGang(), SameRack: c.GetSameRack(),
				},
				First: milliseconds(c.GetFirstMs()), Last: milliseconds(c.GetLastMs()), LateLast: milliseconds(c.GetLateLastMs()),
			})
		}
		d.Queues = append(d.Queues, q)
	}
	for _, a := range m.GetAccounts() {
		d.Accounts = append(d.Accounts, AccountUse{Account: a.GetAccount(), Accelerators: a.GetUrgent()})
	}
	return d
}

func vector(r chestnutpond.Resources) *inner.Vector {
	return &inner.Vector{MilliCpu: int64(r.CPU), MemoryMib: int64(r.Memory), Accelerators: r.Accelerators}
}

func resources(v *inner.Vector) chestnutpond.Resources {
	return chestnutpond.Resources{
		CPU: chestnutpond.MilliCPU(v.GetMilliCpu()), Memory: chestnutpond.MiB(v.GetMemoryMib()), Accelerators: v.GetAccelerators(),
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
