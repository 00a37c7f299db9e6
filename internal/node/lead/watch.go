package lead

import "github.com/chestnutpond/chestnutpond"

// maxWatches bounds the number of jobs that callers wait for at a time.
const maxWatches = 1024

// Watch returns a channel that is closed when a record of the job is applied. While
// too many jobs are watched it returns nil, which is never ready. Unwatch ends the
// watch.
func (m *Manager) Watch(id chestnutpond.JobID) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watches[id] == nil {
		if len(m.watches) >= maxWatches {
			return nil
		}
		m.watches[id] = make(chan struct{})
	}
	return m.watches[id]
}

// Unwatch ends the watches of a job. Callers that still wait for the job are woken
// and check it again.
func (m *Manager) Unwatch(id chestnutpond.JobID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notifyWatch(id)
}

// notifyWatch wakes the callers that wait for a job. The lock is held.
func (m *Manager) notifyWatch(id chestnutpond.JobID) {
	if watch := m.watches[id]; watch != nil {
		close(watch)
		delete(m.watches, id)
	}
}
