// SPDX-License-Identifier: Apache-2.0

package lifecycle

import "sync"

// Signal tells any number of waiters that something has changed. A waiter takes the
// channel before it looks at what may have changed, so that it misses nothing. The zero
// value is ready.
//
//	for {
//		changed := s.Awaited()
//		... // look
//		<-changed
//	}
type Signal struct {
	mutex sync.Mutex
	next  chan struct{}
}

// Changed returns a channel that closes at the next Tell.
func (s *Signal) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// Broadcast wakes all who wait.
func (s *Signal) Broadcast() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
