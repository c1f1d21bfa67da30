// SPDX-License-Identifier: Apache-2.0

package retry

import "time"

// slotFor is the time whose tries are counted together: a fortieth of the ten seconds over
// which the platform counts.
const slotFor = 250 * time.Millisecond

// WindowBudget is a budget of further tries where the platform bounds those of any span of a
// given length by a share of the first tries of that span and a slack. It allows no more
// than its part of that at any moment, and all of it at once: an entry that serves 4
// requests a second may send 8 again right after an engine was lost, and not only the 3 of
// a bucket as small as its part of the slack. Set the fields before use; it is not safe
// for use by several goroutines at once.
type WindowBudget struct {
	// Share is how many further tries each first try pays for, and Slack how many there
	// are beside that.
	Share float64
	Slack float64
	// SpanEnd returns the end of a span that begins at a time.
	SpanEnd func(begin time.Time) time.Time

	slots []slot // the oldest first
}

// slot is the tries of a short time. What was spent counts until the end of the span that
// begins at its end, what pays for it until that of the one that begins at its beginning:
// so both err on the low side.
type slot struct {
	till   time.Time
	firsts int
	spent  int
	paysTo time.Time
	owesTo time.Time
}

// RecordFirst notes a first try.
func (w *WindowBudget) RecordFirst(now time.Time) { w.current(now).firsts++ }

// Spend takes one further try, and reports whether there was one.
func (w *WindowBudget) Spend(now time.Time) bool {
	if w.Remaining(now) < 1 {
		return false
	}
	w.current(now).spent++
	return true
}

// Remaining returns how many further tries are allowed now.
func (w *WindowBudget) Remaining(now time.Time) float64 {
	w.forget(now)
	left := w.Slack
	for i := range w.slots {
		s := &w.slots[i]
		if now.Before(s.paysTo) {
			left += w.Share * float64(s.firsts)
		}
		left -= float64(s.spent)
	}
	return left
}

// current returns the slot of now.
func (w *WindowBudget) current(now time.Time) *slot {
	if n := len(w.slots); n > 0 && now.Before(w.slots[n-1].till) {
		return &w.slots[n-1]
	}
	w.forget(now)
	till := now.Add(slotFor)
	w.slots = append(w.slots, slot{till: till, paysTo: w.SpanEnd(now), owesTo: w.SpanEnd(till)})
	return &w.slots[len(w.slots)-1]
}

// forget drops slots that count for nothing any more.
func (w *WindowBudget) forget(now time.Time) {
	old := 0
	for old < len(w.slots) && !now.Before(w.slots[old].owesTo) {
		old++
	}
	w.slots = w.slots[old:]
}
