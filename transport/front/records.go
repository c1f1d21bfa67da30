// SPDX-License-Identifier: Apache-2.0

package front

import (
	"errors"
	"log/slog"
	"sync"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/registry"
)

// recordsKept bounds the unusable records whose fault is remembered, so that a writer of ever
// new names can't use up the memory: more than the endpoints of the largest deployment, at
// some 100 bytes each. Records beyond it are counted at each write.
const recordsKept = 8192

// records remembers what is wrong with endpoints' records, so that each change of a fault is
// logged once. The zero value knows of none; a nil logger and nil counters take nothing.
type records struct {
	counters *metric.Set
	logger   *slog.Logger

	mutex  sync.Mutex
	faults map[string]protocol.RecordFault // of records that can't be decoded
	misfit map[string]protocol.RecordFault // of those that don't fit the table in force
	judged uint64                          // change of the roster that judge saw last
}

// unusable notes that a record can't be decoded.
func (r *records) unusable(o protocol.Object, err error) {
	fault := protocol.RecordUnreadable
	var told *protocol.UnusableRecord
	if errors.As(err, &told) {
		fault = told.Fault()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.faults == nil {
		r.faults = make(map[string]protocol.RecordFault)
	}
	if r.note(r.faults, o.Name, fault) {
		event.RecordUnusable.Log(r.logger, slog.String("endpoint", o.Name), slog.String("reason", string(fault)),
			slog.Uint64("revision", o.Version), slog.String("cause", err.Error()))
	}
}

// note counts and remembers a fault that differs from the one known, and reports whether to
// log it. The mutex is held.
func (r *records) note(known map[string]protocol.RecordFault, id string, fault protocol.RecordFault) bool {
	if known[id] == fault {
		return false
	}
	if r.counters != nil {
		r.counters.Unusable(fault)
	}
	if _, there := known[id]; !there && len(known) >= recordsKept {
		return false
	}
	known[id] = fault
	return true
}

// sound notes that a record can be decoded.
func (r *records) sound(o protocol.Object) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if before, there := r.faults[o.Name]; there {
		delete(r.faults, o.Name)
		r.usable(o.Name, before)
	}
}

// usable logs that a record has no fault any more.
func (r *records) usable(id string, before protocol.RecordFault) {
	event.RecordUsable.Log(r.logger, slog.String("endpoint", id), slog.String("before", string(before)))
}

// gone forgets a record that was deleted.
func (r *records) gone(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.faults, id)
}

// keepListed forgets the records that a whole list does not hold.
func (r *records) keepListed(objects []protocol.Object) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.faults) == 0 {
		return
	}
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
	}
	for id := range r.faults {
		if !listed[id] {
			delete(r.faults, id)
		}
	}
}

// judge logs which records no longer fit the table in force, and which fit again.
func (r *records) judge(endpoints *registry.Registry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at := endpoints.Revision()
	if at == r.judged {
		return
	}
	r.judged = at
	misfits := endpoints.Unusable()
	if len(misfits) == 0 && len(r.misfit) == 0 {
		return
	}
	if r.misfit == nil {
		r.misfit = make(map[string]protocol.RecordFault)
	}
	now := make(map[string]bool, len(misfits))
	for _, m := range misfits {
		e := m.Endpoint()
		now[e.ID] = true
		if r.note(r.misfit, e.ID, m.Fault()) {
			event.RecordUnusable.Log(r.logger, slog.String("endpoint", e.ID), slog.String("reason", string(m.Fault())),
				slog.String("service", e.Service), slog.String("data_center", e.DataCenter),
				slog.String("accelerator", e.Accelerator), slog.String("layers", e.Layers.String()))
		}
	}
	r.fitting(endpoints, now)
}

// fitting logs the records that fit again, and forgets those that are gone. The mutex is
// held.
func (r *records) fitting(endpoints *registry.Registry, misfits map[string]bool) {
	used := make(map[string]bool)
	for _, e := range endpoints.Endpoints() {
		used[e.ID] = true
	}
	for id, before := range r.misfit {
		if misfits[id] {
			continue
		}
		delete(r.misfit, id)
		if used[id] {
			r.usable(id, before)
		}
	}
}
