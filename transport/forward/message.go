// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"net/http"

	"pinerun.example/pinerun/protocol"
)

// message is what an attempt sends to its exchange: headReceived, eventReceived, responseReceived,
// attemptEnded, pathAnswered or stallReported.
type message interface{ from() *attempt }

// headReceived carries the head of a stream.
type headReceived struct {
	attempt *attempt
	head    *http.Response
	terms   protocol.AnswerTerms
}

// eventReceived carries one event of a stream.
type eventReceived struct {
	attempt *attempt
	event   streamEvent
}

// reserved returns the bytes that are reserved for the event.
func (m *eventReceived) reserved() int64 {
	if n := len(m.event.content); n > smallBytes {
		return int64(n)
	}
	return 0
}

// responseReceived carries a whole response that is not a stream, and for which some bytes are held.
type responseReceived struct {
	attempt *attempt
	head    *http.Response
	body    []byte
	terms   protocol.AnswerTerms
	held    int64
}

// attemptEnded reports the end of an attempt. The cause is nil if a stream ended properly. unsent
// is set if no byte was sent, and sent is how many were; stale is set if a reused connection turned out to be closed.
// partial is how many bytes of an incomplete event were received.
type attemptEnded struct {
	attempt *attempt
	cause   error
	unsent  bool
	sent    int
	stale   bool
	partial int
}

func (m headReceived) from() *attempt     { return m.attempt }
func (m eventReceived) from() *attempt    { return m.attempt }
func (m responseReceived) from() *attempt { return m.attempt }
func (m attemptEnded) from() *attempt     { return m.attempt }
