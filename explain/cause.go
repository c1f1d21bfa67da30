// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pinerun.example/pinerun/internal/event"
)

// findCause returns why the request ended as it did, or "".
func (r *Report) findCause(lines []Line) string {
	end := &r.lines[len(r.lines)-1]
	switch end.Event {
	case event.RequestRefused.Number():
		return r.describeRefusal(end)
	case event.StreamCut.Number():
		return fmt.Sprintf("the stream was broken off after %d events: %s", end.Events, r.describeAttempts(end))
	case event.RequestAnswered.Number():
		return r.describeAnswer(end)
	case event.CallerLeft.Number():
		return "the caller closed its connection; " + r.describeWait()
	}
	if restarted(lines, end) {
		return "the entry " + end.Entry + " ended while the request was open, and restarted"
	}
	if wentSilent(lines, end) {
		return "the entry " + end.Entry + " has no line after this, while others have: it exited, or its log was truncated"
	}
	return ""
}

func restarted(lines []Line, end *Line) bool {
	return slices.ContainsFunc(lines, func(l Line) bool {
		return l.Entry == end.Entry && l.Event == event.EntryReady.Number() && l.Time.After(end.Time)
	})
}

// silenceThreshold is how long an entry must have written no line, while others have, to
// be considered gone. An entry that serves requests writes several lines a second.
const silenceThreshold = 5 * time.Second

func wentSilent(lines []Line, end *Line) bool {
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
	return all.Sub(own) > silenceThreshold
}

func (r *Report) describeRefusal(end *Line) string {
	switch end.Kind {
	case "platform_down":
		text := fmt.Sprintf("%s: the platform last confirmed the routing table %d ms before", end.Message, end.ConfirmedMS)
		if l := last(r.entryState, event.PlatformUnreached); l != nil {
			text += "; it does not answer: " + l.Cause
		}
		return text
	case "wrong_key", "unknown_service":
		return fmt.Sprintf("%s in routing table %d", end.Message, end.Routing)
	case "queue_full":
		return end.Message + ": " + r.describeQueueing()
	case "no_path":
		return "no path holds every layer; look for events 3008, 3003 and 8003 before it"
	case "stopping", "no_configuration", "body_too_large", "malformed_request":
		return end.Message
	}
	return end.Message + ": " + r.describeAttempts(end)
}

// describeQueueing says what happened to a request for which the engines had no capacity.
func (r *Report) describeQueueing() string {
	if l := last(r.lines, event.QueueWaitFailed); l != nil {
		return fmt.Sprintf("it waited %d ms in vain; look for events 3008, 3003 and 8003 before it", l.HeldMS)
	}
	return "refused at once, since the requests queued before it would take longer than its caller waits"
}

// describeAttempts says how the attempts of the request ended.
func (r *Report) describeAttempts(end *Line) string {
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
	if l := last(r.entryState, event.RunnerEjected); l != nil {
		parts = append(parts, "runner "+l.Runner+" was left out ("+l.Reason+")")
	}
	if l := last(r.entryState, event.EndpointGone); l != nil {
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

func (r *Report) describeAnswer(end *Line) string {
	if end.Status >= 500 {
		return fmt.Sprintf("the endpoint itself answered %d after %d sends", end.Status, end.Sends)
	}
	text := fmt.Sprintf("answered %d after %d ms", end.Status, end.TookMS)
	if end.Events > 0 {
		text += fmt.Sprintf(", first event after %d ms, longest pause %d ms", end.FirstMS, end.PauseMS)
	}
	if attempts := r.describeAttempts(end); !strings.HasPrefix(attempts, "no answer") {
		text += ": " + attempts
	}
	return text
}

func (r *Report) describeWait() string {
	if last(r.lines, event.RequestSent) == nil {
		return "nothing had been sent"
	}
	return r.describeAttempts(&r.lines[len(r.lines)-1])
}
