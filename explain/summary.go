// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"pinerun.example/pinerun/internal/event"
)

// faultsMost is how many engines, and entries, a summary lists.
const faultsMost = 10

// Summary tells what became of many requests: in each span of time, by cause, and which
// engines did not run what they were sent. Where calls to the platform were logged, it
// tells what for and by which entries.
type Summary struct {
	spans   []Interval
	causes  []Tally
	faults  []Tally
	calls   []Tally
	callers []Tally
	broken  []Tally
}

// Interval is what happened in one span of time.
type Interval struct {
	From     time.Time
	Sent     int // attempts
	NotRun   int // of them, by the engines' own word
	Held     int // requests that waited for room in vain
	Answered int
	Refused  int
	Cut      int // streams broken off
	Left     int // callers who closed first
	Calls    int // to the platform
	Failed   int // of them, without an answer or refused
	WaitMS   int64
}

// Tally is how often something was seen.
type Tally struct {
	Name  string
	Count int
}

// Intervals returns the spans in order of time.
func (s *Summary) Intervals() []Interval { return s.spans }

// Causes returns how requests failed, the most frequent first.
func (s *Summary) Causes() []Tally { return s.causes }

// Faults returns the engines that did not run requests, the most frequent first.
func (s *Summary) Faults() []Tally { return s.faults }

// Calls returns the calls to the platform by what they asked for, the most frequent first.
func (s *Summary) Calls() []Tally { return s.calls }

// CallingEntries returns the entries that made them, the busiest first.
func (s *Summary) CallingEntries() []Tally { return s.callers }

// BrokenWork returns the work whose sends broke at two endpoints or more, by fingerprint: the same
// request under any ID, at any entry. Count is the number of endpoints.
func (s *Summary) BrokenWork() []Tally { return s.broken }

// Summarize adds up the lines of any number of entries.
func Summarize(lines []Line, step time.Duration) *Summary {
	spans := map[time.Time]*Interval{}
	causes, faults := map[string]int{}, map[string]int{}
	calls, callers := map[string]int{}, map[string]int{}
	var broken breaks
	for i := range lines {
		l := &lines[i]
		called := l.Event == event.PlatformCalled.Number()
		if l.Request == "" && !called {
			continue
		}
		if called {
			calls[l.Call+" "+l.Objects]++
			callers[l.Entry]++
		}
		from := l.Time.Truncate(step)
		if spans[from] == nil {
			spans[from] = &Interval{From: from}
		}
		spans[from].add(l)
		if c := failure(l); c != "" {
			causes[c]++
		}
		broken.add(l)
		if l.Event == event.AttemptNotRun.Number() {
			faults[cmp.Or(l.AtFault, l.Endpoint)]++
		}
	}
	s := &Summary{causes: tallies(causes), faults: tallies(faults), calls: tallies(calls), callers: tallies(callers), broken: broken.tallies()}
	for _, p := range spans {
		s.spans = append(s.spans, *p)
	}
	slices.SortFunc(s.spans, func(a, b Interval) int { return a.From.Compare(b.From) })
	return s
}

// add counts a line of a request or a call.
func (p *Interval) add(l *Line) {
	switch l.Event {
	case event.PlatformCalled.Number():
		p.Calls++
		if l.Cause != "" {
			p.Failed++
		}
	case event.RequestSent.Number():
		p.Sent++
	case event.AttemptNotRun.Number():
		p.NotRun++
	case event.QueueWaitFailed.Number():
		p.Held++
	case event.RequestAnswered.Number():
		p.Answered++
		p.WaitMS = max(p.WaitMS, l.FirstMS)
	case event.RequestRefused.Number():
		p.Refused++
	case event.StreamCut.Number():
		p.Cut++
	case event.CallerLeft.Number():
		p.Left++
	}
}

// failure returns how a request failed by its last line, "" if the line is not that or
// the request did not fail.
func failure(l *Line) string {
	switch l.Event {
	case event.RequestRefused.Number():
		return "refused: " + l.Kind
	case event.StreamCut.Number():
		return "stream cut: " + l.Kind
	case event.CallerLeft.Number():
		if l.Events == 0 {
			return "caller left before the first event"
		}
		return "caller left within the stream"
	}
	return ""
}

// tallies returns counts, the largest first.
func tallies(counts map[string]int) []Tally {
	var all []Tally
	for name, n := range counts {
		all = append(all, Tally{Name: name, Count: n})
	}
	slices.SortFunc(all, func(a, b Tally) int { return cmp.Or(cmp.Compare(b.Count, a.Count), strings.Compare(a.Name, b.Name)) })
	return all
}

// String returns the summary as tables.
func (s *Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %6s %8s %8s %9s %8s %5s %6s %9s %6s %7s\n",
		"from", "sent", "not run", "waited", "answered", "refused", "cut", "left", "first ms", "calls", "failed")
	for i := range s.spans {
		p := &s.spans[i]
		fmt.Fprintf(&b, "%-12s %6d %8d %8d %9d %8d %5d %6d %9d %6d %7d\n", p.From.UTC().Format("15:04:05.0"),
			p.Sent, p.NotRun, p.Held, p.Answered, p.Refused, p.Cut, p.Left, p.WaitMS, p.Calls, p.Failed)
	}
	write(&b, "how requests failed", s.causes)
	write(&b, "engines that did not run requests", s.faults[:min(faultsMost, len(s.faults))])
	if len(s.calls) > 0 {
		write(&b, "calls to the platform", s.calls)
		write(&b, "entries that made them", s.callers[:min(faultsMost, len(s.callers))])
	}
	if len(s.broken) > 0 {
		write(&b, "work whose sends broke at several endpoints, by fingerprint", s.broken[:min(faultsMost, len(s.broken))])
	}
	return b.String()
}

func write(b *strings.Builder, title string, list []Tally) {
	fmt.Fprintf(b, "\n%s\n", title)
	for _, t := range list {
		fmt.Fprintf(b, "%8d  %s\n", t.Count, t.Name)
	}
}
