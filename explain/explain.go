// SPDX-License-Identifier: Apache-2.0

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

// judge names the cause.
func (r *Report) judge(lines []Line) string {
	end := &r.lines[len(r.lines)-1]
	switch end.Event {
	case event.RequestRefused.Number():
		return r.judgeRefusal(end)
	case event.StreamCut.Number():
		return fmt.Sprintf("the stream was broken off after %d events: %s", end.Events, r.judgeAttempts(end))
	case event.RequestAnswered.Number():
		return r.judgeAnswer(end)
	case event.CallerLeft.Number():
		return "the caller closed its connection; " + r.judgeWait()
	}
	if restarted(lines, end) {
		return "the entry " + end.Entry + " ended while the request was open, and started anew"
	}
	if fellSilent(lines, end) {
		return "the entry " + end.Entry + " has no line after this, while others have: it ended for good, or its log was cut off"
	}
	return ""
}

func restarted(lines []Line, end *Line) bool {
	return slices.ContainsFunc(lines, func(l Line) bool {
		return l.Entry == end.Entry && l.Event == event.EntryReady.Number() && l.Time.After(end.Time)
	})
}

// silentFor is how much longer others must have written for an entry to be taken as
// gone: one that serves requests writes several lines a second.
const silentFor = 5 * time.Second

func fellSilent(lines []Line, end *Line) bool {
	var own, all time.Time
	for i := range lines {
		l := &lines[i]
		if l.Time.After(all) {
			all = l.Time
		}
		if l.Entry == end.Entry && l.Time.After(own) {
			own = l.Time
		}
	}
	return all.Sub(own) > silentFor
}

func (r *Report) judgeRefusal(end *Line) string {
	switch end.Kind {
	case "platform_down":
		why := fmt.Sprintf("%s: the platform last confirmed the routing table %d ms before", end.Message, end.ConfirmedMS)
		if l := last(r.beliefs, event.PlatformUnreached); l != nil {
			why += "; it does not answer: " + l.Cause
		}
		return why
	case "wrong_key", "unknown_service":
		return fmt.Sprintf("%s in routing table %d", end.Message, end.Routing)
	case "no_path":
		return "no path holds every layer; look for events 3008, 3003 and 8003 before it"
	case "stopping", "no_configuration", "body_too_large", "malformed_request":
		return end.Message
	}
	return end.Message + ": " + r.judgeAttempts(end)
}

// judgeAttempts says how the sends of the request ended.
func (r *Report) judgeAttempts(end *Line) string {
	var parts []string
	for i := range r.lines {
		l := &r.lines[i]
		switch l.Event {
		case event.AttemptBroken.Number():
			parts = append(parts, fmt.Sprintf("attempt %d at %s broke: %s", l.Attempt, l.Endpoint, l.Cause))
		case event.AttemptNotRun.Number():
			parts = append(parts, fmt.Sprintf("attempt %d at %s was not run%s", l.Attempt, l.Endpoint, atFault(l)))
		case event.SilenceSuspected.Number():
			parts = append(parts, fmt.Sprintf("attempt %d was silent for %d ms", l.Attempt, l.SilentMS))
		}
	}
	if l := last(r.beliefs, event.RunnerEjected); l != nil {
		parts = append(parts, "runner "+l.Runner+" was left out ("+l.Reason+")")
	}
	if l := last(r.beliefs, event.EndpointGone); l != nil {
		parts = append(parts, "endpoint "+l.Endpoint+" is gone: "+l.Reason)
	}
	if len(parts) == 0 {
		return fmt.Sprintf("no answer within %d ms", end.TookMS)
	}
	return strings.Join(parts, "; ")
}

func atFault(l *Line) string {
	if l.AtFault == "" {
		return ""
	}
	return " because of the engine at " + l.AtFault
}

func (r *Report) judgeAnswer(end *Line) string {
	if end.Status >= 500 {
		return fmt.Sprintf("the endpoint itself answered %d after %d sends", end.Status, end.Sends)
	}
	why := fmt.Sprintf("answered %d after %d ms", end.Status, end.TookMS)
	if end.Events > 0 {
		why += fmt.Sprintf(", first event after %d ms, longest pause %d ms", end.FirstMS, end.PauseMS)
	}
	if trouble := r.judgeAttempts(end); !strings.HasPrefix(trouble, "no answer") {
		why += ": " + trouble
	}
	return why
}

func (r *Report) judgeWait() string {
	if last(r.lines, event.RequestSent) == nil {
		return "nothing had been sent"
	}
	return r.judgeAttempts(&r.lines[len(r.lines)-1])
}
