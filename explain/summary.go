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

// maxListed is how many engines, entries and fingerprints a summary lists.
const maxListed = 10

// Summary aggregates the outcomes of many requests: by time interval, by cause, and by the
// engines that did not run what they were sent. If calls to the platform were logged, it also
// counts them by kind and by entry.
type Summary struct {
	intervals      []Interval
	causes         []Tally
	faults         []Tally
	calls          []Tally
	callingEntries []Tally
	brokenWork     []Tally
}

// Interval holds the counts of one time interval.
type Interval struct {
	From            time.Time
	Sent            int // attempts
	NotRun          int // attempts that engines reported as not run
	WaitFailed      int // requests that waited for capacity without getting it
	Answered        int
	Refused         int
	Cut             int // aborted streams
	Left            int // callers that closed the connection first
	Calls           int // to the platform
	Failed          int // calls that were refused or not answered
	MaxFirstEventMS int64
}

// Tally is a name and how often it occurred.
type Tally struct {
	Name  string
	Count int
}

// Intervals returns the intervals in order of time.
func (s *Summary) Intervals() []Interval { return s.intervals }

// Causes returns how requests failed, most frequent first.
func (s *Summary) Causes() []Tally { return s.causes }

// Faults returns the engines that did not run requests, most frequent first.
func (s *Summary) Faults() []Tally { return s.faults }

// Calls returns the calls to the platform by kind, most frequent first.
func (s *Summary) Calls() []Tally { return s.calls }

// CallingEntries returns the entries that made the calls, most frequent first.
func (s *Summary) CallingEntries() []Tally { return s.callingEntries }

// BrokenWork returns the fingerprints of work whose attempts broke at two or more endpoints. The
// fingerprint of a request is the same under any ID and at any entry. Count is the number of
// endpoints.
func (s *Summary) BrokenWork() []Tally { return s.brokenWork }

// Summarize aggregates the lines of any number of entries into intervals of length step.
func Summarize(lines []Line, step time.Duration) *Summary {
	spans := map[time.Time]*Interval{}
	causes, faults := map[string]int{}, map[string]int{}
	calls, callers := map[string]int{}, map[string]int{}
	var broken brokenWork
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
	s := &Summary{causes: tallies(causes), faults: tallies(faults), calls: tallies(calls), callingEntries: tallies(callers), brokenWork: broken.tallies()}
	for _, p := range spans {
		s.intervals = append(s.intervals, *p)
	}
	slices.SortFunc(s.intervals, func(a, b Interval) int { return a.From.Compare(b.From) })
	return s
}

// add counts a line of a request or of a call to the platform.
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
		p.WaitFailed++
	case event.RequestAnswered.Number():
		p.Answered++
		p.MaxFirstEventMS = max(p.MaxFirstEventMS, l.FirstMS)
	case event.RequestRefused.Number():
		p.Refused++
	case event.StreamCut.Number():
		p.Cut++
	case event.CallerLeft.Number():
		p.Left++
	}
}

// failure returns how a request failed according to its last line, or "" for other lines and
// requests that did not fail.
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
		return "caller left during the stream"
	}
	return ""
}

// tallies returns the counts in descending order.
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
	for i := range s.intervals {
		p := &s.intervals[i]
		fmt.Fprintf(&b, "%-12s %6d %8d %8d %9d %8d %5d %6d %9d %6d %7d\n", p.From.UTC().Format("15:04:05.0"),
			p.Sent, p.NotRun, p.WaitFailed, p.Answered, p.Refused, p.Cut, p.Left, p.MaxFirstEventMS, p.Calls, p.Failed)
	}
	writeTallies(&b, "how requests failed", s.causes)
	writeTallies(&b, "engines that did not run requests", s.faults[:min(maxListed, len(s.faults))])
	if len(s.calls) > 0 {
		writeTallies(&b, "calls to the platform", s.calls)
		writeTallies(&b, "entries that made them", s.callingEntries[:min(maxListed, len(s.callingEntries))])
	}
	if len(s.brokenWork) > 0 {
		writeTallies(&b, "work whose sends broke at several endpoints, by fingerprint", s.brokenWork[:min(maxListed, len(s.brokenWork))])
	}
	return b.String()
}

func writeTallies(b *strings.Builder, title string, list []Tally) {
	fmt.Fprintf(b, "\n%s\n", title)
	for _, t := range list {
		fmt.Fprintf(b, "%8d  %s\n", t.Count, t.Name)
	}
}
