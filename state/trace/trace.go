// SPDX-License-Identifier: Apache-2.0

// Package story keeps what happened to each recent request, to be read back by
// the request's id.
//
//	var book story.Book
//	s := book.Open(id, now)
//	s.Note(now, story.Path, "a1 b2 c3")
//	lines, ok := book.Read(id)
package trace

import (
	"sync"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// kept is how many requests a book remembers.
	kept = 4096
	// maxLines bounds one story; what follows is counted, not kept.
	maxLines = 64
)

// Kind tells the sorts of lines apart.
type Kind string

// The sorts of lines in a story.
const (
	Arrived    Kind = "arrived"
	Queued     Kind = "queued"
	Admitted   Kind = "admitted"
	Claimed    Kind = "claimed"
	Path       Kind = "path"
	FirstToken Kind = "first token"
	Retried    Kind = "retried"
	Refused    Kind = "refused"
	Answered   Kind = "answered"
)

// Event is one thing that happened.
type Event struct {
	At     time.Time `json:"at"`
	Kind   Kind      `json:"what"`
	Detail string    `json:"detail"`
}

// Trace is one request's lines. It is safe for use by many goroutines.
type Trace struct {
	mutex   sync.Mutex
	id      protocol.RequestID
	lines   []Event
	dropped int
}

// Add adds a line.
func (s *Trace) Add(at time.Time, w Kind, detail string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.lines) >= maxLines {
		s.dropped++
		return
	}
	s.lines = append(s.lines, Event{At: at, Kind: w, Detail: detail})
}

// Log holds the most recent stories. The zero value is empty.
type Log struct {
	mutex   sync.Mutex
	stories map[protocol.RequestID]*Trace
	order   []protocol.RequestID
	next    int
}

// Start begins a story and forgets the oldest when the book is full.
func (b *Log) Start(id protocol.RequestID) *Trace {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.stories == nil {
		b.stories = map[protocol.RequestID]*Trace{}
	}
	s := &Trace{id: id}
	if len(b.order) < kept {
		b.order = append(b.order, id)
	} else {
		delete(b.stories, b.order[b.next])
		b.order[b.next] = id
		b.next = (b.next + 1) % kept
	}
	b.stories[id] = s
	return s
}

// Read returns a copy of a story's lines and how many more were not kept.
func (b *Log) Read(id protocol.RequestID) (lines []Event, dropped int, ok bool) {
	b.mutex.Lock()
	s := b.stories[id]
	b.mutex.Unlock()
	if s == nil {
		return nil, 0, false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Event(nil), s.lines...), s.dropped, true
}
