// SPDX-License-Identifier: Apache-2.0

package backlog

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Listener accepts connections whose writes don't wait for their callers.
type Listener struct {
	net.Listener
	budget *Budget
}

// Listen listens at an address for callers, the system's part of what waits for them bounded.
// Accepted sockets have the bounds of the listening one.
func Listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	c.Control = func(_, _ string, raw syscall.RawConn) error { return bound(raw, socketBytes, bodyBytes) }
	return c.Listen(context.Background(), "tcp", address)
}

// LimitEngineSocket bounds what the system keeps of an engine's answer that is left unread. It is
// the Control of a dialer: once connected the other side knows a larger bound.
func LimitEngineSocket(_, _ string, raw syscall.RawConn) error { return bound(raw, 0, engineBytes) }

// bound sets how many bytes wait in a socket to be sent, and to be read; 0 leaves it to the
// system.
func bound(raw syscall.RawConn, send, receive int) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		if send > 0 {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, send)
		}
		if receive > 0 {
			failed = errors.Join(failed, syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive))
		}
	})
	return errors.Join(err, failed)
}

// NewListener returns a listener whose connections hold bytes within the budget.
func (b *Budget) NewListener(l net.Listener) *Listener { return &Listener{Listener: l, budget: b} }

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(n, l.budget), nil
}
