// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/transport/tunnel"
)

const (
	// maxIdleTime is the longest idle time of a connection if the endpoint announces none.
	maxIdleTime = 5 * time.Second
	// idleTimeMargin is how much earlier than the endpoint the pool closes an idle connection.
	idleTimeMargin = 1500 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 16
)

// conn is a connection to an endpoint with its read buffer.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	head      *headBound // bound of the head that is being read, nil for none
	endpoint  string
	reused    bool
	peer      string    // the entry that the connection goes through, "" for none
	openedAt  time.Time // when connecting began
	idleUntil time.Time
}

// connPool keeps idle connections by endpoint ID, since an address may be reassigned to another
// endpoint. The zero value is empty.
type connPool struct {
	mutex   sync.Mutex
	idle    map[string][]*conn
	opened  func()
	buffers bufferPool
	dial    func(ctx context.Context, address string) (net.Conn, error)
}

// connect connects to the address of an endpoint.
func (f *Forwarder) connect(ctx context.Context, address string) (net.Conn, error) {
	if f.Links != nil {
		return f.Links.Dial(ctx, address)
	}
	if f.Dial != nil {
		return f.Dial(ctx, address)
	}
	return tunnel.DialTCP(ctx, address)
}

// get returns an idle connection or opens one. If fresh is true, it always opens one.
func (p *connPool) get(ctx context.Context, endpoint, address string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(endpoint, clock.Now()); c != nil {
			return c, nil
		}
	}
	if p.opened != nil {
		p.opened()
	}
	dial := p.dial
	if dial == nil {
		dial = tunnel.DialTCP
	}
	openedAt := clock.Now()
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, endpoint: endpoint, peer: tunnel.Peer(raw), openedAt: openedAt}
	c.reader = p.buffers.get(c)
	return c, nil
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

// put returns a connection to the pool after a whole response with that head.
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

// closeIdle closes the idle connections to an endpoint. It is called when another reused connection
// to it delivered no response: a device on the network path may have dropped the state of all of
// them.
func (p *connPool) closeIdle(endpoint string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[endpoint] {
		_ = c.Close()
		p.buffers.put(c.reader)
	}
	delete(p.idle, endpoint)
}

// sweep closes connections that have been idle too long.
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

// usable reports whether an idle connection has received neither bytes nor a close. No goroutine may
// be reading from it.
func (c *conn) usable() bool {
	raw, ok := c.rawConn()
	if !ok {
		return false
	}
	empty := false
	err := raw.Read(func(fd uintptr) bool {
		_, err := peek(fd)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// hasUnread reports whether the socket holds unread bytes. It doesn't wait for a goroutine that reads.
func (c *conn) hasUnread() bool {
	raw, ok := c.rawConn()
	if !ok {
		return false
	}
	unread := false
	err := raw.Control(func(fd uintptr) {
		n, err := peek(fd)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// rawConn returns the connection's socket, if it has one.
func (c *conn) rawConn() (syscall.RawConn, bool) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := s.SyscallConn()
	return raw, err == nil
}

// peek returns the number of bytes that can be read from a socket now, at most one, and leaves them
// there.
func peek(fd uintptr) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// keepAliveSeconds returns how many seconds the endpoint says it keeps an idle connection open.
func keepAliveSeconds(h http.Header) (int, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			n, err := strconv.Atoi(value)
			return n, err == nil
		}
	}
	return 0, false
}
