// SPDX-License-Identifier: Apache-2.0

package registry_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/addrowner"
	"pinerun.example/pinerun/state/registry"
)

// process is one life of an engine.
type process struct {
	id      string
	address string
	life    protocol.Incarnation // what it tells of its start
	layers  protocol.Span
	orders  int
	beats   int
}

// beat returns the record that the engine writes now.
func (p *process) beat() protocol.Endpoint {
	p.beats++

	e := engine(p.id, "a", p.layers.From, p.layers.To)
	e.Address, e.Incarnation, e.Heartbeats = p.address, p.life, p.beats
	return e
}

// word is news of who answers at an address, on its way to an entry.
type word struct {
	endpoint, occupant string
	life               protocol.Incarnation
	at                 time.Time
}

// change is one change of the records.
type change struct {
	endpoint protocol.Endpoint
	gone     bool
}

// reader is an entry: what it believes, how far it has read the changes, and what it will
// be told.
type reader struct {
	roster *registry.Registry
	read   int
	words  []word
}

// fleetWorld is engines at addresses, the records of them, and entries.
type fleetWorld struct {
	t       *rapid.T
	now     time.Time
	tells   bool // whether engines tell their starts
	setBack bool // whether the clock of one was
	alive   map[string]*process
	used    []string // IDs
	written []protocol.Endpoint
	records map[string]protocol.Endpoint
	changes []change
	entries []*reader
}

func newFleetWorld(t *rapid.T) *fleetWorld {
	w := &fleetWorld{
		t: t, now: time.Unix(1000, 0), tells: rapid.Bool().Draw(t, "tells"),
		alive: make(map[string]*process), records: make(map[string]protocol.Endpoint),
	}
	for range 2 {
		w.entries = append(w.entries, &reader{roster: newRoster()})
	}
	for _, a := range []string{"x:1", "y:1"} {
		w.begin(a, fmt.Sprint("e-", len(w.used)))
		w.alive[a].layers, w.alive[a].orders = protocol.Span{From: 0, To: 5}, 1
		w.put(w.alive[a].beat())
	}
	for _, r := range w.entries {
		w.readAll(r)
	}
	return w
}

func (w *fleetWorld) drawAddress() string {
	return rapid.SampledFrom([]string{"x:1", "y:1"}).Draw(w.t, "address")
}

func (w *fleetWorld) drawEntry() *reader { return rapid.SampledFrom(w.entries).Draw(w.t, "entry") }

func (w *fleetWorld) living(id string) *process {
	for _, p := range w.alive {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (w *fleetWorld) drawLayers() protocol.Span {
	from := rapid.IntRange(0, 4).Draw(w.t, "from")
	return protocol.Span{From: from, To: from + rapid.IntRange(1, 5).Draw(w.t, "layers")}
}

// setBack is how far the clock of an engine's machine may be behind that of an earlier life's.
const setBack = 100 * time.Second

// begin starts an engine at an address, in place of the one that is there.
func (w *fleetWorld) begin(address, id string) {
	p := &process{id: id, address: address}
	w.now = w.now.Add(time.Millisecond) // no two lives of an ID start at the same time
	if w.tells {
		p.life = protocol.Incarnation(w.now.UnixMilli())
		if rapid.Bool().Draw(w.t, "clock set back") {
			p.life -= protocol.Incarnation(setBack.Milliseconds())
			w.setBack = true
		}
	}
	w.alive[address] = p
	if !slices.Contains(w.used, id) {
		w.used = append(w.used, id)
	}
}

// start starts an engine at an address, under a new ID or one that was used before.
func (w *fleetWorld) start(*rapid.T) {
	a := w.drawAddress()
	delete(w.alive, a)
	id := fmt.Sprint("e-", len(w.used))
	if rapid.Bool().Draw(w.t, "again") {
		id = rapid.SampledFrom(w.used).Draw(w.t, "id")
	}
	if w.living(id) == nil {
		w.begin(a, id)
	}
}

func (w *fleetWorld) crash(*rapid.T) { delete(w.alive, w.drawAddress()) }

func (w *fleetWorld) order(*rapid.T) {
	if p := w.alive[w.drawAddress()]; p != nil {
		p.layers = w.drawLayers()
		p.orders++
	}
}

// put writes a record. It is no change if only the number of writes differs.
func (w *fleetWorld) put(e protocol.Endpoint) {
	same := w.records[e.ID]
	same.Heartbeats = e.Heartbeats
	if same == e {
		return
	}
	w.now = w.now.Add(time.Millisecond)
	w.records[e.ID] = e
	w.written = append(w.written, e)
	w.changes = append(w.changes, change{endpoint: e})
}

// write lets an engine write its record.
func (w *fleetWorld) write(*rapid.T) {
	if p := w.alive[w.drawAddress()]; p != nil {
		w.put(p.beat())
	}
}

// writeLate does a write that was under way for long, of whichever life.
func (w *fleetWorld) writeLate(*rapid.T) {
	if len(w.written) > 0 {
		w.put(rapid.SampledFrom(w.written).Draw(w.t, "late"))
	}
}

// lapse takes away any record: also those of the living lapse while the platform is away.
func (w *fleetWorld) lapse(*rapid.T) {
	if len(w.records) > 0 {
		w.remove(rapid.SampledFrom(slices.Sorted(maps.Keys(w.records))).Draw(w.t, "lapses"))
	}
}

func (w *fleetWorld) remove(id string) {
	w.changes = append(w.changes, change{endpoint: w.records[id], gone: true})
	delete(w.records, id)
}

func (w *fleetWorld) readOne(r *reader) {
	if r.read == len(w.changes) {
		return
	}
	c := w.changes[r.read]
	r.read++
	if c.gone {
		r.roster.Remove(c.endpoint.ID, w.now)
	} else {
		r.roster.Update(c.endpoint, w.now)
	}
}

func (w *fleetWorld) readAll(r *reader) {
	for r.read < len(w.changes) {
		w.readOne(r)
	}
}

func (w *fleetWorld) see(*rapid.T) { w.readAll(w.drawEntry()) }

// publish lets an engine take an order and write its record, and an entry see it.
func (w *fleetWorld) publish(t *rapid.T) {
	w.order(t)
	w.write(t)
	w.see(t)
}

// hear tells an entry some news, in any order.
func (w *fleetWorld) hear(*rapid.T) {
	r := w.drawEntry()
	if len(r.words) == 0 {
		return
	}
	i := rapid.IntRange(0, len(r.words)-1).Draw(w.t, "news")
	w.believe(r, r.words[i])
	r.words = slices.Delete(r.words, i, i+1)
}

func (w *fleetWorld) believe(r *reader, n word) {
	switch n.occupant {
	case "":
		r.roster.LayersDenied(n.endpoint, n.life, n.at)
	case n.endpoint:
		r.roster.OwnerAnswered(n.endpoint, n.occupant, n.life, n.at)
		r.roster.LayersConfirmed(n.endpoint, n.at)
	default:
		r.roster.OwnerAnswered(n.endpoint, n.occupant, n.life, n.at)
	}
}

// met lets an entry take what an answer told it, and tell the others.
func (w *fleetWorld) met(r *reader, endpoint, occupant string) {
	n := word{endpoint: endpoint, occupant: occupant, life: r.roster.Incarnation(endpoint), at: w.now}
	w.believe(r, n)
	for _, o := range w.entries {
		if o != r {
			o.words = append(o.words, n)
		}
	}
}

// send sends a request to an engine that an entry uses. What its answer disproves the entry
// does not use any more.
func (w *fleetWorld) send(t *rapid.T) {
	r := w.drawEntry()
	if len(r.roster.Endpoints()) == 0 {
		return
	}
	e := rapid.SampledFrom(r.roster.Endpoints()).Draw(t, "endpoint")
	p := w.alive[e.Address]
	if p == nil || e.Layers.Layers() == 0 {
		return
	}
	switch {
	case p.id != e.ID:
		w.met(r, e.ID, p.id)
		require.NotContains(t, ids(r.roster.Endpoints()), e.ID)
	case p.layers != e.Layers:
		w.met(r, e.ID, "")
		require.NotContains(t, r.roster.Endpoints(), e)
	}
}

// inquire lets an entry ask where it is unclear.
func (w *fleetWorld) inquire(r *reader, others bool) {
	r.roster.TakeUseChanges()
	for _, q := range r.roster.DueProbes(others, w.now) {
		p := w.alive[q.Address()]
		if p == nil {
			continue
		}
		if p.id == q.Endpoint() && q.AsksLayers() {
			report := protocol.EngineReport{Layers: p.layers, LayersKnown: true, Incarnation: p.life, Orders: p.orders}
			if r.roster.Report(p.id, &report, w.now) != registry.ReportMatches {
				continue
			}
		}
		w.met(r, q.Endpoint(), p.id)
	}
}

func (w *fleetWorld) ask(*rapid.T) {
	for i, r := range w.entries {
		w.inquire(r, i > 0)
	}
}

func (w *fleetWorld) pass(*rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "ms")) * time.Millisecond)
}

// check checks that no entry uses two engines of one address.
func (w *fleetWorld) check(t *rapid.T) {
	for _, r := range w.entries {
		users := make(map[string]string)
		for _, e := range r.roster.Endpoints() {
			require.Empty(t, users[e.Address], "%s and %s at %s", users[e.Address], e.ID, e.Address)
			users[e.Address] = e.ID
		}
	}
}

// calm lets nothing happen but what engines and entries do by themselves.
func (w *fleetWorld) calm(d time.Duration) {
	for till := w.now.Add(d); w.now.Before(till); w.now = w.now.Add(250 * time.Millisecond) {
		for _, id := range slices.Sorted(maps.Keys(w.records)) {
			if w.living(id) == nil {
				w.remove(id)
			}
		}
		for _, a := range slices.Sorted(maps.Keys(w.alive)) {
			w.put(w.alive[a].beat())
		}
		for _, r := range w.entries {
			w.readAll(r)
			for _, n := range r.words {
				w.believe(r, n)
			}
			r.words = nil
		}
		w.ask(w.t)
		for _, r := range w.entries {
			r.roster.Sweep(w.now)
		}
	}
}

// leftOut bounds how long an engine that lives, and whose record stands, may be left out or
// taken for an earlier life.
const leftOut = registry.ProbeGrace + addrowner.ProbeInterval

// TestEnginesThatLiveAreUsedAndOnlyThose lets engines start, crash and start again, records
// come late, lapse and come back, and entries see parts of it and hear news in any order.
// Never are two engines of one address used; what an answer disproves is not used from then
// on; and soon after everything is calm each entry uses the engines that live, with their layers.
func TestEnginesThatLiveAreUsedAndOnlyThose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFleetWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"start": w.start, "crash": w.crash, "order": w.order, "write": w.write, "late": w.writeLate,
			"lapse": w.lapse, "see": w.see, "publish": w.publish, "hear": w.hear, "send": w.send, "ask": w.ask, "pass": w.pass,
			"": w.check,
		})
		if w.setBack {
			w.calm(registry.ProbeGrace) // until a record that stands is believed
		}
		w.calm(leftOut)
		var living []string
		for _, p := range w.alive {
			living = append(living, p.id)
		}
		slices.Sort(living)
		for _, r := range w.entries {
			require.Equal(t, living, ids(r.roster.Endpoints()))
			for _, e := range r.roster.Endpoints() {
				require.Equal(t, w.alive[e.Address].layers, e.Layers, e.ID)
			}
		}
	})
}
