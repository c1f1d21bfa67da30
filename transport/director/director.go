// SPDX-License-Identifier: Apache-2.0

// Package director gives engines their orders, from one entry at a time.
//
// Every entry works out the same wanted moves from what it believes. The one
// that holds the lease gives the orders; the others look at the lease only while
// there is work to do, so that a calm fleet costs the platform nothing. Orders
// name the wanted state and how many orders the engine is expected to have
// taken: an order that lands late, after others or on an engine that has
// restarted, is refused there. An engine is asked how it stands before each
// order, and what it holds afterwards is seen in its own record.
package director

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/lease"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/state/routing"
)

const (
	// lookEvery is how often it is looked whether something has changed, and
	// lookAnyway how often the urgent moves are worked out although nothing has: an
	// engine may have been found lost.
	lookEvery  = 100 * time.Millisecond
	lookAnyway = 500 * time.Millisecond
	// improveEvery is how often improvements are worked out while things change. It takes
	// some ten ms for a data center of thirteen engines.
	improveEvery = time.Second
	// stagger spreads the entries' attempts to take the lease, for each entry, so
	// that one write is made where all see the same work.
	stagger = 60 * time.Millisecond
	// followerRest is how much later an entry that learns through a peer tries: the
	// peers know sooner, and most work is done by then. followedRest is that of one which
	// others follow in turn, the first of its data center.
	followerRest = 2 * time.Second
	followedRest = 400 * time.Millisecond
	// askLimit bounds one round with an engine, and one with the platform for the
	// lease: both answer in some ms.
	askLimit = time.Second
)

// Engines is the way to the engines.
type Engines interface {
	Report(ctx context.Context, address string) (protocol.EngineReport, error)
	Place(ctx context.Context, o protocol.PlacementOrder) (protocol.OrderAnswer, error)
}

// Objects is the platform as far as the lease needs it.
type Objects interface {
	Get(ctx context.Context, kind, name string) (protocol.Object, error)
	Put(ctx context.Context, kind, name string, known uint64, value []byte) (uint64, error)
}

// Director gives the orders of one entry. Set the exported fields before Start.
type Director struct {
	Self         string
	LeaseKind    string
	Routing      *routing.Store
	Registry     *registry.Registry
	Engines      Engines
	Objects      Objects
	EntryCount   func() int  // how many entries may try alike
	Following    func() bool // whether this entry learns through a peer, nil for never
	HasFollowers func() bool // whether others learn through this entry, nil for never
	Counters     *metric.Set
	Logger       *slog.Logger
	// OnMisdirected is told that another process took an order to an endpoint, nil for nobody.
	OnMisdirected func(endpoint string, by *Misdirected)

	done     lifecycle.Done
	lease    lease.Lease
	held     bool
	starts   map[string]*start // of services whose engines hold nothing yet
	knownAt  time.Time         // when the first list of endpoints was seen
	basis    basis
	improved basis     // what improvements were last worked out from, to no effect
	improve  time.Time // when they may be worked out again
	again    time.Time // when the moves are worked out although nothing has changed
	waitTo   time.Time // when this entry tries to take the lease for work that it sees
	lookFrom time.Time // when one whose turn comes last looks again
	idleFrom time.Time // when there was last work
	askFrom  time.Time // when the platform may be asked for the lease again
	// unanswered is how many calls for the lease in a row had no answer.
	unanswered int
	mutex      sync.Mutex
	woken      bool               // an engine was found lost, or back
	heard      *heard             // of the lease, not taken into account yet
	hearing    bool               // whether the lease was ever heard of
	ordered    map[string]order   // by endpoint ID, still in doubt
	resting    map[string]rest    // by endpoint ID
	plans      map[string]planned // by service
}

// basis is what moves are worked out from.
type basis struct {
	table     *routing.Table
	endpoints uint64
}

// Start begins to look.
func (d *Director) Start() {
	d.lease.Self = d.Self
	d.lease.Incarnation = rand.Uint64N(leaseLives)
	d.starts = make(map[string]*start)
	d.ordered = make(map[string]order)
	d.resting = make(map[string]rest)
	go d.run()
}

// Close ends it. The lease lapses by itself.
func (d *Director) Close() { d.done.Close() }

// OrderedLayers returns what an endpoint was ordered to hold, by this entry or as the lease tells, as long as
// the effect has not been seen, and whether it was.
func (d *Director) OrderedLayers(endpoint string, now time.Time) (protocol.Span, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	o, ok := d.ordered[endpoint]
	return o.span, ok && now.Before(o.till)
}

func (d *Director) run() {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			d.look(clock.Now())
		case <-d.done.Done():
			return
		}
	}
}

// look works out the wanted moves and, holding the lease, orders them.
func (d *Director) look(now time.Time) {
	d.hear()
	if d.wasWoken() {
		d.again = now
	}
	b := basis{table: d.Routing.Current(), endpoints: d.Registry.Revision()}
	if b == d.basis && now.Before(d.again) {
		d.release(now)
		return
	}
	if !d.held && (now.Before(d.waitTo) || now.Before(d.lookFrom)) {
		return // there may be work, and another entry's turn comes first
	}
	if d.last() {
		d.lookFrom = now.Add(followerRest)
	}
	d.basis = b
	improving := b != d.improved && !now.Before(d.improve) && !d.following() && d.listTrusted(now)
	moves := d.moves(now, improving)
	if improving && len(moves) == 0 {
		d.improved = b
		d.improve = now.Add(improveEvery)
	}
	if len(moves) == 0 {
		d.waitTo = time.Time{}
		d.again = now.Add(lookAnyway)
		return
	}
	d.again, d.lookFrom = now, time.Time{} // there is work: look again at once
	d.idleFrom = now
	d.orderInTurn(moves, now)
}

// orderInTurn orders the moves once it is this entry's turn to hold the lease.
func (d *Director) orderInTurn(moves []move, now time.Time) {
	if d.waitTo.IsZero() {
		d.waitTo = now.Add(d.spread())
	}
	if !d.held && now.Before(d.waitTo) {
		return
	}
	epoch, ok := d.hold(now)
	if !ok {
		return
	}
	d.give(moves, epoch)
	d.improve = clock.Now().Add(improveEvery)
}

// Wake makes the director look at its next turn, because an engine was found lost, or
// back: what it holds has not changed, but who counts on it has.
func (d *Director) Wake() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.woken = true
}

// RecordRestart notes that an engine has started again: orders to its earlier life have no
// effect, and it takes new ones.
func (d *Director) RecordRestart(endpoint string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.ordered, endpoint)
	delete(d.resting, endpoint)
}

func (d *Director) wasWoken() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	was := d.woken
	d.woken = false
	return was
}

// following reports whether this entry learns through a peer. Then the entry that asks
// the platform for all works improvements out; holes everybody does.
func (d *Director) following() bool { return d.Following != nil && d.Following() }

// last reports whether this entry's turn to give orders comes after all others': it
// learns through a peer, and nobody learns through it. It looks for work no more often
// than its turn could come: while engines come and go each look works a plan out, and of
// 300 entries 295 did so for nothing.
func (d *Director) last() bool {
	return d.following() && (d.HasFollowers == nil || !d.HasFollowers())
}

// spread returns a part of the time over which the entries' attempts are spread.
func (d *Director) spread() time.Duration {
	part := rand.N(stagger * time.Duration(max(1, d.EntryCount())))
	switch {
	case !d.following():
		return part
	case d.HasFollowers != nil && d.HasFollowers():
		return part + followedRest
	default:
		return part + followerRest
	}
}
