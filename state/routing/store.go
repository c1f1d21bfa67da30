// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

// Store holds the table in force. The zero value holds none.
type Store struct {
	mutex     sync.Mutex
	current   atomic.Pointer[Table]
	confirmed atomic.Pointer[time.Time]
}

// Current returns the table in force, or nil before the first.
func (s *Store) Current() *Table { return s.current.Load() }

// Offer puts a table in force if its version is higher than the current one, and reports
// whether it did.
func (s *Store) Offer(t *Table) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if c := s.current.Load(); c != nil && t.Version() <= c.Version() {
		return false
	}
	s.current.Store(t)
	return true
}

// Confirm notes that at the given time the version in force was the highest accepted one.
// Times before the latest confirmation are ignored.
func (s *Store) Confirm(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if c := s.confirmed.Load(); c == nil || at.After(*c) {
		s.confirmed.Store(&at)
	}
}

// ConfirmedAt returns the latest time at which the table was confirmed to be the highest
// version, or the zero time if it never was.
func (s *Store) ConfirmedAt() time.Time {
	if c := s.confirmed.Load(); c != nil {
		return *c
	}
	return time.Time{}
}
