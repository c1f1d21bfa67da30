// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// network connects servers and clients within the process, which also works in virtual time.
type network struct {
	mutex  sync.Mutex
	served map[string]*server // by address
	// subprotocols are those that newSilentPeer accepts.
	subprotocols []string
}

// server is one address of a network, and the listener of its own HTTP server.
type server struct {
	address  string
	http     http.Server
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
	mutex    sync.Mutex
	conns    []net.Conn
}

// serve serves requests to an address until the server is closed.
func (n *network) serve(address string, h http.Handler) *server {
	s := &server{address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
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
		return nil, errors.New("no listener at " + address)
	}
	client, server := net.Pipe()
	select {
	case s.incoming <- server:
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.conns = append(s.conns, server)
		return client, nil
	case <-s.closed:
		return nil, errors.New("connection refused by " + address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the next connection.
func (s *server) Accept() (net.Conn, error) {
	select {
	case c := <-s.incoming:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close stops the server and closes its connections.
func (s *server) Close() error {
	s.once.Do(func() { close(s.closed) })
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.conns {
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

// reset closes every connection to the server, which keeps accepting new ones.
func (s *server) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.conns = nil
}
