// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/internal/lifecycle"
)

// InForce is the table in force together with its confirmation. The zero value holds no table.
type InForce struct {
	table       *Table
	confirmedAt time.Time
}

// Table returns the table, or nil before the first.
func (i InForce) Table() *Table { return i.table }

// ConfirmedAt returns the latest time at which the table was known to be the highest accepted
// version, or the zero time if it never was. It never belongs to a later table: a key that a later
// table withdraws would look confirmed.
func (i InForce) ConfirmedAt() time.Time { return i.confirmedAt }

// Store holds the table in force. The zero value holds none.
type Store struct {
	mutex     sync.Mutex // held while inForce is replaced
	inForce   atomic.Pointer[InForce]
	confirmed lifecycle.Signal // fires when the table in force is confirmed
}

// InForce returns the table in force and its confirmation, read at the same moment.
func (s *Store) InForce() InForce {
	if i := s.inForce.Load(); i != nil {
		return *i
	}
	return InForce{}
}

// Current returns the table in force, or nil before the first.
func (s *Store) Current() *Table { return s.InForce().table }

// ConfirmedAt returns when the table in force was last confirmed. Use InForce for a decision that
// also depends on the table.
func (s *Store) ConfirmedAt() time.Time { return s.InForce().confirmedAt }

// Offer puts a table in force if its version is higher than the current one, and reports
// whether it did.
func (s *Store) Offer(t *Table) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.InForce()
	if current.table != nil && t.Version() <= current.table.Version() {
		return false
	}
	s.inForce.Store(&InForce{table: t, confirmedAt: current.confirmedAt})
	return true
}

// Confirm notes that at the given time the version in force was the highest accepted one.
// Times before the latest confirmation are ignored.
func (s *Store) Confirm(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if current := s.InForce(); at.After(current.confirmedAt) {
		s.inForce.Store(&InForce{table: current.table, confirmedAt: at})
		s.confirmed.Broadcast()
	}
}

// Confirmed returns a channel that is closed at the next confirmation.
func (s *Store) Confirmed() <-chan struct{} { return s.confirmed.Changed() }
