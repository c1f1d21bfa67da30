// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"bytes"
	"encoding/json"
	"time"

	"pinerun.example/pinerun/internal/event"
)

// entryLine is a line of an entry's log.
type entryLine struct {
	At      time.Time `json:"time"`
	Event   int       `json:"event"`
	Request string    `json:"request"`
	Caller  string    `json:"caller"`
	Kind    string    `json:"kind"`
	Routing int       `json:"routing"`
	Cause   string    `json:"cause"`
	text    string
}

// is reports whether a line is of one of some events.
func (l *entryLine) is(events ...event.Event) bool {
	for _, e := range events {
		if l.Event == e.Number() {
			return true
		}
	}
	return false
}

// entryLog is the log of all processes of an entry.
type entryLog struct {
	byRequest map[string][]*entryLine
	byCaller  map[string][]*entryLine
	dropped   bool // lines are missing
}

// readEntryLog reads a log. Lines that are no events, such as stacks, are left out.
func readEntryLog(content []byte) *entryLog {
	log := &entryLog{byRequest: map[string][]*entryLine{}, byCaller: map[string][]*entryLine{}}
	for text := range bytes.Lines(content) {
		l := &entryLine{text: string(bytes.TrimSpace(text))}
		if json.Unmarshal(text, l) != nil || l.Event == 0 {
			continue
		}
		if l.Request != "" {
			log.byRequest[l.Request] = append(log.byRequest[l.Request], l)
		}
		if l.Caller != "" {
			log.byCaller[l.Caller] = append(log.byCaller[l.Caller], l)
		}
		log.dropped = log.dropped || l.is(event.LinesDropped)
	}
	return log
}
