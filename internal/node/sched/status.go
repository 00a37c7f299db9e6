package sched

import (
	"fmt"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/chestnutpond/chestnutpond"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// Status returns the status of a region, which is empty if this entry does not
// schedule it.
func (m *Manager) Status(name string) *inner.RegionStatusReply {
	r := m.scheduler(name)
	if r == nil {
		return &inner.RegionStatusReply{}
	}
	queued := r.queued()
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &inner.RegionStatusReply{Scheduling: true, Term: r.term, Reasons: make(map[string]string)}
	for _, s := range r.core.Status(m.now()) {
		reply.Accounts = append(reply.Accounts, &inner.AccountStatus{
			Account: s.Account, Guaranteed: int64(s.Guaranteed), Used: int64(s.Used),
			Borrowed: int64(s.Borrowed), Waiting: int64(s.Waiting), Covered: s.Covered,
			Debt: durationpb.New(s.Debt),
		})
	}
	for _, j := range queued {
		if reason, ok := r.core.WaitReason(j.Spec.ID); ok {
			reply.Reasons[string(j.Spec.ID)] = reason
		}
	}
	return reply
}

func taskID(job string, attempt int64, member int32) chestnutpond.TaskID {
	return chestnutpond.TaskID(fmt.Sprintf("%s.%d.%d", job, attempt, member))
}
