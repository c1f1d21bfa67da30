// SPDX-License-Identifier: Apache-2.0

package front

import (
	"net"
	"net/http"
	"time"
)

const (
	// auxHeaderTimeout and auxIdleTimeout bound how long a request's header may take and how long
	// its connection may be idle. The load balancer probes every second.
	auxHeaderTimeout = 5 * time.Second
	auxIdleTimeout   = 30 * time.Second
)

// auxServer is an HTTP server for others than the callers: the load balancer, metrics or peers.
type auxServer struct {
	server http.Server
	socket net.Listener
}

// open opens the address. Connections wait until serve is called.
func (s *auxServer) open(address string) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.socket = socket
	return nil
}

// serve begins to serve, if the address is open.
func (s *auxServer) serve(h http.Handler) {
	if s.socket == nil {
		return
	}
	s.server = http.Server{Handler: h, ReadHeaderTimeout: auxHeaderTimeout, IdleTimeout: auxIdleTimeout, MaxHeaderBytes: maxHeaderBytes}
	go s.run()
}

func (s *auxServer) run() { _ = s.server.Serve(s.socket) }

// close closes every connection and releases the address. It closes the socket itself, since a
// server that has not begun to serve does not know its socket.
func (s *auxServer) close() {
	if s.socket != nil {
		_ = s.server.Close()
		_ = s.socket.Close()
	}
}
