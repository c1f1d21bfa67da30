// SPDX-License-Identifier: Apache-2.0

package lifecycle

import "sync"

// Signal notifies any number of waiters of a change. A waiter takes the channel before it
// reads the state that may have changed, so that it misses no change. The zero value is ready
// to use.
//
//	for {
//		changed := s.Changed()
//		... // read the state
//		<-changed
//	}
type Signal struct {
	mutex sync.Mutex
	next  chan struct{}
}

// Changed returns a channel that closes at the next Broadcast.
func (s *Signal) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// Broadcast wakes all waiters.
func (s *Signal) Broadcast() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
