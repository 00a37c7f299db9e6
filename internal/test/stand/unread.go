package stand

import "github.com/chestnutpond/chestnutpond"

// SetUnreadable makes the reads of a topic fail; the empty topic ends that.
func (s *KeyedStore) SetUnreadable(topic chestnutpond.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreadable = topic
}

// readable returns an error if the reads of a topic fail.
func (s *KeyedStore) readable(topic chestnutpond.Topic) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if topic == s.unreadable {
		return &chestnutpond.StoreError{Fault: chestnutpond.StoreUnavailable}
	}
	return nil
}
