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

// process is one incarnation of an engine.
type process struct {
	id          string
	address     string
	incarnation protocol.Incarnation // that it announces, 0 for none
	layers      protocol.Span
	orders      int
	heartbeats  int
}

// record returns the record that the engine writes now.
func (p *process) record() protocol.Endpoint {
	p.heartbeats++

	e := engine(p.id, "a", p.layers.From, p.layers.To)
	e.Address, e.Incarnation, e.Heartbeats = p.address, p.incarnation, p.heartbeats
	return e
}

// report is a report of which endpoint answers at an address, on its way to an entry.
type report struct {
	endpoint, owner string
	incarnation     protocol.Incarnation
	at              time.Time
}

// change is one change of the records.
type change struct {
	endpoint protocol.Endpoint
	removed  bool
	era      uint64
}

// entry is an entry with its registry, the number of changes that it has read, and the
// reports that it has not yet received.
type entry struct {
	registry *registry.Registry
	read     int
	era      uint64
	reports  []report
}

// fleetModel consists of engines at addresses, their records, and entries.
type fleetModel struct {
	t            *rapid.T
	now          time.Time
	announces    bool // whether engines announce their incarnations
	clockSetBack bool // whether the clock of an engine was set back
	running      map[string]*process
	used         []string // IDs
	written      []protocol.Endpoint
	records      map[string]protocol.Endpoint
	changes      []change
	entries      []*entry
	era          uint64
	copied       map[string]protocol.Endpoint // the copy of the records to restore
}

func newFleetModel(t *rapid.T) *fleetModel {
	m := &fleetModel{
		t: t, now: time.Unix(1000, 0), announces: rapid.Bool().Draw(t, "announces"),
		running: make(map[string]*process), records: make(map[string]protocol.Endpoint), copied: make(map[string]protocol.Endpoint),
	}
	for range 2 {
		m.entries = append(m.entries, &entry{registry: newRegistry()})
	}
	for _, a := range []string{"x:1", "y:1"} {
		m.startProcess(a, fmt.Sprint("e-", len(m.used)))
		m.running[a].layers, m.running[a].orders = protocol.Span{From: 0, To: 5}, 1
		m.put(m.running[a].record())
	}
	for _, e := range m.entries {
		m.readAll(e)
	}
	return m
}

func (m *fleetModel) drawAddress() string {
	return rapid.SampledFrom([]string{"x:1", "y:1"}).Draw(m.t, "address")
}

func (m *fleetModel) drawEntry() *entry { return rapid.SampledFrom(m.entries).Draw(m.t, "entry") }

func (m *fleetModel) processOf(id string) *process {
	for _, p := range m.running {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (m *fleetModel) drawLayers() protocol.Span {
	from := rapid.IntRange(0, 4).Draw(m.t, "from")
	return protocol.Span{From: from, To: from + rapid.IntRange(1, 5).Draw(m.t, "layers")}
}

// maxClockSetBack is how far the clock of an engine's machine may be behind that of an earlier
// incarnation.
const maxClockSetBack = 100 * time.Second

// startProcess starts an engine at an address, in place of the one there.
func (m *fleetModel) startProcess(address, id string) {
	p := &process{id: id, address: address}
	m.now = m.now.Add(time.Millisecond) // no two incarnations of an ID start at the same time
	if m.announces {
		p.incarnation = protocol.Incarnation(m.now.UnixMilli())
		if rapid.Bool().Draw(m.t, "clock set back") {
			p.incarnation -= protocol.Incarnation(maxClockSetBack.Milliseconds())
			m.clockSetBack = true
		}
	}
	m.running[address] = p
	if !slices.Contains(m.used, id) {
		m.used = append(m.used, id)
	}
}

// start starts an engine at an address, under a new ID or a used one.
func (m *fleetModel) start(*rapid.T) {
	a := m.drawAddress()
	delete(m.running, a)
	id := fmt.Sprint("e-", len(m.used))
	if rapid.Bool().Draw(m.t, "reuse an ID") {
		id = rapid.SampledFrom(m.used).Draw(m.t, "id")
	}
	if m.processOf(id) == nil {
		m.startProcess(a, id)
	}
}

func (m *fleetModel) crash(*rapid.T) { delete(m.running, m.drawAddress()) }

func (m *fleetModel) order(*rapid.T) {
	if p := m.running[m.drawAddress()]; p != nil {
		p.layers = m.drawLayers()
		p.orders++
	}
}

// put writes a record. If only the number of heartbeats differs, that is not a change.
func (m *fleetModel) put(e protocol.Endpoint) {
	unchanged := m.records[e.ID]
	unchanged.Heartbeats = e.Heartbeats
	if unchanged == e {
		return
	}
	m.now = m.now.Add(time.Millisecond)
	m.records[e.ID] = e
	m.written = append(m.written, e)
	m.changes = append(m.changes, change{endpoint: e, era: m.era})
}

// write lets an engine write its record.
func (m *fleetModel) write(*rapid.T) {
	if p := m.running[m.drawAddress()]; p != nil {
		m.put(p.record())
	}
}

// writeLate completes a write of any incarnation that was in flight for a long time.
func (m *fleetModel) writeLate(*rapid.T) {
	if len(m.written) > 0 {
		m.put(rapid.SampledFrom(m.written).Draw(m.t, "late"))
	}
}

// expire removes any record: even records of running engines expire while the platform is
// unavailable.
func (m *fleetModel) expire(*rapid.T) {
	if len(m.records) > 0 {
		m.remove(rapid.SampledFrom(slices.Sorted(maps.Keys(m.records))).Draw(m.t, "expires"))
	}
}

func (m *fleetModel) remove(id string) {
	m.changes = append(m.changes, change{endpoint: m.records[id], removed: true, era: m.era})
	delete(m.records, id)
}

// makeCopy keeps a copy of the records to restore.
func (m *fleetModel) makeCopy(*rapid.T) { m.copied = maps.Clone(m.records) }

// restore makes the platform come back from the copy, in the next era. Entries see the records as
// changes from those that they knew.
func (m *fleetModel) restore(*rapid.T) {
	before := m.records
	m.records = maps.Clone(m.copied)
	m.era++
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if _, kept := m.records[id]; !kept {
			m.changes = append(m.changes, change{endpoint: before[id], removed: true, era: m.era})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.records)) {
		m.changes = append(m.changes, change{endpoint: m.records[id], era: m.era})
	}
}

func (m *fleetModel) readOne(e *entry) {
	if e.read == len(m.changes) {
		return
	}
	c := m.changes[e.read]
	e.read++
	if e.era < c.era {
		e.registry.MarkOutage(m.now)
	}
	e.era, c.endpoint.Era = c.era, c.era
	if c.removed {
		e.registry.Remove(c.endpoint.ID, m.now)
	} else {
		e.registry.Update(c.endpoint, m.now)
	}
}

func (m *fleetModel) readAll(e *entry) {
	for e.read < len(m.changes) {
		m.readOne(e)
	}
}

func (m *fleetModel) readChanges(*rapid.T) { m.readAll(m.drawEntry()) }

// publish lets an engine accept an order and write its record, and an entry read it.
func (m *fleetModel) publish(t *rapid.T) {
	m.order(t)
	m.write(t)
	m.readChanges(t)
}

// deliver lets an entry receive one of its reports, in any order.
func (m *fleetModel) deliver(*rapid.T) {
	e := m.drawEntry()
	if len(e.reports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(e.reports)-1).Draw(m.t, "report")
	m.applyReport(e, e.reports[i])
	e.reports = slices.Delete(e.reports, i, i+1)
}

func (m *fleetModel) applyReport(e *entry, report report) {
	switch report.owner {
	case "":
		e.registry.LayersDenied(report.endpoint, report.incarnation, report.at)
	case report.endpoint:
		e.registry.OwnerAnswered(report.endpoint, report.owner, report.incarnation, report.at)
		e.registry.LayersConfirmed(report.endpoint, report.at)
	default:
		e.registry.OwnerAnswered(report.endpoint, report.owner, report.incarnation, report.at)
	}
}

// observe lets an entry apply what an answer showed, and sends the report to the other entries.
func (m *fleetModel) observe(e *entry, endpoint, owner string) {
	r := report{endpoint: endpoint, owner: owner, incarnation: e.registry.Incarnation(endpoint), at: m.now}
	m.applyReport(e, r)
	for _, o := range m.entries {
		if o != e {
			o.reports = append(o.reports, r)
		}
	}
}

// request sends a request to an engine that an entry uses. If the answer disproves the
// record, the entry no longer uses it.
func (m *fleetModel) request(t *rapid.T) {
	e := m.drawEntry()
	if len(e.registry.Endpoints()) == 0 {
		return
	}
	endpoint := rapid.SampledFrom(e.registry.Endpoints()).Draw(t, "endpoint")
	p := m.running[endpoint.Address]
	if p == nil || endpoint.Layers.Layers() == 0 {
		return
	}
	switch {
	case p.id != endpoint.ID:
		m.observe(e, endpoint.ID, p.id)
		require.NotContains(t, ids(e.registry.Endpoints()), endpoint.ID)
	case p.layers != endpoint.Layers:
		m.observe(e, endpoint.ID, "")
		require.NotContains(t, e.registry.Endpoints(), endpoint)
	}
}

// probeFrom sends the probes that an entry has due.
func (m *fleetModel) probeFrom(e *entry, anotherProbes bool) {
	e.registry.TakeUseChanges()
	for _, due := range e.registry.DueProbes(anotherProbes, m.now) {
		p := m.running[due.Address()]
		if p == nil {
			continue
		}
		if p.id == due.Endpoint() && due.AsksLayers() {
			report := protocol.EngineReport{Layers: p.layers, LayersKnown: true, Incarnation: p.incarnation, Orders: p.orders}
			if e.registry.Report(p.id, &report, m.now) != registry.ReportMatches {
				continue
			}
		}
		m.observe(e, due.Endpoint(), p.id)
	}
}

func (m *fleetModel) probe(*rapid.T) {
	for i, e := range m.entries {
		m.probeFrom(e, i > 0)
	}
}

func (m *fleetModel) advance(*rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(m.t, "ms")) * time.Millisecond)
}

// check checks that no entry uses two engines of one address.
func (m *fleetModel) check(t *rapid.T) {
	for _, e := range m.entries {
		owners := make(map[string]string)
		for _, endpoint := range e.registry.Endpoints() {
			require.Empty(t, owners[endpoint.Address], "%s and %s at %s", owners[endpoint.Address], endpoint.ID, endpoint.Address)
			owners[endpoint.Address] = endpoint.ID
		}
	}
}

// settle runs only the periodic work of engines and entries.
func (m *fleetModel) settle(d time.Duration) {
	for until := m.now.Add(d); m.now.Before(until); m.now = m.now.Add(250 * time.Millisecond) {
		for _, id := range slices.Sorted(maps.Keys(m.records)) {
			if m.processOf(id) == nil {
				m.remove(id)
			}
		}
		for _, a := range slices.Sorted(maps.Keys(m.running)) {
			m.put(m.running[a].record())
		}
		for _, e := range m.entries {
			m.readAll(e)
			for _, report := range e.reports {
				m.applyReport(e, report)
			}
			e.reports = nil
		}
		m.probe(m.t)
		for _, e := range m.entries {
			e.registry.Sweep(m.now)
		}
	}
}

// maxExclusion bounds how long a running engine whose record remains may be excluded or
// mistaken for an earlier incarnation.
const maxExclusion = registry.ProbeGrace + addrowner.ProbeInterval

// TestOnlyRunningEnginesAreUsed is a model test. Engines start, crash and restart; records
// arrive late, expire, come back, and are restored from a copy; entries read parts of the changes and receive reports in
// any order. No entry may use two engines of one address, or a record that an answer has
// disproved. Once nothing else happens, each entry must soon use exactly the running engines,
// with the layers that they hold.
func TestOnlyRunningEnginesAreUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"start": m.start, "crash": m.crash, "order": m.order, "write": m.write, "late": m.writeLate,
			"expire": m.expire, "copy": m.makeCopy, "restore": m.restore, "read": m.readChanges, "publish": m.publish, "deliver": m.deliver, "request": m.request, "probe": m.probe, "advance": m.advance,
			"": m.check,
		})
		if m.clockSetBack || m.era > 0 {
			m.settle(registry.ProbeGrace) // until late records that remain are accepted
		}
		m.settle(maxExclusion)
		var running []string
		for _, p := range m.running {
			running = append(running, p.id)
		}
		slices.Sort(running)
		for _, e := range m.entries {
			require.Equal(t, running, ids(e.registry.Endpoints()))
			for _, endpoint := range e.registry.Endpoints() {
				require.Equal(t, m.running[endpoint.Address].layers, endpoint.Layers, endpoint.ID)
			}
		}
	})
}
