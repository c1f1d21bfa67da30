// SPDX-License-Identifier: Apache-2.0

package director

import (
	"slices"
	"strings"
	"time"

	"pinerun.example/pinerun/coordination/lease"
	"pinerun.example/pinerun/protocol"
)

// leaseRecord is the lease as the platform stores it, with the orders whose effect its holder has
// not seen. A load takes seconds, and the engine's own record does not show it meanwhile. A new
// holder that did not know of these orders undid reassignments that were in progress.
type leaseRecord struct {
	lease.Record

	Orders []orderRecord `json:"orders,omitempty"`
}

// orderRecord is a pending order. LeftMS is for how long the order may still take effect, counted
// from the write of the record.
type orderRecord struct {
	Endpoint string `json:"endpoint"`
	// Incarnation is the engine process that the order was sent to, if it is known.
	Incarnation protocol.Incarnation `json:"lifetime,omitempty"`
	From        int                  `json:"from"`
	To          int                  `json:"to"`
	LeftMS      int64                `json:"left_ms"`
}

// leaseChange is the state of the lease as another entry reported it.
type leaseChange struct {
	version protocol.Revision
	value   []byte
	at      time.Time
}

// ObserveLease stores a reported change of the lease for the next check, with the zero
// version if the lease was deleted. An entry that receives every change does not read the lease from the platform.
func (d *Director) ObserveLease(version protocol.Revision, value []byte, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.leaseChange = &leaseChange{version: version, value: value, at: now}
}

// applyLeaseChange applies the last reported change of the lease.
func (d *Director) applyLeaseChange() {
	d.mutex.Lock()
	change := d.leaseChange
	d.leaseChange = nil
	d.mutex.Unlock()
	if change == nil {
		return
	}
	var r leaseRecord
	if !change.version.IsZero() {
		r = d.decodeLease(change.value)
	}
	d.lease.ObserveReport(change.version, r.Record, change.at)
	limit := pendingTimeout
	if !d.leaseObserved {
		limit = listGrace // the record may have been written long before
	}
	d.observeOrders(change.version, &r, change.at, limit)
}

// observeOrders adopts the orders of a record that another holder has written. The first record of a new
// era is from a copy: its orders are older than those that are known here.
func (d *Director) observeOrders(version protocol.Revision, r *leaseRecord, now time.Time, limit time.Duration) {
	fromCopy := d.leaseObserved && d.leaseEra < version.Era
	d.leaseObserved, d.leaseEra = true, version.Era
	if !fromCopy {
		d.adoptOrders(r, now, limit)
	}
}

// adoptOrders treats the orders of another holder's record as pending, for no longer than the
// limit.
func (d *Director) adoptOrders(r *leaseRecord, now time.Time, limit time.Duration) {
	if r.Holder == d.Self {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, o := range r.Orders {
		if o.Incarnation.Before(d.Registry.Incarnation(o.Endpoint)) {
			continue // the order was sent to an earlier incarnation
		}
		left := min(limit, time.Duration(o.LeftMS)*time.Millisecond)
		if own, ok := d.pendingOrders[o.Endpoint]; ok && own.until.After(now.Add(left)) {
			continue // this entry has sent an order since
		}
		d.pendingOrders[o.Endpoint] = pendingOrder{span: protocol.Span{From: o.From, To: o.To}, until: now.Add(left)}
	}
}

// pendingOrderRecords returns the orders whose effect has not been seen yet, sorted by endpoint.
func (d *Director) pendingOrderRecords(now time.Time) []orderRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var records []orderRecord
	for id, o := range d.pendingOrders {
		if left := o.until.Sub(now); left > 0 {
			records = append(records, orderRecord{Endpoint: id, Incarnation: d.Registry.Incarnation(id), From: o.span.From, To: o.span.To, LeftMS: left.Milliseconds()})
		}
	}
	slices.SortFunc(records, func(a, b orderRecord) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return records
}
