// SPDX-License-Identifier: Apache-2.0

package front

import (
	"net"
	"net/http"
	"sync"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// idleSlack is how much longer than the limit a caller's connection may rest:
	// a request that crosses the close would have to be sent again.
	idleSlack = 500 * time.Millisecond
	// headerMost bounds how slowly a request's head may come, whatever the limit
	// in force says.
	headerMost = 30 * time.Second
	// headerBytesMost bounds a request's head before a table is in force.
	headerBytesMost = 64 << 10
)

// callers serves the callers' connections. How long one may rest is the limit in
// force when it rests, so it can't be a setting of the library's server.
type callers struct {
	server http.Server
	socket net.Listener
	limits func() protocol.CallerLimits

	mutex   sync.Mutex
	resting map[net.Conn]time.Time // since when
}

func (c *callers) open(address string, h http.Handler) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	c.socket = socket
	c.resting = make(map[net.Conn]time.Time)
	c.server = http.Server{
		Handler: h, ReadHeaderTimeout: headerMost, MaxHeaderBytes: headerBytesMost, ConnState: c.changed,
		DisableGeneralOptionsHandler: true,
	}
	go c.run()
	return nil
}

func (c *callers) run() { _ = c.server.Serve(c.socket) }

// changed follows which connections rest.
func (c *callers) changed(n net.Conn, s http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if s == http.StateIdle {
		c.resting[n] = time.Now()
		return
	}
	delete(c.resting, n)
}

// sweep closes connections that have rested for longer than the limit in force.
func (c *callers) sweep(now time.Time) {
	limits := c.limits()
	if limits.IdleMS <= 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for n, since := range c.resting {
		if now.After(limits.IdleBy(since).Add(idleSlack)) {
			_ = n.Close()
			delete(c.resting, n)
		}
	}
}

// close ends every connection at once.
func (c *callers) close() {
	if c.socket != nil {
		_ = c.server.Close()
	}
}
