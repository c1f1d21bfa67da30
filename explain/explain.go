// SPDX-License-Identifier: Apache-2.0

// Package explain determines from collected logs what happened to a request and why.
//
// It reads the lines of any number of entries, in any order. It selects the request's own
// lines and the relevant state of the entry that served it at that time: the routing table,
// the platform, and the endpoints of the attempted paths.
//
//	lines, err := explain.Read(file)
//	fmt.Println(explain.Explain(lines, "9c41d07be2a35f68"))
package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pinerun.example/pinerun/internal/event"
)

// contextWindow is how long before a request an endpoint's event is still relevant to it.
// A record is removed several missed heartbeats after its endpoint is gone.
const contextWindow = 10 * time.Second

// Report is what the logs say about one request.
type Report struct {
	id         string
	lines      []Line // of the request, in order of time
	entryState []Line // events of its entry, up to the end of the request
	cause      string
}

// Cause returns why the request ended as it did, or "" if the lines don't show it.
func (r *Report) Cause() string { return r.cause }

// String returns all relevant lines and the cause.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", r.id)
	all := append(slices.Clone(r.entryState), r.lines...)
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for i := range all {
		fmt.Fprintf(&b, "  %s\n", all[i].text)
	}
	cause := r.cause
	if cause == "" {
		cause = "unknown"
	}
	fmt.Fprintf(&b, "cause: %s\n", cause)
	return b.String()
}

// Explain builds the report of a request from the lines of all entries.
func Explain(lines []Line, id string) *Report {
	r := &Report{id: id}
	for i := range lines {
		if lines[i].Request == id {
			r.lines = append(r.lines, lines[i])
		}
	}
	slices.SortStableFunc(r.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	if len(r.lines) == 0 {
		r.cause = explainMissing(lines)
		return r
	}
	r.collectEntryState(lines)
	r.cause = r.findCause(lines)
	return r
}

// explainMissing returns why there may be no line of a request.
func explainMissing(lines []Line) string {
	var dropped int64
	for i := range lines {
		if lines[i].Event == event.LinesDropped.Number() {
			dropped += lines[i].Lines
		}
	}
	if dropped > 0 {
		return fmt.Sprintf("no line of it; %d lines were dropped", dropped)
	}
	return "no entry of these logs read it: its connection was refused or closed first; look for entries that stopped or were killed"
}

// collectEntryState collects the state of the request's entry: its last routing table, whether
// the platform was reachable, and the events of the endpoints of the request's paths.
func (r *Report) collectEntryState(lines []Line) {
	entry, end := r.lines[0].Entry, r.lines[len(r.lines)-1].Time
	var table, reachability *Line
	for i := range lines {
		l := &lines[i]
		if l.Entry != entry || l.Time.After(end) || l.Request == r.id {
			continue
		}
		switch l.Event {
		case event.ConfigInForce.Number():
			table = later(table, l)
		case event.PlatformUnreached.Number(), event.PlatformBack.Number():
			reachability = later(reachability, l)
		default:
			if r.concernsPath(l) && l.Time.After(r.lines[0].Time.Add(-contextWindow)) {
				r.entryState = append(r.entryState, *l)
			}
		}
	}
	for _, l := range []*Line{table, reachability} {
		if l != nil {
			r.entryState = append(r.entryState, *l)
		}
	}
}

// later returns the later of two lines. The first may be nil.
func later(a, b *Line) *Line {
	if a == nil || b.Time.After(a.Time) {
		return b
	}
	return a
}

// concernsPath reports whether a line is about an endpoint of one of the request's paths.
func (r *Report) concernsPath(l *Line) bool {
	name := l.Endpoint + l.Runner
	if name == "" || l.Request != "" && l.Event != event.RunnerEjected.Number() {
		return false
	}
	return slices.ContainsFunc(r.lines, func(own Line) bool { return strings.Contains(own.Path, name) || own.Endpoint == name })
}

// last returns the last line with the event, or nil.
func last(lines []Line, e event.Event) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Event == e.Number() {
			return &lines[i]
		}
	}
	return nil
}
