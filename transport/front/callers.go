// SPDX-License-Identifier: Apache-2.0

package front

import (
	"net"
	"net/http"
	"sync"
	"time"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/backlog"
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
	server   http.Server
	socket   net.Listener
	limits   func() protocol.CallerLimits
	held     *backlog.Budget
	most     int // connections, 0 for any number
	counters *metric.Set

	mutex   sync.Mutex
	open    int                    // connections
	resting map[net.Conn]time.Time // since when, between two requests
	silent  map[net.Conn]time.Time // since when, without a whole head so far
}

// listen opens the address. Connections wait until serve.
func (c *callers) listen(address string) error {
	socket, err := backlog.Listen(address)
	if err != nil {
		return err
	}
	c.socket = socket
	return nil
}

// serve begins to serve callers.
func (c *callers) serve(h http.Handler) {
	c.resting = make(map[net.Conn]time.Time)
	c.silent = make(map[net.Conn]time.Time)
	c.server = http.Server{
		Handler: h, ReadHeaderTimeout: headerMost, MaxHeaderBytes: headerBytesMost, ConnState: c.changed,
		ConnContext: backlog.NewContext, DisableGeneralOptionsHandler: true,
	}
	go c.run()
}

func (c *callers) run() { _ = c.server.Serve(c.held.NewListener(c.socket)) }

// changed follows which connections there are, and which rest.
func (c *callers) changed(n net.Conn, s http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.resting, n)
	delete(c.silent, n)
	switch s {
	case http.StateNew:
		c.open++
		c.silent[n] = time.Now()
		c.makeRoom(n)
	case http.StateIdle:
		c.resting[n] = time.Now()
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
}

// makeRoom closes a connection when there are too many: the one that has been without a
// request for longest, or the newest when all have one. The mutex is held.
func (c *callers) makeRoom(newest net.Conn) {
	if c.most == 0 || c.open <= c.most {
		return
	}
	first, at := newest, c.silent[newest]
	for _, waiting := range []map[net.Conn]time.Time{c.silent, c.resting} {
		for n, since := range waiting {
			if since.Before(at) {
				first, at = n, since
			}
		}
	}
	c.end(first)
}

// end closes a connection that has no request open. The mutex is held.
func (c *callers) end(n net.Conn) {
	_ = n.Close()
	delete(c.resting, n)
	delete(c.silent, n)
	c.counters.Add(metric.ConnectionsClosed, 1)
}

// sweep closes connections that have rested for longer than the limit in force, and those
// that have not sent a whole head in time: thousands that send nothing, or a head without
// end, would use up the connections that callers with requests need.
func (c *callers) sweep(now time.Time) {
	limits := c.limits()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for n, since := range c.resting {
		if limits.IdleMS > 0 && now.After(limits.IdleBy(since).Add(idleSlack)) {
			c.end(n)
		}
	}
	for n, since := range c.silent {
		if c.silentTooLong(n, &limits, since, now) {
			c.end(n)
		}
	}
}

// silentTooLong reports whether a connection has brought no whole head for too long. One
// that has brought nothing at all rests, as between two requests.
func (c *callers) silentTooLong(n net.Conn, l *protocol.CallerLimits, since, now time.Time) bool {
	by := l.IdleBy(since)
	if b, ok := n.(*backlog.Conn); ok {
		if begun := b.FirstByteAt(); !begun.IsZero() {
			return l.HeaderMS > 0 && now.After(l.HeaderBy(begun).Add(idleSlack))
		}
	}
	return l.IdleMS > 0 && now.After(by.Add(idleSlack))
}

// close ends every connection at once.
func (c *callers) close() {
	if c.socket != nil {
		_ = c.server.Close()
		_ = c.socket.Close()
	}
}
