// SPDX-License-Identifier: Apache-2.0

// Package trace records the events of each recent request, which can be read back by the
// request's ID.
//
//	var log trace.Log
//	t := log.Start(id)
//	t.Add(now, trace.Path, "a1 b2 c3")
//	events, dropped, ok := log.Read(id)
package trace

import (
	"sync"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// maxTraces is how many requests a Log keeps.
	maxTraces = 4096
	// maxEvents bounds one trace; further events are counted, but not kept.
	maxEvents = 64
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
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

// Event is one event of a request.
type Event struct {
	At     time.Time `json:"at"`
	Kind   Kind      `json:"what"`
	Detail string    `json:"detail"`
}

// Trace holds the events of one request. It is safe for concurrent use.
type Trace struct {
	mutex   sync.Mutex
	id      protocol.RequestID
	events  []Event
	dropped int
}

// Add adds an event.
func (t *Trace) Add(at time.Time, kind Kind, detail string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.events) >= maxEvents {
		t.dropped++
		return
	}
	t.events = append(t.events, Event{At: at, Kind: kind, Detail: detail})
}

// Log holds the traces of the latest requests. The zero value is empty.
type Log struct {
	mutex  sync.Mutex
	traces map[protocol.RequestID]*Trace
	order  []protocol.RequestID
	oldest int
}

// Start begins a trace, and drops the oldest one if the log is full.
func (l *Log) Start(id protocol.RequestID) *Trace {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.traces == nil {
		l.traces = map[protocol.RequestID]*Trace{}
	}
	t := &Trace{id: id}
	if len(l.order) < maxTraces {
		l.order = append(l.order, id)
	} else {
		delete(l.traces, l.order[l.oldest])
		l.order[l.oldest] = id
		l.oldest = (l.oldest + 1) % maxTraces
	}
	l.traces[id] = t
	return t
}

// Read returns a copy of a trace's events and how many further events were dropped.
func (l *Log) Read(id protocol.RequestID) (events []Event, dropped int, ok bool) {
	l.mutex.Lock()
	t := l.traces[id]
	l.mutex.Unlock()
	if t == nil {
		return nil, 0, false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return append([]Event(nil), t.events...), t.dropped, true
}
