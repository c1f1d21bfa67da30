// SPDX-License-Identifier: Apache-2.0

package retry

import "time"

// slotDuration is the length of a slot, in which attempts are counted together: a fortieth
// of the ten seconds over which the platform counts.
const slotDuration = 250 * time.Millisecond

// WindowBudget is a retry budget under a platform that bounds the retries of any span of a
// given length by a share of the first attempts of that span plus a slack. The budget never
// exceeds its part of that bound but allows all of it at once. An entry that serves 4
// requests a second may then retry 8 right after an engine is lost, while a token bucket of
// the same slack would allow only 3. Set the exported fields before use. It is not safe for
// concurrent use.
type WindowBudget struct {
	// Share is how many retries each first attempt allows, and Slack how many are allowed in
	// addition.
	Share float64
	Slack float64
	// SpanEnd returns the end of the span that begins at the given time.
	SpanEnd func(begin time.Time) time.Time

	slots []slot // oldest first
}

// slot counts the attempts of a short time. Its retries count until the end of the span that
// begins at the slot's end, but its first attempts only until the end of the span that begins
// at the slot's start. Both choices err on the low side.
type slot struct {
	end           time.Time
	firstAttempts int
	retries       int
	creditUntil   time.Time // until when the first attempts count
	spentUntil    time.Time // until when the retries count
}

// RecordFirst records a first attempt.
func (w *WindowBudget) RecordFirst(now time.Time) { w.currentSlot(now).firstAttempts++ }

// Spend uses one retry and reports whether there was one.
func (w *WindowBudget) Spend(now time.Time) bool {
	if w.Remaining(now) < 1 {
		return false
	}
	w.currentSlot(now).retries++
	return true
}

// Remaining returns how many retries are allowed now.
func (w *WindowBudget) Remaining(now time.Time) float64 {
	w.dropExpired(now)
	remaining := w.Slack
	for i := range w.slots {
		s := &w.slots[i]
		if now.Before(s.creditUntil) {
			remaining += w.Share * float64(s.firstAttempts)
		}
		remaining -= float64(s.retries)
	}
	return remaining
}

// currentSlot returns the slot of now and adds one if necessary.
func (w *WindowBudget) currentSlot(now time.Time) *slot {
	if n := len(w.slots); n > 0 && now.Before(w.slots[n-1].end) {
		return &w.slots[n-1]
	}
	w.dropExpired(now)
	end := now.Add(slotDuration)
	w.slots = append(w.slots, slot{end: end, creditUntil: w.SpanEnd(now), spentUntil: w.SpanEnd(end)})
	return &w.slots[len(w.slots)-1]
}

// dropExpired drops the slots that no longer count.
func (w *WindowBudget) dropExpired(now time.Time) {
	expired := 0
	for expired < len(w.slots) && !now.Before(w.slots[expired].spentUntil) {
		expired++
	}
	w.slots = w.slots[expired:]
}
