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
	// dialLimit is how long an endpoint may take to accept a connection. It is
	// within a millisecond away; a lost packet would be sent again after a second.
	dialLimit = 300 * time.Millisecond
	// restMost is how long a connection rests at most when the endpoint names no
	// time of its own.
	restMost = 5 * time.Second
	// restMargin is how much sooner than the endpoint a connection is given up.
	restMargin = 1500 * time.Millisecond
	// restingMost bounds the connections to one endpoint that rest.
	restingMost = 16
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	endpoint string
	reused   bool
	restTill time.Time
}

// pool keeps connections that rest, by endpoint ID: an address may be handed to
// another endpoint. The zero value is empty.
type pool struct {
	mutex   sync.Mutex
	resting map[string][]*conn
	opened  func()
	readers readers
}

// get returns a resting connection, or opens one. Fresh asks for a new one.
func (p *pool) get(ctx context.Context, endpoint, address string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.take(endpoint, clock.Now()); c != nil {
			return c, nil
		}
	}
	if p.opened != nil {
		p.opened()
	}
	d := net.Dialer{Timeout: dialLimit, KeepAlive: -1, Control: backlog.LimitEngineSocket}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: p.readers.get(raw), endpoint: endpoint}, nil
}

func (p *pool) take(endpoint string, now time.Time) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for {
		list := p.resting[endpoint]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		p.resting[endpoint] = list[:len(list)-1]
		if now.Before(c.restTill) && c.quiet() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// put lets a connection rest after a whole answer with that head.
func (p *pool) put(c *conn, h http.Header, now time.Time) {
	c.restTill = now.Add(restMost)
	if seconds, ok := keepAlive(h); ok {
		c.restTill = now.Add(min(restMost, time.Duration(seconds)*time.Second-restMargin))
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c.reader.Buffered() > 0 || !now.Before(c.restTill) || len(p.resting[c.endpoint]) >= restingMost {
		_ = c.Close()
		return
	}
	if p.resting == nil {
		p.resting = make(map[string][]*conn)
	}
	p.resting[c.endpoint] = append(p.resting[c.endpoint], c)
}

// distrust gives up the connections to an endpoint that rest: one that had rested beside them
// brought no answer, and what is on the way may have forgotten all that were open.
func (p *pool) distrust(endpoint string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.resting[endpoint] {
		_ = c.Close()
		p.readers.put(c.reader)
	}
	delete(p.resting, endpoint)
}

// sweep closes connections that have rested long enough.
func (p *pool) sweep(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for endpoint, list := range p.resting {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.restTill) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
			p.readers.put(c.reader)
		}
		if len(kept) == 0 {
			delete(p.resting, endpoint)
			continue
		}
		p.resting[endpoint] = kept
	}
}

// quiet reports whether nothing has come on a resting connection, neither bytes
// nor its end.
func (c *conn) quiet() bool {
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

// keepAlive returns the seconds that an endpoint says it keeps a connection.
func keepAlive(h http.Header) (int, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			n, err := strconv.Atoi(value)
			return n, err == nil
		}
	}
	return 0, false
}
