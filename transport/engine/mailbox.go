// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// mailboxDepth holds the replies of a request that its stream has not read yet.
// One step is in flight at a time, so more are doubles and may be dropped.
const mailboxDepth = 8

// Arrival is what comes back for a request: Replied or Lost.
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

// ConnectionLost says that the connection ended before the reply came.
type ConnectionLost struct {
	from *fleet.Runner
	sent bool
	life protocol.Incarnation
}

// From returns the runner whose connection ended.
func (l ConnectionLost) From() *fleet.Runner { return l.from }

// Sent reports whether any byte of the step may have reached the engine.
func (l ConnectionLost) Sent() bool { return l.sent }

// Incarnation returns the life of the engine that the connection was to, 0 if it had not told.
func (l ConnectionLost) Incarnation() protocol.Incarnation { return l.life }

func (Replied) arrival()        {}
func (ConnectionLost) arrival() {}

// Mailbox gets the arrivals of one request. Make it with NewMailbox.
type Mailbox struct{ arrivals chan Arrival }

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox { return &Mailbox{arrivals: make(chan Arrival, mailboxDepth)} }

// Arrivals returns the channel to read from.
func (m *Mailbox) Arrivals() <-chan Arrival { return m.arrivals }

// put reports whether there was room.
func (m *Mailbox) put(a Arrival) bool {
	select {
	case m.arrivals <- a:
		return true
	default:
		return false
	}
}
