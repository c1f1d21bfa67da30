// SPDX-License-Identifier: Apache-2.0

package front

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"pinerun.example/pinerun/internal/clock"
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
	// maxExcessTries bounds how many connections are tried to make room for a new one.
	maxExcessTries = 4
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

	mutex   sync.Mutex
	open    int                            // connections
	waiting map[*backlog.Conn]waitingSince // connections without a whole header of a request
}

// waitingSince says since when a connection has had no request open, and whether it has brought one before.
type waitingSince struct {
	at   time.Time
	kept bool
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
	c.waiting = make(map[*backlog.Conn]waitingSince)
	c.server = http.Server{
		Handler: h, ReadHeaderTimeout: maxHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: c.connStateChanged,
		ConnContext: backlog.NewContext, DisableGeneralOptionsHandler: true,
	}
	go c.run()
}

func (c *callerServer) run() { _ = c.server.Serve(c.memoryBudget.NewListener(c.socket)) }

// connStateChanged keeps track of the open and the waiting connections.
func (c *callerServer) connStateChanged(n net.Conn, state http.ConnState) {
	conn, ok := n.(*backlog.Conn)
	if !ok {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.waiting, conn)
	switch state {
	case http.StateNew:
		c.open++
		c.waiting[conn] = waitingSince{at: time.Now()}
		c.closeExcess(conn)
	case http.StateActive:
		conn.SetAwaitsHandler(true)
	case http.StateIdle:
		conn.BeginIdle()
		c.waiting[conn] = waitingSince{at: time.Now(), kept: true}
	case http.StateClosed, http.StateHijacked:
		c.open--
		c.logUnreadable(conn)
	}
}

// logUnreadable logs the end of a connection whose last bytes were no whole request, which the server answers itself or
// not at all. What this entry closed has its own event.
func (c *callerServer) logUnreadable(conn *backlog.Conn) {
	if !conn.AwaitsHandler() || conn.ClosedWaiting() {
		return
	}
	cause := "malformed"
	if err := conn.ReadErr(); err != nil {
		cause = err.Error()
	}
	c.counters.Add(metric.RequestsUnreadable, 1)
	event.RequestUnreadable.Log(c.logger, slog.String("caller", conn.RemoteAddr().String()), slog.String("cause", cause))
}

// closeExcess closes a connection if there are too many: the one that has been without a request for longest, or the
// newest if requests arrive on the others. The mutex is held.
func (c *callerServer) closeExcess(newest *backlog.Conn) {
	if c.maxConnections == 0 || c.open <= c.maxConnections {
		return
	}
	var after time.Time
	for range maxExcessTries {
		oldest, since := c.oldestAfter(after)
		if oldest == nil || oldest == newest {
			break
		}
		if oldest.CloseWaiting() {
			c.recordClosed(oldest, since, metric.ClosedExcess)
			return
		}
		after = since
	}
	if newest.CloseUnread() {
		c.recordClosed(newest, c.waiting[newest].at, metric.ClosedExcess)
	}
}

// oldestAfter returns the connection that has waited for longest of those that have waited since later than a time, or nil.
// The mutex is held.
func (c *callerServer) oldestAfter(after time.Time) (oldest *backlog.Conn, since time.Time) {
	for conn, w := range c.waiting {
		if w.at.After(after) && (oldest == nil || w.at.Before(since)) {
			oldest, since = conn, w.at
		}
	}
	return oldest, since
}

// recordClosed records that a connection was closed that had brought no request since a time. The mutex is held.
func (c *callerServer) recordClosed(conn *backlog.Conn, since time.Time, reason metric.CloseReason) {
	delete(c.waiting, conn)
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
	for conn, w := range c.waiting {
		reason, overdue := overdueFor(conn, &limits, w, now)
		if overdue && conn.CloseWaiting() {
			c.recordClosed(conn, w.at, reason)
		}
	}
}

// overdueFor reports whether a connection has been idle for too long, or has begun a request and not sent its whole
// header in time. Without a limit on headers, a kept connection may be idle after its first bytes: the server itself bounds
// only headers of four bytes and more, and a line end after a request is none.
func overdueFor(conn *backlog.Conn, limits *protocol.CallerLimits, w waitingSince, now time.Time) (metric.CloseReason, bool) {
	since := w.at
	if headerStart := conn.FirstByteAt(); !headerStart.IsZero() {
		if limits.HeaderMS > 0 || !w.kept {
			return metric.ClosedLate, limits.HeaderMS > 0 && now.After(limits.HeaderBy(headerStart).Add(idleSlack))
		}
		since = headerStart
	}
	return metric.ClosedIdle, limits.IdleMS > 0 && now.After(limits.IdleBy(since).Add(idleSlack))
}

// closeKept closes the connections that have brought a request before and are idle, and if all is true those that have
// brought none yet.
func (c *callerServer) closeKept(all bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for conn, w := range c.waiting {
		if (w.kept || all) && conn.FirstByteAt().IsZero() && conn.CloseWaiting() {
			c.recordClosed(conn, w.at, metric.ClosedStopping)
		}
	}
}

// openCount returns the number of open connections.
func (c *callerServer) openCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.open
}

// finish accepts no further connections and waits, until the deadline at most, for all responses whose handlers have
// returned: the server writes the end of a response after that.
func (c *callerServer) finish(deadline time.Time) {
	_ = c.socket.Close()
	for c.openCount() > 0 && clock.Now().Before(deadline) {
		c.closeKept(true)
		time.Sleep(stopPollInterval)
	}
}

// close closes every connection at once.
func (c *callerServer) close() {
	if c.socket != nil {
		_ = c.server.Close()
		_ = c.socket.Close()
	}
}
