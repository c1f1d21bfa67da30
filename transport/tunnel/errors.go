// SPDX-License-Identifier: Apache-2.0

package tunnel

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"

	"pinerun.example/pinerun/protocol"
)

// Verdict says where the fault is when no connection to an endpoint could be made.
type Verdict uint8

// Undecided means that no other entry could tell. EndpointFailed means that enough entries which reach other
// endpoints could not connect either. NoPath means that neither this entry nor any that it asked
// reaches endpoints.
const (
	Undecided Verdict = iota
	EndpointFailed
	NoPath
)

// DialError says why an endpoint could not be connected to. Nothing was sent to it.
type DialError struct {
	address string
	cause   error // of the own attempt, or what another entry found
	verdict Verdict
	peer    string // the entry that was asked last, "" for none
	silent  bool   // the endpoint did not accept this entry's own connection in time
}

// Error returns the cause with the remedy.
func (e *DialError) Error() string {
	s := "endpoint " + e.address + ": " + e.cause.Error()
	switch e.verdict {
	case EndpointFailed:
		return s + "; entry " + e.peer + " found the same, so check the endpoint"
	case NoPath:
		return s + "; no entry asked reaches endpoints either, so check this VM's network"
	default:
		return s
	}
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.cause }

// Verdict returns where the fault is.
func (e *DialError) Verdict() Verdict { return e.verdict }

// Silent reports whether the endpoint neither accepted nor refused this entry's own connection.
func (e *DialError) Silent() bool { return e.silent || isTimeout(e.cause) }

// PeerLost says that a connection ended because its tunnel did, and not by the endpoint. It does not unwrap to
// its cause, which could be taken for the endpoint's.
type PeerLost struct {
	peer  string
	cause error
}

// Error returns the cause.
func (e *PeerLost) Error() string {
	return "the tunnel through " + e.peer + " ended: " + e.cause.Error()
}

// causeOf returns what an entry found at an endpoint, as an error of a connection of one's own would say it.
func causeOf(o protocol.TunnelOutcome) error {
	if o == protocol.TunnelRefused {
		return os.NewSyscallError("connect", syscall.ECONNREFUSED)
	}
	return os.ErrDeadlineExceeded
}

// errNoPeer says that there is no entry to ask.
var errNoPeer = errors.New("no other entry can connect")

// isTimeout reports whether an endpoint did not accept a connection in time.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, context.DeadlineExceeded)
}

// isLocal reports whether an error is this process's own and says nothing of the path to an endpoint.
func isLocal(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}
