// SPDX-License-Identifier: Apache-2.0

// Package explain tells from collected logs what became of a request and why.
//
// It reads the lines of any number of entries, in any order, and picks out the
// request's own lines and, for the entry that served it, what that entry believed
// at the time: the routing table, the platform, the endpoints of the paths that
// were tried.
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

// believedFor is how long before a request an event on an endpoint still matters
// to it: a record goes several missed heartbeats after its endpoint.
const believedFor = 10 * time.Second

// Report is what is known of one request.
type Report struct {
	id      string
	lines   []Line // of the request, in order of time
	beliefs []Line // of its entry, up to its end
	cause   string
}

// Cause returns why the request ended as it did, or "" when the lines don't say.
func (r *Report) Cause() string { return r.cause }

// String returns the whole story.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", r.id)
	all := append(slices.Clone(r.beliefs), r.lines...)
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

// Explain picks a request's story out of the lines of all entries.
func Explain(lines []Line, id string) *Report {
	r := &Report{id: id}
	for i := range lines {
		if lines[i].Request == id {
			r.lines = append(r.lines, lines[i])
		}
	}
	slices.SortStableFunc(r.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	if len(r.lines) == 0 {
		r.cause = absent(lines)
		return r
	}
	r.believe(lines)
	r.cause = r.judge(lines)
	return r
}

// absent says why there may be no line of a request.
func absent(lines []Line) string {
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

// believe collects what the request's entry believed: the last routing table and
// state of the platform, and what happened to the endpoints of its paths.
func (r *Report) believe(lines []Line) {
	entry, end := r.lines[0].Entry, r.lines[len(r.lines)-1].Time
	var table, reach *Line
	for i := range lines {
		l := &lines[i]
		if l.Entry != entry || l.Time.After(end) || l.Request == r.id {
			continue
		}
		switch l.Event {
		case event.ConfigInForce.Number():
			table = later(table, l)
		case event.PlatformUnreached.Number(), event.PlatformBack.Number():
			reach = later(reach, l)
		default:
			if r.touches(l) && l.Time.After(r.lines[0].Time.Add(-believedFor)) {
				r.beliefs = append(r.beliefs, *l)
			}
		}
	}
	for _, l := range []*Line{table, reach} {
		if l != nil {
			r.beliefs = append(r.beliefs, *l)
		}
	}
}

// later returns the later of two lines, of which the first may be nil.
func later(a, b *Line) *Line {
	if a == nil || b.Time.After(a.Time) {
		return b
	}
	return a
}

// touches reports whether a line is about an endpoint of one of the paths.
func (r *Report) touches(l *Line) bool {
	name := l.Endpoint + l.Runner
	if name == "" || l.Request != "" && l.Event != event.RunnerEjected.Number() {
		return false
	}
	return slices.ContainsFunc(r.lines, func(own Line) bool { return strings.Contains(own.Path, name) || own.Endpoint == name })
}

// last returns the last line of an event among some, or nil.
func last(lines []Line, e event.Event) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Event == e.Number() {
			return &lines[i]
		}
	}
	return nil
}
