// SPDX-License-Identifier: Apache-2.0

// Package director assigns layers to engines, from one entry at a time.
//
// Every entry computes the same wanted reassignments from its own view of the fleet. Only the entry
// that holds the lease sends the orders. The others read the lease only while there is work, so
// that an idle fleet causes no calls to the platform.
//
// An order names the wanted layers and the number of orders that the engine is expected to have
// accepted. The engine refuses an order that arrives late, after other orders or after a restart of
// the engine. The director asks an engine for a report before each order. The result shows in the
// engine's own record.
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
	"pinerun.example/pinerun/state/era"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/state/routing"
)

const (
	// checkInterval is the time between two checks whether anything has changed. recheckInterval is
	// the time after which urgent reassignments are computed even if nothing has changed: an engine
	// may have been found lost.
	checkInterval   = 100 * time.Millisecond
	recheckInterval = 500 * time.Millisecond
	// improveInterval is the least time between two computations of improvements while the fleet
	// changes. One takes some 10 ms for a data center of 13 engines.
	improveInterval = time.Second
	// staggerPerEntry spreads the entries' attempts to acquire the lease. It is multiplied by the
	// number of entries, so that one write is made where all entries see the same work.
	staggerPerEntry = 60 * time.Millisecond
	// followerDelay is how much later an entry that follows a peer attempts to acquire the lease.
	// The peers learn of changes sooner and have done most of the work by then. followedDelay is
	// the delay of a follower that other entries follow in turn, the first one of its data center.
	followerDelay = 2 * time.Second
	followedDelay = 400 * time.Millisecond
	// callTimeout bounds one exchange with an engine, and one with the platform for the lease. Both
	// answer within some milliseconds.
	callTimeout = time.Second
)

// Engines sends requests to engines.
type Engines interface {
	// Report returns the state of the engine at an address.
	Report(ctx context.Context, address string) (protocol.EngineReport, error)
	// Place sends an order and returns how the engine answered.
	Place(ctx context.Context, o protocol.PlacementOrder) (protocol.OrderAnswer, error)
}

// Objects is the part of the platform's object store that the lease needs.
type Objects interface {
	// Get returns an object, or *platform.NotFound.
	Get(ctx context.Context, kind, name string) (protocol.Object, error)
	// Put writes an object whose version is still known, or creates it if known is zero, and returns the
	// new version.
	Put(ctx context.Context, kind, name string, known protocol.Revision, value []byte) (protocol.Revision, error)
}

// Director plans and sends the orders of one entry. Set the exported fields before Start.
type Director struct {
	Self         string
	LeaseKind    string
	Routing      *routing.Store
	Registry     *registry.Registry
	Engines      Engines
	Objects      Objects
	Eras         *era.Tracker // of the platform; nil if it names no eras
	EntryCount   func() int   // number of entries that may attempt to acquire the lease
	Following    func() bool  // whether this entry follows a peer; nil means never
	HasFollowers func() bool  // whether other entries follow this one; nil means never
	// CutOff reports whether this entry reaches engines only through other entries. It then leaves the
	// orders to one that reaches them itself. Nil means never.
	CutOff   func() bool
	Counters *metric.Set
	Logger   *slog.Logger
	// OnMisdirected, if set, is called when another process answered an order to an endpoint.
	OnMisdirected func(endpoint string, by *Misdirected)

	done           lifecycle.Done
	lease          lease.Lease
	holdsLease     bool
	startups       map[string]*startup // by service, while its engines hold no layers
	firstListAt    time.Time           // when the first list of endpoints was available
	lastInputs     planInputs
	improvedInputs planInputs // inputs for which no improvement was found last
	improveAt      time.Time  // when improvements may be computed again
	recheckAt      time.Time  // when to plan although nothing has changed
	attemptAt      time.Time  // when to attempt to acquire the lease, zero without work
	checkAt        time.Time  // when an entry that orders last plans again
	lastWorkAt     time.Time  // when there was work last
	leaseCallAt    time.Time  // when the platform may be called for the lease again
	// unanswered is the number of consecutive calls for the lease without an answer.
	unanswered    int
	mutex         sync.Mutex
	wakeRequested bool                    // an engine was found lost or recovered
	leaseChange   *leaseChange            // reported by another entry and not applied yet
	leaseObserved bool                    // whether a change of the lease was ever applied
	leaseEra      uint64                  // era of the platform of the last record of the lease
	pendingOrders map[string]pendingOrder // by endpoint ID; their effect has not been seen
	backoffs      map[string]backoff      // by endpoint ID
	plans         map[string]cachedPlan   // by service
}

// planInputs identifies the state from which reassignments are computed.
type planInputs struct {
	table     *routing.Table
	endpoints uint64 // revision of the endpoint registry
}

// Start starts the director's goroutine.
func (d *Director) Start() {
	d.lease.Self = d.Self
	d.lease.Incarnation = rand.Uint64N(incarnationRange)
	d.startups = make(map[string]*startup)
	d.pendingOrders = make(map[string]pendingOrder)
	d.backoffs = make(map[string]backoff)
	go d.run()
}

// Close stops the director. The lease expires by itself.
func (d *Director) Close() { d.done.Close() }

// OrderedLayers returns the layers that an endpoint was ordered to hold, by this entry or by an
// earlier lease holder, and whether there is such an order whose effect has not been seen.
func (d *Director) OrderedLayers(endpoint string, now time.Time) (protocol.Span, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	o, ok := d.pendingOrders[endpoint]
	return o.span, ok && now.Before(o.until)
}

func (d *Director) run() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.check(clock.Now())
		case <-d.done.Done():
			return
		}
	}
}

// check computes the wanted reassignments and, if this entry holds the lease, orders them.
func (d *Director) check(now time.Time) {
	d.applyLeaseChange()
	if d.takeWakeRequest() {
		d.recheckAt = now
	}
	if d.CutOff != nil && d.CutOff() {
		d.leaveOrders(now)
		return
	}
	inputs := planInputs{table: d.Routing.Current(), endpoints: d.Registry.Revision()}
	if inputs == d.lastInputs && now.Before(d.recheckAt) {
		d.releaseIdleLease(now)
		return
	}
	if !d.holdsLease && (now.Before(d.attemptAt) || now.Before(d.checkAt)) {
		return // there may be work, but it is another entry's turn
	}
	if d.ordersLast() {
		d.checkAt = now.Add(followerDelay)
	}
	d.lastInputs = inputs
	improving := inputs != d.improvedInputs && !now.Before(d.improveAt) && !d.following() && d.listComplete(now)
	reassignments := d.reassignments(now, improving)
	if improving && len(reassignments) == 0 {
		d.improvedInputs = inputs
		d.improveAt = now.Add(improveInterval)
	}
	if len(reassignments) == 0 {
		d.attemptAt = time.Time{}
		d.recheckAt = now.Add(recheckInterval)
		return
	}
	d.recheckAt, d.checkAt = now, time.Time{} // there is work: plan again at the next check
	d.lastWorkAt = now
	d.orderWhenDue(reassignments, now)
}

// leaveOrders leaves the orders to other entries, and plans anew when this entry reaches engines again.
func (d *Director) leaveOrders(now time.Time) {
	d.attemptAt, d.lastWorkAt, d.recheckAt = time.Time{}, time.Time{}, now
	d.releaseIdleLease(now)
}

// orderWhenDue orders the reassignments once this entry's delay has passed and it holds the lease.
func (d *Director) orderWhenDue(reassignments []reassignment, now time.Time) {
	if d.attemptAt.IsZero() {
		d.attemptAt = now.Add(d.attemptDelay())
	}
	if !d.holdsLease && now.Before(d.attemptAt) {
		return
	}
	epoch, ok := d.acquireLease(now)
	if !ok {
		return
	}
	d.dispatch(reassignments, epoch)
	d.improveAt = clock.Now().Add(improveInterval)
}

// Wake makes the director plan at its next check, because an engine was found lost or recovered.
// The layers that the engine holds are unchanged then, so no other input would cause a check.
func (d *Director) Wake() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.wakeRequested = true
}

// RecordRestart records that an engine has restarted. Orders to its earlier incarnation have no
// effect, so the engine may be given new orders at once.
func (d *Director) RecordRestart(endpoint string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.pendingOrders, endpoint)
	delete(d.backoffs, endpoint)
}

// takeWakeRequest reports whether Wake was called since the last check.
func (d *Director) takeWakeRequest() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	requested := d.wakeRequested
	d.wakeRequested = false
	return requested
}

// following reports whether this entry follows a peer. Improvements are then left to the entry that
// reads from the platform. Gaps are filled by every entry.
func (d *Director) following() bool { return d.Following != nil && d.Following() }

// ordersLast reports whether this entry attempts to give orders after all others: it follows a
// peer, and no entry follows it. Such an entry plans no more often than it could give orders: while
// engines come and go, every check computes a plan, and 295 of 300 entries computed theirs without
// ever using it.
func (d *Director) ordersLast() bool {
	return d.following() && (d.HasFollowers == nil || !d.HasFollowers())
}

// attemptDelay returns how long to wait before an attempt to acquire the lease: a random part of
// the time over which the entries' attempts are spread, and more for a follower.
func (d *Director) attemptDelay() time.Duration {
	delay := rand.N(staggerPerEntry * time.Duration(max(1, d.EntryCount())))
	switch {
	case !d.following():
		return delay
	case d.HasFollowers != nil && d.HasFollowers():
		return delay + followedDelay
	default:
		return delay + followerDelay
	}
}
