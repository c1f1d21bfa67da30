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
	// askLimit is how long to wait for the entry that writes a shard before
	// writing it oneself.
	askLimit = 750 * time.Millisecond
	// serveLimit is how long an entry tries for another.
	serveLimit = 2 * time.Second
)

// errNoAnswer says that the entry asked gave no verdict in time.
var errNoAnswer = errors.New("the entry that writes the shard gave no verdict")

// asks are the questions to other entries that have no answer yet.
type asks struct {
	mutex   sync.Mutex
	next    uint64
	open    map[uint64]chan protocol.ClaimAnswer
	kept    int           // records that are being kept through others
	emptied chan struct{} // closed when kept falls to zero
}

// remote reports whether another entry ranks first for a shard, and which.
func (k *Store) remote(s *shard) (string, bool) {
	if k.Mesh == nil {
		return "", false
	}
	writer := k.Mesh.Owner(s.kind())
	return writer, writer != k.Mesh.Self.Name
}

// ask puts one record to another entry and waits for the verdict.
func (k *Store) ask(ctx context.Context, writer string, r protocol.ClaimRecord) (claim.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	id, answer := k.asks.add()
	defer k.asks.remove(id)
	if !k.Mesh.Send(writer, protocol.PeerFrame{ClaimRequests: []protocol.ClaimRequest{{ID: id, Record: r}}}) {
		return claim.Result{}, errNoAnswer
	}
	select {
	case a := <-answer:
		if a.Failed {
			return claim.Result{}, errNoAnswer
		}
		return claim.RemoteResult(r, claim.Verdict(a.Verdict), a.Held), nil
	case <-ctx.Done():
		return claim.Result{}, errNoAnswer
	}
}

func (a *asks) add() (uint64, chan protocol.ClaimAnswer) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.open == nil {
		a.open = map[uint64]chan protocol.ClaimAnswer{}
	}
	a.next++
	answer := make(chan protocol.ClaimAnswer, 1)
	a.open[a.next] = answer
	return a.next, answer
}

func (a *asks) remove(id uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.open, id)
}

func (a *asks) answered(x protocol.ClaimAnswer) {
	a.mutex.Lock()
	answer := a.open[x.ID]
	a.mutex.Unlock()
	if answer == nil {
		return // it came too late
	}
	select {
	case answer <- x:
	default:
	}
}

// HandleFrame takes what a peer asks or answers.
func (k *Store) HandleFrame(from string, f *protocol.PeerFrame) {
	for _, a := range f.ClaimAnswers {
		k.asks.answered(a)
	}
	for _, a := range f.ClaimRequests {
		go (&asked{keeper: k, from: from, ask: a}).run()
	}
}

// asked is one question of another entry.
type asked struct {
	keeper *Store
	from   string
	ask    protocol.ClaimRequest
}

func (a *asked) run() {
	ctx, cancel := context.WithTimeout(context.Background(), serveLimit)
	defer cancel()
	answer := protocol.ClaimAnswer{ID: a.ask.ID}
	s := a.keeper.shardOf(a.ask.Record.Key)
	result, err := s.decide(ctx, a.ask.Record)
	if err != nil {
		answer.Failed = true
	} else {
		answer.Verdict = uint8(result.Verdict())
		answer.Held = result.Existing()
	}
	a.keeper.Mesh.Send(a.from, protocol.PeerFrame{ClaimAnswers: []protocol.ClaimAnswer{answer}})
}

// keeping is one release or outcome on its way through another entry.
type keeping struct {
	keeper *Store
	shard  *shard
	writer string
	record protocol.ClaimRecord
}

func (x *keeping) run() {
	defer x.keeper.asks.keptOne()
	if _, err := x.keeper.ask(context.Background(), x.writer, x.record); err != nil {
		x.shard.add(x.record, nil)
	}
}

func (a *asks) keepOne() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.kept++
}

func (a *asks) keptOne() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.kept--
	if a.kept == 0 && a.emptied != nil {
		close(a.emptied)
		a.emptied = nil
	}
}

// flush waits until no record is on its way through others.
func (a *asks) flush(ctx context.Context) {
	a.mutex.Lock()
	if a.kept == 0 {
		a.mutex.Unlock()
		return
	}
	if a.emptied == nil {
		a.emptied = make(chan struct{})
	}
	emptied := a.emptied
	a.mutex.Unlock()
	select {
	case <-emptied:
	case <-ctx.Done():
	}
}
