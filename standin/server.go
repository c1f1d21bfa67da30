// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"net"
	"net/http"
	"sync"

	"pinerun.example/pinerun/internal/lifecycle"
)

// server is an HTTP server that can be stopped together with all its connections, as
// when a VM fails. The zero value is not listening.
type server struct {
	mutex    sync.Mutex
	listener net.Listener
	http     *http.Server
	done     lifecycle.Done
}

// listen starts to serve at an address such as "127.0.0.1:0".
func (s *server) listen(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listener = l
	s.http = &http.Server{Handler: h}
	go s.run(s.http, l)
	return nil
}

func (s *server) run(h *http.Server, l net.Listener) { _ = h.Serve(l) }

// Address returns the IP address and port of the server, or "" before listen.
func (s *server) Address() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Close closes the listener and all HTTP connections.
func (s *server) Close() {
	s.done.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.http != nil {
		_ = s.http.Close()
	}
}

// Closed reports whether Close was called.
func (s *server) Closed() bool { return s.done.Closed() }
