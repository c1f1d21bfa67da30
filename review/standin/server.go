// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// loadTime is how long a server takes to load layers before the first request.
const loadTime = 200 * time.Millisecond

// server plays one server: a model runner, or one of a plain service.
type server struct {
	id      string
	service string
	address string
	zone    string
	model   bool
	store   *store
	record  *record
	// stream writes the events of a request after the given one, and returns false to end the
	// connection there.
	stream func(w *streamWriter, id string, after int) bool
	// arrived is called with each request that the server runs; nil for no call.
	arrived func(s *server, id string)

	http http.Server

	mutex    sync.Mutex
	sequence int
	from, to int
	streams  map[net.Conn]bool // open streams
	ended    bool
}

// start opens the server's address, a free one if it has none yet, and writes its record.
func (s *server) start() error {
	if s.address == "" {
		s.address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.streams = map[net.Conn]bool{}
	s.http.Handler = s
	go func() { _ = s.http.Serve(l) }()
	s.writeRecord("ready")
	return nil
}

// crash ends the server without a word. Its record stays until the store misses its heartbeats.
func (s *server) crash() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
	_ = s.http.Close()
	for c := range s.streams {
		_ = c.Close()
	}
}

// next returns the server that starts at the address of one that crashed. It holds nothing, and its id
// is new.
func (s *server) next() *server {
	return &server{
		id: s.id + "-again", service: s.service, address: s.address, zone: s.zone, model: s.model, store: s.store, record: s.record, stream: s.stream, arrived: s.arrived,
	}
}

func (s *server) writeRecord(state string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	record := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": serverSlots, "state": state, "cold_left_ms": 0, "sequence": s.sequence,
	}
	if s.model {
		s.addModel(record)
	}
	s.store.put("servers", s.id, record)
}

// addModel adds what a model runner tells wherever it tells its models. The mutex is held.
func (s *server) addModel(m map[string]any) {
	m["stage"] = "dual"
	m["models"] = []any{map[string]any{"name": "m0", "version": 1, "adapters": []string{}}}
	m["layers"] = map[string]int{"from": s.from, "target_version": s.to, "version": 1}
	m["route_type"] = modelKind
}

// ServeHTTP serves a request, an order, or a question for the report or the health.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Pinerun-Instance-Id", s.id)
	switch {
	case r.URL.Path == "/health":
		w.WriteHeader(http.StatusOK)
	case r.Header.Get("X-Pinerun-Expected-Instance") != "" && r.Header.Get("X-Pinerun-Expected-Instance") != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case s.model && r.URL.Path == "/report":
		s.serveReport(w)
	case s.model && r.URL.Path == "/order":
		s.serveOrder(w, r)
	case r.Header.Get("X-Pinerun-Request-Id") == "":
		w.Header().Set("X-Pinerun-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	case s.model:
		s.serveStream(w, r)
	default:
		s.serveCall(w, r)
	}
}

func (s *server) serveReport(w http.ResponseWriter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m := map[string]any{
		"busy": false, "sequence": s.sequence, "waiting": 0, "running": len(s.streams), "kv_used": 0, "kv_total": 1_000_000, "handles": 0, "pace": 1.0, "stalled": []any{},
	}
	s.addModel(m)
	writeJSON(w, http.StatusOK, m)
}

func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op       string `json:"op"`
		From     int    `json:"from"`
		To       int    `json:"target_version"`
		Expected *int   `json:"expected_rev"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Op != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if o.Expected != nil && *o.Expected != s.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if o.From == s.from && o.To == s.to {
		w.WriteHeader(http.StatusOK)
		return
	}
	s.sequence++
	s.record.add("%s is ordered to hold layers %d to %d", s.id, o.From, o.To)
	go s.load(o.From, o.To)
	w.WriteHeader(http.StatusAccepted)
}

// load holds other layers from now on.
func (s *server) load(from, to int) {
	time.Sleep(loadTime)
	s.mutex.Lock()
	s.from, s.to = from, to
	ended := s.ended
	s.mutex.Unlock()
	if !ended {
		s.writeRecord("ready")
	}
}

// holdsPath reports whether the server alone holds all layers of a request's path.
func (s *server) holdsPath(path string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.from == 0 && s.to == modelLayers && path == s.address+"=0-"+strconv.Itoa(modelLayers)
}

// serveStream runs a request whose answer is a stream.
func (s *server) serveStream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Pinerun-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	if !s.holdsPath(r.Header.Get("Path")) {
		w.Header().Set("At-Server", s.address)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.record.add("%s runs %s after event %d", s.id, id, after)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if !s.opened(c) {
		return
	}
	defer s.closed(c)
	if s.arrived != nil {
		s.arrived(s, id)
	}
	sw := &streamWriter{conn: c}
	sw.raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nVersions: 1\r\n" +
		"X-Pinerun-Request-Id: " + id + "\r\nX-Pinerun-Response-Signature: signed-by-" + s.id + "\r\n\r\n")
	if !s.stream(sw, id, after) {
		s.record.add("%s breaks %s off", s.id, id)
		return
	}
	sw.raw("0\r\n\r\n")
	s.record.add("%s has run %s to its end", s.id, id)
}

// opened notes an open stream, and reports false if the server has ended.
func (s *server) opened(c net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.ended {
		s.streams[c] = true
	}
	return !s.ended
}

func (s *server) closed(c net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.streams, c)
}

// streamWriter writes a chunked answer.
type streamWriter struct{ conn net.Conn }

func (w *streamWriter) raw(text string) { _, _ = io.WriteString(w.conn, text) }

// chunk writes one chunk.
func (w *streamWriter) chunk(text string) { w.raw(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

// serveCall runs a request of a plain service.
func (s *server) serveCall(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Pinerun-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	if s.arrived != nil {
		s.arrived(s, id)
	}
	time.Sleep(callTime)
	w.Header().Set("X-Pinerun-Request-Id", id)
	w.Header().Set("X-Pinerun-Instance-Load", "1,0,"+strconv.Itoa(serverSlots))
	w.Header().Set("X-Pinerun-Response-Signature", "signed-by-"+s.id)
	body := strings.Repeat("x", 800)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}
