// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"net/http"

	"pinerun.example/pinerun/protocol"
)

// message is what an attempt tells its exchange: headCame, eventCame, wholeCame,
// attemptEnded, pathAnswered or waitReported.
type message interface{ from() *attempt }

// headReceived is the head of a stream.
type headReceived struct {
	attempt *attempt
	head    *http.Response
	terms   protocol.AnswerTerms
}

// eventReceived is one event of a stream.
type eventReceived struct {
	attempt *attempt
	event   streamEvent
}

// responseReceived is a whole answer that is not a stream.
type responseReceived struct {
	attempt *attempt
	head    *http.Response
	body    []byte
	terms   protocol.AnswerTerms
}

// attemptEnded is the end of an attempt. The cause is nil when a stream came to
// its proper end. Unsent says that no byte left; stale that a connection which
// had rested turned out to be closed.
type attemptEnded struct {
	attempt *attempt
	cause   error
	unsent  bool
	stale   bool
}

func (m headReceived) from() *attempt     { return m.attempt }
func (m eventReceived) from() *attempt    { return m.attempt }
func (m responseReceived) from() *attempt { return m.attempt }
func (m attemptEnded) from() *attempt     { return m.attempt }
