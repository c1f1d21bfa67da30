// SPDX-License-Identifier: Apache-2.0

// Package story keeps what happened to each recent request, to be read back by
// the request's id.
//
//	var book story.Book
//	s := book.Open(id, now)
//	s.Note(now, story.Path, "a1 b2 c3")
//	lines, ok := book.Read(id)
package story

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

// What tells the sorts of lines apart.
type What string

// The sorts of lines in a story.
const (
	Arrived   What = "arrived"
	Queued    What = "queued"
	Admitted  What = "admitted"
	Claimed   What = "claimed"
	Path      What = "path"
	FirstByte What = "first token"
	Retried   What = "retried"
	Refused   What = "refused"
	Answered  What = "answered"
)

// Line is one thing that happened.
type Line struct {
	At     time.Time `json:"at"`
	What   What      `json:"what"`
	Detail string    `json:"detail"`
}

// Story is one request's lines. It is safe for use by many goroutines.
type Story struct {
	mutex   sync.Mutex
	id      protocol.RequestID
	lines   []Line
	dropped int
}

// Note adds a line.
func (s *Story) Note(at time.Time, w What, detail string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.lines) >= maxLines {
		s.dropped++
		return
	}
	s.lines = append(s.lines, Line{At: at, What: w, Detail: detail})
}

// Book holds the most recent stories. The zero value is empty.
type Book struct {
	mutex   sync.Mutex
	stories map[protocol.RequestID]*Story
	order   []protocol.RequestID
	next    int
}

// Open begins a story and forgets the oldest when the book is full.
func (b *Book) Open(id protocol.RequestID) *Story {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.stories == nil {
		b.stories = map[protocol.RequestID]*Story{}
	}
	s := &Story{id: id}
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
func (b *Book) Read(id protocol.RequestID) (lines []Line, dropped int, ok bool) {
	b.mutex.Lock()
	s := b.stories[id]
	b.mutex.Unlock()
	if s == nil {
		return nil, 0, false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Line(nil), s.lines...), s.dropped, true
}
