// SPDX-License-Identifier: Apache-2.0

package front

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/backlog"
)

const (
	// idleSlack is added to the idle limit of a caller's connection: a request that arrives while
	// the connection is being closed would have to be sent again.
	idleSlack = 500 * time.Millisecond
	// maxHeaderTimeout bounds how long a request's header may take, whatever the limit in force is.
	maxHeaderTimeout = 30 * time.Second
	// maxHeaderBytes bounds a request's header before a table is in force.
	maxHeaderBytes = 64 << 10
)

// callerServer serves the callers' connections. The idle limit is the one in force while a
// connection is idle, so it can't be a setting of http.Server.
type callerServer struct {
	server         http.Server
	socket         net.Listener
	limits         func() protocol.CallerLimits
	memoryBudget   *backlog.Budget
	maxConnections int // 0 for any number
	counters       *metric.Set
	logger         *slog.Logger

	mutex          sync.Mutex
	open           int                    // connections
	idle           map[net.Conn]time.Time // since when, between two requests
	awaitingHeader map[net.Conn]time.Time // since when, without a complete header
}

// listen opens the address. Connections wait until serve is called.
func (c *callerServer) listen(address string) error {
	socket, err := backlog.Listen(address)
	if err != nil {
		return err
	}
	c.socket = socket
	return nil
}

// serve begins to serve callers.
func (c *callerServer) serve(h http.Handler) {
	c.idle = make(map[net.Conn]time.Time)
	c.awaitingHeader = make(map[net.Conn]time.Time)
	c.server = http.Server{
		Handler: h, ReadHeaderTimeout: maxHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: c.connStateChanged,
		ConnContext: backlog.NewContext, DisableGeneralOptionsHandler: true,
	}
	go c.run()
}

func (c *callerServer) run() { _ = c.server.Serve(c.memoryBudget.NewListener(c.socket)) }

// connStateChanged keeps track of the open and the idle connections.
func (c *callerServer) connStateChanged(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.idle, conn)
	delete(c.awaitingHeader, conn)
	switch state {
	case http.StateNew:
		c.open++
		c.awaitingHeader[conn] = time.Now()
		c.closeExcess(conn)
	case http.StateActive:
		awaitHandler(conn)
	case http.StateIdle:
		c.idle[conn] = time.Now()
	case http.StateClosed, http.StateHijacked:
		c.open--
		c.logUnreadable(conn)
	}
}

// awaitHandler notes that bytes of a request were read.
func awaitHandler(conn net.Conn) {
	if b, ok := conn.(*backlog.Conn); ok {
		b.SetAwaitsHandler(true)
	}
}

// logUnreadable logs the end of a connection whose last bytes were no whole request, which the server answers itself or
// not at all.
func (c *callerServer) logUnreadable(conn net.Conn) {
	b, ok := conn.(*backlog.Conn)
	if !ok || !b.AwaitsHandler() {
		return
	}
	cause := "malformed"
	if err := b.ReadErr(); err != nil {
		cause = err.Error()
	}
	c.counters.Add(metric.RequestsUnreadable, 1)
	event.RequestUnreadable.Log(c.logger, slog.String("caller", conn.RemoteAddr().String()), slog.String("cause", cause))
}

// closeExcess closes a connection if there are too many: the one that has been without a request
// for longest, or the newest if all have one. The mutex is held.
func (c *callerServer) closeExcess(newest net.Conn) {
	if c.maxConnections == 0 || c.open <= c.maxConnections {
		return
	}
	oldest, oldestSince := newest, c.awaitingHeader[newest]
	for _, conns := range []map[net.Conn]time.Time{c.awaitingHeader, c.idle} {
		for conn, since := range conns {
			if since.Before(oldestSince) {
				oldest, oldestSince = conn, since
			}
		}
	}
	c.closeConn(oldest, oldestSince, metric.ClosedExcess)
}

// closeConn closes a connection that has had no request open since a time. The mutex is held.
func (c *callerServer) closeConn(conn net.Conn, since time.Time, reason metric.CloseReason) {
	_ = conn.Close()
	delete(c.idle, conn)
	delete(c.awaitingHeader, conn)
	c.counters.CountConnectionClosed(reason)
	event.ConnectionClosed.Log(c.logger, slog.String("caller", conn.RemoteAddr().String()), slog.String("reason", string(reason)),
		slog.Int64("open_ms", time.Since(since).Milliseconds()))
}

// sweep closes connections that have been idle for longer than the limit in force, and those that
// have not sent a complete header in time. Thousands of connections that send nothing, or an
// endless header, would otherwise use up the connections that callers with requests need.
func (c *callerServer) sweep(now time.Time) {
	limits := c.limits()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for conn, since := range c.idle {
		if limits.IdleMS > 0 && now.After(limits.IdleBy(since).Add(idleSlack)) {
			c.closeConn(conn, since, metric.ClosedIdle)
		}
	}
	for conn, since := range c.awaitingHeader {
		if c.headerOverdue(conn, &limits, since, now) {
			c.closeConn(conn, since, metric.ClosedLate)
		}
	}
}

// headerOverdue reports whether a connection has sent no complete header for too long. A connection
// that has sent nothing at all is idle, as between two requests.
func (c *callerServer) headerOverdue(conn net.Conn, limits *protocol.CallerLimits, since, now time.Time) bool {
	idleDeadline := limits.IdleBy(since)
	if b, ok := conn.(*backlog.Conn); ok {
		if headerStart := b.FirstByteAt(); !headerStart.IsZero() {
			return limits.HeaderMS > 0 && now.After(limits.HeaderBy(headerStart).Add(idleSlack))
		}
	}
	return limits.IdleMS > 0 && now.After(idleDeadline.Add(idleSlack))
}

// close closes every connection at once.
func (c *callerServer) close() {
	if c.socket != nil {
		_ = c.server.Close()
		_ = c.socket.Close()
	}
}
