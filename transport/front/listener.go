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

func (l *listener) open(address string, h http.Handler) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.socket = socket
	l.server = http.Server{Handler: h, ReadHeaderTimeout: sideLimit, IdleTimeout: sideIdle}
	go l.run()
	return nil
}

func (l *listener) run() { _ = l.server.Serve(l.socket) }

func (l *listener) close() {
	if l.socket != nil {
		_ = l.server.Close()
	}
}
