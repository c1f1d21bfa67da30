// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"log/slog"
	"sync"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/state/fleet"
)

// Pool holds a client for each runner in use. The zero value is empty and needs Counters before
// use.
type Pool struct {
	Counters *metric.Set
	Logger   *slog.Logger

	mutex   sync.Mutex
	clients map[*fleet.Runner]*Client
	closed  bool
}

// Client returns the client of a runner and creates it at the first call. After Close it returns a
// client that drops every step unsent and reports ConnectionLost.
func (p *Pool) Client(r *fleet.Runner) *Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c := p.clients[r]; c != nil {
		return c
	}
	if p.clients == nil {
		p.clients = map[*fleet.Runner]*Client{}
	}
	c := &Client{Runner: r, Counters: p.Counters, Logger: p.Logger}
	c.Start()
	if p.closed {
		c.Close()
	}
	p.clients[r] = c
	return c
}

// CloseUnused closes the clients of runners that the view no longer holds and that no request waits
// for.
func (p *Pool) CloseUnused(v *fleet.View) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for r, c := range p.clients {
		if v.Runner(r.Name()) != r && c.hasNoPending() {
			c.done.Close()
			delete(p.clients, r)
		}
	}
}

func (c *Client) hasNoPending() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.pending) == 0
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, c := range p.clients {
		c.Close()
	}
}
