// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// network is connections within the process, whose time a test may make up.
type network struct {
	mutex  sync.Mutex
	served map[string]*server // by address
}

// server is one address of a network. It is the listener of its own HTTP server.
type server struct {
	address string
	http    http.Server
	coming  chan net.Conn
	closed  chan struct{}
	once    sync.Once
	mutex   sync.Mutex
	open    []net.Conn
}

// serve serves requests to an address until the server is closed.
func (n *network) serve(address string, h http.Handler) *server {
	s := &server{address: address, coming: make(chan net.Conn), closed: make(chan struct{})}
	s.http.Handler = h
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.served == nil {
		n.served = make(map[string]*server)
	}
	n.served[address] = s
	go func() { _ = s.http.Serve(s) }()
	return s
}

// dial connects to an address.
func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mutex.Lock()
	s := n.served[address]
	n.mutex.Unlock()
	if s == nil {
		return nil, errors.New("nobody listens at " + address)
	}
	near, far := net.Pipe()
	select {
	case s.coming <- far:
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.open = append(s.open, far)
		return near, nil
	case <-s.closed:
		return nil, errors.New("connection refused by " + address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the next connection.
func (s *server) Accept() (net.Conn, error) {
	select {
	case c := <-s.coming:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the server and its connections.
func (s *server) Close() error {
	s.once.Do(func() { close(s.closed) })
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.open {
		_ = c.Close()
	}
	return nil
}

// Addr returns the server's address.
func (s *server) Addr() net.Addr { return address(s.address) }

// address is an address of a network.
type address string

// Network names the kind of network.
func (a address) Network() string { return "pipe" }

func (a address) String() string { return string(a) }

// reset breaks every connection to the server, which goes on to take others.
func (s *server) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.open {
		_ = c.Close()
	}
	s.open = nil
}
