// SPDX-License-Identifier: Apache-2.0

package forward

import "io"

// eventBound reserves the events of a stream as they arrive. What exceeds smallBytes is reserved before more
// of the event is read.
type eventBound struct {
	attempt *attempt
	body    io.Reader
	pending int64 // bytes received of the event that is not whole yet
	held    int64 // bytes reserved for it
}

// Read reads on in the stream. The buffer of the caller is empty, so that all that is pending is of one event.
func (b *eventBound) Read(p []byte) (int, error) {
	if b.pending > smallBytes && b.pending > b.held {
		if !b.reserve(b.pending) {
			return 0, b.attempt.ctx.Err()
		}
	}
	n, err := b.body.Read(p)
	b.pending += int64(n)
	return n, err
}

func (b *eventBound) reserve(n int64) bool {
	if !b.attempt.reserve(n) {
		return false
	}
	b.held += n
	return true
}

// handOver reserves exactly what a whole event takes, and leaves that to its receiver. It reports false if the
// attempt is stopped first.
func (b *eventBound) handOver(m *eventReceived) bool {
	size := m.reserved()
	if !b.reserve(max(0, size-b.held)) {
		return false
	}
	if excess := b.held - size; excess > 0 {
		b.attempt.release(excess)
	}
	b.held = 0
	b.pending -= int64(len(m.event.content))
	return true
}
