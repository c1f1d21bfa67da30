// SPDX-License-Identifier: Apache-2.0

package claims

import (
	"context"
	"errors"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/claim"
	"pinerun.example/pinerun/protocol"
)

const (
	// remoteTimeout is how long to wait for the answer of the entry that writes a shard, before
	// this entry writes the shard itself.
	remoteTimeout = 750 * time.Millisecond
	// serveTimeout bounds the work on another entry's request.
	serveTimeout = 2 * time.Second
)

// errNoAnswer reports that the entry that writes the shard did not decide in time.
var errNoAnswer = errors.New("the entry that writes the shard did not decide the claim in time")

// remoteCalls are the requests to other entries that have no answer yet.
type remoteCalls struct {
	mutex      sync.Mutex
	nextID     uint64
	pending    map[uint64]chan protocol.ClaimAnswer
	persisting int           // records that other entries are making durable
	drained    chan struct{} // closed when persisting falls to zero
}

// remoteWriter returns the entry that owns a shard, and whether that is another entry than this
// one.
func (st *Store) remoteWriter(s *shard) (string, bool) {
	if st.Mesh == nil {
		return "", false
	}
	writer := st.Mesh.Owner(s.kind())
	return writer, writer != st.Mesh.Self.Name
}

// callRemote sends a record to another entry and waits for the verdict.
func (st *Store) callRemote(ctx context.Context, writer string, r protocol.ClaimRecord) (claim.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	id, answers := st.calls.add()
	defer st.calls.remove(id)
	if !st.Mesh.Send(writer, protocol.PeerFrame{ClaimRequests: []protocol.ClaimRequest{{ID: id, Record: r}}}) {
		return claim.Result{}, errNoAnswer
	}
	select {
	case answer := <-answers:
		if answer.Failed {
			return claim.Result{}, errNoAnswer
		}
		return claim.RemoteResult(r, claim.Verdict(answer.Verdict), answer.Held), nil
	case <-ctx.Done():
		return claim.Result{}, errNoAnswer
	}
}

// add registers a request and returns its ID and the channel for its answer.
func (c *remoteCalls) add() (uint64, chan protocol.ClaimAnswer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending == nil {
		c.pending = map[uint64]chan protocol.ClaimAnswer{}
	}
	c.nextID++
	answer := make(chan protocol.ClaimAnswer, 1)
	c.pending[c.nextID] = answer
	return c.nextID, answer
}

// remove forgets a request.
func (c *remoteCalls) remove(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.pending, id)
}

// deliver passes an answer to the request that waits for it.
func (c *remoteCalls) deliver(answer protocol.ClaimAnswer) {
	c.mutex.Lock()
	answers := c.pending[answer.ID]
	c.mutex.Unlock()
	if answers == nil {
		return // the request has timed out
	}
	select {
	case answers <- answer:
	default:
	}
}

// HandleFrame handles the requests and answers about claims in a peer's frame.
func (st *Store) HandleFrame(from string, f *protocol.PeerFrame) {
	for _, a := range f.ClaimAnswers {
		st.calls.deliver(a)
	}
	for _, r := range f.ClaimRequests {
		go (&remoteRequest{store: st, from: from, request: r}).run()
	}
}

// remoteRequest is a request of another entry.
type remoteRequest struct {
	store   *Store
	from    string
	request protocol.ClaimRequest
}

// run makes the record durable and sends the verdict.
func (r *remoteRequest) run() {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	answer := protocol.ClaimAnswer{ID: r.request.ID}
	s := r.store.shardOf(r.request.Record.Key)
	result, err := s.persist(ctx, r.request.Record)
	if err != nil {
		answer.Failed = true
	} else {
		answer.Verdict = uint8(result.Verdict())
		answer.Held = result.Existing()
	}
	r.store.Mesh.Send(r.from, protocol.PeerFrame{ClaimAnswers: []protocol.ClaimAnswer{answer}})
}

// remotePersist makes a release or an outcome durable through another entry.
type remotePersist struct {
	store  *Store
	shard  *shard
	writer string
	record protocol.ClaimRecord
}

// run sends the record to the entry that writes the shard, and queues it here if that entry does
// not answer.
func (p *remotePersist) run() {
	defer p.store.calls.endPersist()
	if _, err := p.store.callRemote(context.Background(), p.writer, p.record); err != nil {
		p.shard.add(p.record, nil)
	}
}

// beginPersist counts a record that another entry is about to make durable.
func (c *remoteCalls) beginPersist() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.persisting++
}

// endPersist counts a record as done.
func (c *remoteCalls) endPersist() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.persisting--
	if c.persisting == 0 && c.drained != nil {
		close(c.drained)
		c.drained = nil
	}
}

// flush waits until no record is being made durable through other entries, or until ctx ends.
func (c *remoteCalls) flush(ctx context.Context) {
	c.mutex.Lock()
	if c.persisting == 0 {
		c.mutex.Unlock()
		return
	}
	if c.drained == nil {
		c.drained = make(chan struct{})
	}
	drained := c.drained
	c.mutex.Unlock()
	select {
	case <-drained:
	case <-ctx.Done():
	}
}
