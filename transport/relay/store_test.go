// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/era"
	"pinerun.example/pinerun/transport/platform"
	"pinerun.example/pinerun/transport/watch"
)

// store is the platform: objects of one kind and their history.
type store struct {
	network        network // between the entries that call the store
	mutex          sync.Mutex
	objects        map[string]protocol.Object
	history        []protocol.Change
	revisions      []uint64
	revision       uint64
	era            uint64
	oldest         uint64
	changed        chan struct{}
	down           bool
	watchesStalled bool // watches deliver nothing
	calls          map[string]int
}

func newStore() *store {
	return &store{network: network{subprotocols: protocol.RelaySubprotocols()}, objects: map[string]protocol.Object{}, changed: make(chan struct{}), calls: map[string]int{}, revision: 1, era: 1}
}

// at returns the revision with a number in the current era.
func (s *store) at(number uint64) protocol.Revision {
	return protocol.Revision{Era: s.era, Number: number}
}

func (s *store) put(name, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	o := protocol.Object{Kind: kind, Name: name, Version: s.at(s.revision), Value: []byte(value)}
	s.objects[name] = o
	s.record(protocol.Change{Object: o})
}

func (s *store) remove(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	o := s.objects[name]
	delete(s.objects, name)
	s.record(protocol.Change{Object: o, Deleted: true})
}

// removeWithoutHistory removes an object and drops the history that contains the removal.
func (s *store) removeWithoutHistory(name string) {
	s.mutex.Lock()
	s.revision++
	delete(s.objects, name)
	s.oldest = s.revision
	s.mutex.Unlock()
	s.forget()
}

func (s *store) record(c protocol.Change) {
	s.history = append(s.history, c)
	s.revisions = append(s.revisions, s.revision)
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops the history.
func (s *store) forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.oldest = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeCopy is the content of the store at a moment.
type storeCopy struct {
	objects  map[string]protocol.Object
	revision uint64
}

// copied returns a copy to restore later.
func (s *store) copied() storeCopy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return storeCopy{objects: maps.Clone(s.objects), revision: s.revision}
}

// restore makes the store come back from a copy, in the next era and without a history.
func (s *store) restore(c storeCopy) {
	s.mutex.Lock()
	s.objects, s.revision = maps.Clone(c.objects), c.revision
	s.era++
	for name, o := range s.objects {
		o.Version.Era = s.era
		s.objects[name] = o
	}
	s.history, s.revisions = nil, nil
	s.mutex.Unlock()
	s.forget()
}

// setDown makes the calls of every entry fail, or succeed again.
func (s *store) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// platformClient is one entry's access to the store.
type platformClient struct {
	store *store
	name  string
	eras  *era.Tracker
	mutex sync.Mutex
	cut   bool
	// silenced is closed when the open connections go silent; hanging is the kind of objects whose calls
	// never get an answer.
	silenced chan struct{}
	hanging  string
	delay    time.Duration // of every answer
}

// setDelay makes every answer to the entry take longer.
func (p *platformClient) setDelay(d time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.delay = d
}

// silence makes the calls that wait now never get an answer. Later ones use new connections.
func (p *platformClient) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.silenced != nil {
		close(p.silenced)
	}
	p.silenced = make(chan struct{})
}

// hang makes the calls for a kind get no answer from now on.
func (p *platformClient) hang(kind string) {
	p.mutex.Lock()
	p.hanging = kind
	p.mutex.Unlock()
	p.silence()
}

// open returns the channel that is closed when the connection of a call goes silent, and whether it is so
// already.
func (p *platformClient) open(kind string) (<-chan struct{}, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.silenced == nil {
		p.silenced = make(chan struct{})
	}
	return p.silenced, p.hanging == kind
}

// pause waits unless there is nothing to wait for.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// timeOut returns the error of a call that began at a time and whose answer may take a limit.
func timeOut(ctx context.Context, askedAt time.Time, limit time.Duration) error {
	if err := pause(ctx, time.Until(askedAt.Add(limit))); err != nil {
		return err
	}
	return platform.NewUnavailable(context.DeadlineExceeded)
}

var errCut = platform.NewUnavailable(errors.New("cut off"))

// cutOff makes every call of the entry fail from now on.
func (p *platformClient) cutOff() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cut = true
}

// restoreAccess makes the calls of the entry succeed again.
func (p *platformClient) restoreAccess() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cut = false
}

func (p *platformClient) call(ctx context.Context) error {
	p.mutex.Lock()
	cut, delay := p.cut, p.delay
	p.mutex.Unlock()
	if err := pause(ctx, delay); err != nil {
		return err
	}
	p.store.mutex.Lock()
	defer p.store.mutex.Unlock()
	p.store.calls[p.name]++
	if cut || p.store.down {
		return errCut
	}
	p.eras.Observe(p.store.era)
	return nil
}

func (p *platformClient) List(ctx context.Context, kind string) (protocol.Listing, error) {
	if err := p.call(ctx); err != nil {
		return protocol.Listing{}, err
	}
	if _, hangs := p.open(kind); hangs {
		return protocol.Listing{}, timeOut(ctx, time.Now(), listTimeout)
	}
	s := p.store
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := protocol.Listing{Revision: s.at(s.revision)}
	for _, o := range s.objects {
		l.Objects = append(l.Objects, o)
	}
	return l, nil
}

func (p *platformClient) Watch(ctx context.Context, kind string, after protocol.Revision, wait time.Duration) (protocol.Changes, error) {
	if err := p.call(ctx); err != nil {
		return protocol.Changes{}, err
	}
	askedAt := time.Now()
	silenced, hangs := p.open(kind)
	if hangs {
		return protocol.Changes{}, timeOut(ctx, askedAt, wait+watch.AnswerMargin)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	s := p.store
	s.mutex.Lock()
	era := s.era
	s.mutex.Unlock()
	if after.Era != era {
		return protocol.Changes{}, &platform.Compacted{}
	}
	for {
		s.mutex.Lock()
		if s.era != era {
			s.mutex.Unlock()
			return protocol.Changes{}, errCut
		}
		c := protocol.Changes{Revision: s.at(s.revision)}
		for i, h := range s.history {
			if s.revisions[i] > after.Number {
				c.Changes = append(c.Changes, h)
			}
		}
		compacted, changed := after.Number < s.oldest || after.Number > s.revision, s.changed
		if s.watchesStalled {
			c.Changes = nil
		}
		s.mutex.Unlock()
		if compacted {
			return protocol.Changes{}, &platform.Compacted{}
		}
		if len(c.Changes) > 0 {
			return c, nil
		}
		select {
		case <-silenced:
			return protocol.Changes{}, timeOut(ctx, askedAt, wait+watch.AnswerMargin)
		case <-changed:
		case <-t.C:
			return c, nil
		case <-ctx.Done():
			return protocol.Changes{}, ctx.Err()
		}
	}
}

func (p *platformClient) Get(ctx context.Context, _, name string) (protocol.Object, error) {
	if err := p.call(ctx); err != nil {
		return protocol.Object{}, err
	}
	p.store.mutex.Lock()
	defer p.store.mutex.Unlock()
	object, ok := p.store.objects[name]
	if !ok {
		return protocol.Object{}, platform.NewNotFound(kind, name)
	}
	return object, nil
}

// listTimeout bounds a list.
const listTimeout = 1500 * time.Millisecond

// newSilentPeer starts a peer that sends one object and nothing after that. It returns the peer's
// record.
func newSilentPeer(t *testing.T, s *store, kind string, o protocol.Object) protocol.EntryRecord {
	server := s.network.serve("silent:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: s.network.subprotocols})
		if err != nil {
			return
		}
		defer socket.CloseNow()
		frame := protocol.RelayFrame{FailedMS: -1, Deltas: []protocol.RelayDelta{{
			Kind: kind, Revision: o.Version, Snapshot: true, Changes: []protocol.RelayChange{{Name: o.Name, Version: o.Version.Number, Value: o.Value}},
		}}}
		b, err := protocol.RelayFormOf(socket.Subprotocol()).Encode(&frame)
		if err != nil {
			return
		}
		if _, _, err := socket.Read(r.Context()); err != nil {
			return
		}
		err = socket.Write(r.Context(), websocket.MessageBinary, b)
		for err == nil {
			_, _, err = socket.Read(r.Context())
		}
	}))
	t.Cleanup(func() { _ = server.Close() })
	return protocol.EntryRecord{Name: "silent", DataCenter: "a", Key: "k", PeerAddress: "silent:1"}
}
