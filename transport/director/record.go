// SPDX-License-Identifier: Apache-2.0

package director

import (
	"slices"
	"strings"
	"time"

	"pinerun.example/pinerun/coordination/lease"
	"pinerun.example/pinerun/protocol"
)

// record is the lease as the platform keeps it, with the orders that its holder gave and
// whose effect it has not seen. A load takes seconds, in which an engine's own record
// tells nothing: whoever gave orders next without knowing of them moved engines apart that
// were being put together.
type record struct {
	lease.Record

	Orders []orderRecord `json:"orders,omitempty"`
}

// orderRecord is an order under way. LeftMS is for how long yet, from when the record was
// written, it may take effect.
type orderRecord struct {
	Endpoint string `json:"endpoint"`
	// Lifetime is the engine's life that the order was given to, if it is known.
	Lifetime protocol.Incarnation `json:"lifetime,omitempty"`
	From     int                  `json:"from"`
	To       int                  `json:"to"`
	LeftMS   int64                `json:"left_ms"`
}

// heard is the lease as another entry told it.
type heard struct {
	version uint64
	value   []byte
	at      time.Time
}

// ObserveLease takes the lease as it was changed, version 0 for none. Who hears of each change
// does not ask how the lease stands.
func (d *Director) ObserveLease(version uint64, value []byte, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.heard = &heard{version: version, value: value, at: now}
}

// hear takes into account what was heard last.
func (d *Director) hear() {
	d.mutex.Lock()
	h := d.heard
	d.heard = nil
	d.mutex.Unlock()
	if h == nil {
		return
	}
	var r record
	if h.version != 0 {
		r = d.decodeLease(h.value)
	}
	d.lease.ObserveReport(h.version, r.Record, h.at)
	most := doubtFor
	if !d.hearing {
		most = listTrust // the record may have been written long ago
	}
	d.hearing = true
	d.learn(&r, h.at, most)
}

// learn takes over the orders of a record, as under way for so long at most.
func (d *Director) learn(r *record, now time.Time, most time.Duration) {
	if r.Holder == d.Self {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, o := range r.Orders {
		if o.Lifetime.Before(d.Registry.Incarnation(o.Endpoint)) {
			continue // that life is over
		}
		left := min(most, time.Duration(o.LeftMS)*time.Millisecond)
		if own, ok := d.ordered[o.Endpoint]; ok && own.till.After(now.Add(left)) {
			continue // this entry has ordered since
		}
		d.ordered[o.Endpoint] = order{span: protocol.Span{From: o.From, To: o.To}, till: now.Add(left)}
	}
}

// underWay returns the orders whose effect has not been seen yet.
func (d *Director) underWay(now time.Time) []orderRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var all []orderRecord
	for id, o := range d.ordered {
		if left := o.till.Sub(now); left > 0 {
			all = append(all, orderRecord{Endpoint: id, Lifetime: d.Registry.Incarnation(id), From: o.span.From, To: o.span.To, LeftMS: left.Milliseconds()})
		}
	}
	slices.SortFunc(all, func(a, b orderRecord) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return all
}
