// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// mailboxCapacity bounds the replies of a request that its stream has not read yet. One step is in
// flight at a time, so further replies are duplicates and may be dropped.
const mailboxCapacity = 8

// Arrival is what comes back for a request: Replied or ConnectionLost.
type Arrival interface{ arrival() }

// Replied is a reply with the runner that it came from.
type Replied struct {
	from  *fleet.Runner
	reply protocol.Reply
}

// From returns the runner that replied.
func (r Replied) From() *fleet.Runner { return r.from }

// Reply returns the reply.
func (r Replied) Reply() protocol.Reply { return r.reply }

// ConnectionLost reports that the connection broke before the reply came.
type ConnectionLost struct {
	from        *fleet.Runner
	sent        bool
	incarnation protocol.Incarnation
}

// From returns the runner whose connection broke.
func (l ConnectionLost) From() *fleet.Runner { return l.from }

// Sent reports whether any byte of the step may have reached the engine.
func (l ConnectionLost) Sent() bool { return l.sent }

// Incarnation returns the incarnation of the engine that was connected, 0 if it had not reported
// one.
func (l ConnectionLost) Incarnation() protocol.Incarnation { return l.incarnation }

func (Replied) arrival()        {}
func (ConnectionLost) arrival() {}

// Mailbox receives the arrivals of one request. Create it with NewMailbox.
type Mailbox struct{ arrivals chan Arrival }

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox { return &Mailbox{arrivals: make(chan Arrival, mailboxCapacity)} }

// Arrivals returns the channel to read from.
func (m *Mailbox) Arrivals() <-chan Arrival { return m.arrivals }

// put adds an arrival, and reports whether the mailbox had capacity left.
func (m *Mailbox) put(a Arrival) bool {
	select {
	case m.arrivals <- a:
		return true
	default:
		return false
	}
}
