// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineTokens    = 10_000 // KV cache of an engine
	readPerSecond   = 8_000  // tokens of prompts that an engine reads a second
	tokensPerEvent  = 2
	eventInterval   = 40 * time.Millisecond
	evictionRecheck = 20 * time.Millisecond
	callerPatience  = 2 * time.Second // silence after which callers leave
	firstEventAim   = 500 * time.Millisecond
)

// cacheEngine is an engine whose streams take KV cache as they grow. When that is used up, the newest stream
// is evicted and read anew.
type cacheEngine struct {
	id       string
	incoming chan net.Conn
	ended    chan struct{}
	server   *http.Server
	serve    func(w http.ResponseWriter, r *http.Request) bool // answers a request in place of the engine, nil for none

	mutex     sync.Mutex
	running   []*cacheRun // oldest first
	readUntil time.Time
	evictions int
	rejected  int
}

// cacheRun is a stream at an engine.
type cacheRun struct {
	tokens  int // held in the cache
	evicted bool
}

func newCacheEngine(id string) *cacheEngine {
	e := &cacheEngine{id: id, incoming: make(chan net.Conn), ended: make(chan struct{})}
	e.server = &http.Server{Handler: e}
	return e
}

func (e *cacheEngine) Accept() (net.Conn, error) {
	select {
	case c := <-e.incoming:
		return c, nil
	case <-e.ended:
		return nil, net.ErrClosed
	}
}

func (e *cacheEngine) Close() error    { return nil }
func (e *cacheEngine) Addr() net.Addr  { return &net.TCPAddr{} }
func (e *cacheEngine) run()            { _ = e.server.Serve(e) }
func (e *cacheEngine) address() string { return e.id + ":1" }

// end ends the engine with all its connections.
func (e *cacheEngine) end() {
	close(e.ended)
	_ = e.server.Close()
}

func (e *cacheEngine) hasEnded() bool {
	select {
	case <-e.ended:
		return true
	default:
		return false
	}
}

// used returns the tokens in the cache. The caller holds the mutex.
func (e *cacheEngine) used() int {
	n := 0
	for _, r := range e.running {
		if !r.evicted {
			n += r.tokens
		}
	}
	return n
}

// held returns the tokens in the cache.
func (e *cacheEngine) held() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.used()
}

// enter takes a stream in, if there is room for what it begins with.
func (e *cacheEngine) enter(r *cacheRun) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.used()+r.tokens > engineTokens {
		e.rejected++
		return false
	}
	e.running = append(e.running, r)
	return true
}

// leave gives the room of a stream back.
func (e *cacheEngine) leave(r *cacheRun) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for i := range e.running {
		if e.running[i] == r {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
			return
		}
	}
}

// read returns until when the engine reads a stream's tokens, after those of others.
func (e *cacheEngine) read(r *cacheRun) time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if now := time.Now(); e.readUntil.Before(now) {
		e.readUntil = now
	}
	e.readUntil = e.readUntil.Add(time.Duration(float64(r.tokens) / readPerSecond * float64(time.Second)))
	return e.readUntil
}

// grow adds the tokens of an event, and evicts the newest streams if they do not fit.
func (e *cacheEngine) grow(r *cacheRun) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r.tokens += tokensPerEvent
	for i := len(e.running) - 1; i > 0 && e.used() > engineTokens; i-- {
		if !e.running[i].evicted {
			e.running[i].evicted = true
			e.evictions++
		}
	}
}

// restore takes an evicted stream in again. It reports whether there was room, and whether it was evicted.
func (e *cacheEngine) restore(r *cacheRun) (done, wasEvicted bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !r.evicted {
		return true, false
	}
	if e.used()+r.tokens > engineTokens {
		return false, true
	}
	r.evicted = false
	return true, true
}

// sleep waits until a time or the end of the request, and reports whether the request goes on.
func sleep(ctx context.Context, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *cacheEngine) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if e.serve != nil && e.serve(w, request) {
		return
	}
	id := request.Header.Get("X-Pinerun-Request-Id")
	prompt, answer := tokensOf(request.Header)
	sent, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	r := &cacheRun{tokens: prompt + sent*tokensPerEvent}
	w.Header().Set("X-Pinerun-Request-Id", id)
	if !e.enter(r) {
		w.Header().Set("X-Pinerun-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave(r)
	if !sleep(request.Context(), e.read(r)) {
		return
	}
	w.Header().Set("X-Pinerun-Response-Signature", "signed")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := sent + 1; n <= answer/tokensPerEvent; n++ {
		if !e.writeEvent(request.Context(), w, r, n) {
			return
		}
	}
}

// writeEvent makes an event and sends it.
func (e *cacheEngine) writeEvent(ctx context.Context, w http.ResponseWriter, r *cacheRun, n int) bool {
	for {
		done, wasEvicted := e.restore(r)
		if done && wasEvicted && !sleep(ctx, e.read(r)) {
			return false
		}
		if done {
			break
		}
		if !sleep(ctx, time.Now().Add(evictionRecheck)) {
			return false
		}
	}
	if !sleep(ctx, time.Now().Add(eventInterval)) {
		return false
	}
	e.grow(r)
	if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", n); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// tokensOf returns the tokens of the prompt and of the answer that a request names.
func tokensOf(h http.Header) (prompt, answer int) {
	p, a, _ := strings.Cut(h.Get("X-Pinerun-Token-Usage"), ",")
	prompt, _ = strconv.Atoi(p)
	answer, _ = strconv.Atoi(a)
	return prompt, answer
}
