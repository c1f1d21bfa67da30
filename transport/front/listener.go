// SPDX-License-Identifier: Apache-2.0

package front

import (
	"net"
	"net/http"
	"time"
)

const (
	// sideLimit and sideIdle bound how slow a question may come and how long its
	// connection rests; the balancer asks every second.
	sideLimit = 5 * time.Second
	sideIdle  = 30 * time.Second
)

// listener is one HTTP server beside that of the callers.
type listener struct {
	server http.Server
	socket net.Listener
}

// open takes the address. Connections wait until serve.
func (l *listener) open(address string) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.socket = socket
	return nil
}

// serve begins to answer, if the address was opened.
func (l *listener) serve(h http.Handler) {
	if l.socket == nil {
		return
	}
	l.server = http.Server{Handler: h, ReadHeaderTimeout: sideLimit, IdleTimeout: sideIdle}
	go l.run()
}

func (l *listener) run() { _ = l.server.Serve(l.socket) }

// close ends every connection, and gives the address back at once: a server that has not begun
// to serve does not know its socket yet.
func (l *listener) close() {
	if l.socket != nil {
		_ = l.server.Close()
		_ = l.socket.Close()
	}
}
