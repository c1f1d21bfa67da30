// SPDX-License-Identifier: Apache-2.0

// Package deadconn decides whether a stream in its middle waits on a dead connection.
//
// A device on the network path may forget an open connection without a reset, while new ones work. To
// the entry that looks like an engine that is busy with other requests. What tells them apart is that
// an engine works in passes over all its requests: while a later request gets events from the same
// engines, an earlier one of the same urgency gets some as well. If it does not, they were lost on the
// way. The guess may still be wrong, so a Tracker bounds how many streams of an endpoint are doubted at
// the same time:
//
//	if deadconn.Suspected(q) && tracker.Begin(endpoint, now) {
//		// request the rest of the stream on another connection
//	}
//	tracker.Confirm(endpoint) // or Refute, or End
package deadconn

import "time"

const (
	// minSilence is how long a stream must have been silent. It is half of the shortest silence
	// after which callers leave.
	minSilence = time.Second
	// pauseFactor is how many times its own longest pause a stream must have been silent: a stream
	// that paused for long before may do so again.
	pauseFactor = 2
)

// Query holds everything that the decision depends on.
type Query struct {
	Now          time.Time
	LastEvent    time.Time     // when the stream's last event was read
	LongestPause time.Duration // between two events of the stream
	// ServedSentAt is when the latest request was sent that is not more urgent than the stream and
	// that got an event through all engines of the stream's path.
	ServedSentAt time.Time
	// EntryLate says that this entry was not run for a while since the last event, so that the
	// silence may be its own.
	EntryLate bool
	// Unread says that the connection has received bytes that were not read yet.
	Unread bool
}

// Suspected reports whether the stream's connection is more likely dead than its engines busy.
func Suspected(q Query) bool {
	silence := q.Now.Sub(q.LastEvent)
	switch {
	case q.EntryLate || q.Unread:
		return false
	case silence < minSilence || silence < pauseFactor*q.LongestPause:
		return false
	}
	return q.ServedSentAt.After(q.LastEvent)
}
