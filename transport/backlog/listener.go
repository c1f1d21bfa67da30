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

// Listen listens for callers at an address, with bounded socket buffers. Accepted sockets inherit
// the buffer sizes of the listening one.
func Listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	c.Control = func(_, _ string, raw syscall.RawConn) error {
		return setSocketBuffers(raw, sendBufferBytes, callerReceiveBytes)
	}
	return c.Listen(context.Background(), "tcp", address)
}

// LimitEngineSocket bounds the receive buffer for an engine's response. Use it as the Control of a
// dialer: the size must be set before the connection is made, since the connection handshake
// announces the size to the other side.
func LimitEngineSocket(_, _ string, raw syscall.RawConn) error {
	return setSocketBuffers(raw, 0, engineReceiveBytes)
}

// setSocketBuffers sets the sizes of a socket's send and receive buffers; 0 keeps the system's
// default.
func setSocketBuffers(raw syscall.RawConn, send, receive int) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		if send > 0 {
			optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, send)
		}
		if receive > 0 {
			optErr = errors.Join(optErr, syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive))
		}
	})
	return errors.Join(err, optErr)
}

// NewListener returns a listener whose connections hold bytes within the budget.
func (b *Budget) NewListener(l net.Listener) *Listener { return &Listener{Listener: l, budget: b} }

// Accept returns the next connection as a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(n, l.budget), nil
}
