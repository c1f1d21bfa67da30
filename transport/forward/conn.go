// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/transport/backlog"
)

const (
	// dialTimeout is how long an endpoint may take to accept a connection. It is
	// within a millisecond away; a lost packet would be sent again after a second.
	dialTimeout = 300 * time.Millisecond
	// maxIdleTime is how long a connection rests at most when the endpoint names no
	// time of its own.
	maxIdleTime = 5 * time.Second
	// idleTimeMargin is how much sooner than the endpoint a connection is given up.
	idleTimeMargin = 1500 * time.Millisecond
	// maxIdlePerEndpoint bounds the connections to one endpoint that rest.
	maxIdlePerEndpoint = 16
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	endpoint  string
	reused    bool
	idleUntil time.Time
}

// connPool keeps connections that rest, by endpoint ID: an address may be handed to
// another endpoint. The zero value is empty.
type connPool struct {
	mutex   sync.Mutex
	idle    map[string][]*conn
	opened  func()
	buffers bufferPool
}

// get returns a resting connection, or opens one. Fresh asks for a new one.
func (p *connPool) get(ctx context.Context, endpoint, address string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(endpoint, clock.Now()); c != nil {
			return c, nil
		}
	}
	if p.opened != nil {
		p.opened()
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: backlog.BoundEngine}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: p.buffers.get(raw), endpoint: endpoint}, nil
}

func (p *connPool) takeIdle(endpoint string, now time.Time) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for {
		list := p.idle[endpoint]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		p.idle[endpoint] = list[:len(list)-1]
		if now.Before(c.idleUntil) && c.usable() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// put lets a connection rest after a whole answer with that head.
func (p *connPool) put(c *conn, h http.Header, now time.Time) {
	c.idleUntil = now.Add(maxIdleTime)
	if seconds, ok := keepAliveSeconds(h); ok {
		c.idleUntil = now.Add(min(maxIdleTime, time.Duration(seconds)*time.Second-idleTimeMargin))
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c.reader.Buffered() > 0 || !now.Before(c.idleUntil) || len(p.idle[c.endpoint]) >= maxIdlePerEndpoint {
		_ = c.Close()
		return
	}
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
}

// closeIdle gives up the connections to an endpoint that rest: one that had rested beside them
// brought no answer, and what is on the way may have forgotten all that were open.
func (p *connPool) closeIdle(endpoint string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[endpoint] {
		_ = c.Close()
		p.buffers.put(c.reader)
	}
	delete(p.idle, endpoint)
}

// sweep closes connections that have rested long enough.
func (p *connPool) sweep(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for endpoint, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
			p.buffers.put(c.reader)
		}
		if len(kept) == 0 {
			delete(p.idle, endpoint)
			continue
		}
		p.idle[endpoint] = kept
	}
}

// usable reports whether nothing has come on a resting connection, neither bytes
// nor its end.
func (c *conn) usable() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keepAliveSeconds returns the seconds that an endpoint says it keeps a connection.
func keepAliveSeconds(h http.Header) (int, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			n, err := strconv.Atoi(value)
			return n, err == nil
		}
	}
	return 0, false
}
