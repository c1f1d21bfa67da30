// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxEvents bounds the items of a list and the events of a watch in one answer.
const maxEvents = 500

// store plays the platform's object store. Each entry reaches it at an address of its own, so that it
// can turn some of them away.
type store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject // by kind and name
	history  []storedEvent
	changed  chan struct{}
}

type objectMetadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Made       uint64   `json:"made"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storedObject struct {
	Metadata objectMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storedEvent struct {
	kind   string
	Gone   bool         `json:"gone"`
	Object storedObject `json:"object"`
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]storedObject{}, changed: make(chan struct{})}
}

// storePort is the store at the address of one entry.
type storePort struct {
	store    *store
	address  string
	turnAway atomic.Bool // the entry gets 503
	server   http.Server
}

// listen opens an address of the store.
func (s *store) listen() (*storePort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storePort{store: s, address: l.Addr().String()}
	p.server.Handler = p
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// ServeHTTP serves one call of the entry.
func (p *storePort) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.turnAway.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	name = strings.TrimSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		p.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		p.store.list(w, kind, r.URL.Query().Get("start_after"))
	case r.Method == http.MethodGet:
		p.store.get(w, kind, name)
	case r.Method == http.MethodDelete:
		p.store.serveDelete(w, r, kind, name)
	default:
		p.store.serveWrite(w, r, kind, name)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items := []storedObject{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > maxEvents
	if more {
		items = items[:maxEvents]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "at": s.revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

// watch answers as soon as there is an event, or when the wait is over. An entry that is turned away
// meanwhile gets 503.
func (p *storePort) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, at, changed := p.store.since(kind, after)
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-over:
			writeJSON(w, http.StatusOK, map[string]any{"events": []storedEvent{}, "at": at})
			return
		case <-r.Context().Done():
			return
		}
		if p.turnAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

func (s *store) since(kind string, after uint64) ([]storedEvent, uint64, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var events []storedEvent
	for _, e := range s.history {
		if e.kind == kind && e.Object.Metadata.Revision > after {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o storedObject
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	current, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision:
		writeJSON(w, http.StatusConflict, current)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		writeJSON(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}

func (s *store) serveDelete(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, exists := s.objects[kind][name]
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case revision != 0 && revision != current.Metadata.Revision:
		writeJSON(w, http.StatusConflict, current)
	default:
		s.remove(kind, name)
		writeJSON(w, http.StatusOK, current)
	}
}

// put writes an object for the operator or a server. The store has acknowledged it when put returns.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(kind, name, b)
}

// drop removes an object. The store has acknowledged that when drop returns.
func (s *store) drop(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remove(kind, name)
}

// write writes an object. The mutex is held.
func (s *store) write(kind, name string, spec json.RawMessage) storedObject {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storedObject{}
	}
	o, exists := s.objects[kind][name]
	if exists && bytes.Equal(o.Spec, spec) {
		return o // a write that changes nothing raises no revision
	}
	s.revision++
	if !exists {
		o.Metadata = objectMetadata{Name: name, Made: s.revision, Finalizers: []string{}}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.addEvent(storedEvent{kind: kind, Object: o})
	return o
}

// remove removes an object. The mutex is held.
func (s *store) remove(kind, name string) {
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.addEvent(storedEvent{kind: kind, Gone: true, Object: o})
}

// addEvent tells the watches of an event. The mutex is held.
func (s *store) addEvent(e storedEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}
