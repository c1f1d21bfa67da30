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

// maxRecordFaults bounds the unusable records whose fault is remembered, so that a writer that uses
// ever new names can't exhaust the memory. It exceeds the number of endpoints of the largest
// deployment. A fault takes some 100 bytes. Records beyond the bound are counted at each write.
const maxRecordFaults = 8192

// recordFaults remembers the faults of endpoint records, so that each change of a fault is logged
// once. The zero value is empty; a nil logger and nil counters are allowed.
type recordFaults struct {
	counters *metric.Set
	logger   *slog.Logger

	mutex           sync.Mutex
	decodeFaults    map[string]protocol.RecordFault // of records that can't be decoded
	tableFaults     map[string]protocol.RecordFault // of records that don't fit the table in force
	checkedRevision uint64                          // revision of the endpoint registry at the last check against the table
}

// setDecodeFault notes that a record can't be decoded.
func (r *recordFaults) setDecodeFault(o protocol.Object, err error) {
	fault := protocol.RecordUnreadable
	var unusable *protocol.RecordError
	if errors.As(err, &unusable) {
		fault = unusable.Fault()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.decodeFaults == nil {
		r.decodeFaults = make(map[string]protocol.RecordFault)
	}
	if r.setFault(r.decodeFaults, o.Name, fault) {
		event.RecordUnusable.Log(r.logger, slog.String("endpoint", o.Name), slog.String("reason", string(fault)),
			o.Version.LogAttr(), slog.String("cause", err.Error()))
	}
}

// setFault counts and remembers a fault that differs from the known one, and reports whether to log
// it. The mutex is held.
func (r *recordFaults) setFault(faults map[string]protocol.RecordFault, id string, fault protocol.RecordFault) bool {
	if faults[id] == fault {
		return false
	}
	if r.counters != nil {
		r.counters.CountUnusableRecord(fault)
	}
	if _, known := faults[id]; !known && len(faults) >= maxRecordFaults {
		return false
	}
	faults[id] = fault
	return true
}

// clearDecodeFault notes that a record can be decoded.
func (r *recordFaults) clearDecodeFault(o protocol.Object) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if fault, known := r.decodeFaults[o.Name]; known {
		delete(r.decodeFaults, o.Name)
		r.logUsable(o.Name, fault)
	}
}

// logUsable logs that a record has no fault any more.
func (r *recordFaults) logUsable(id string, fault protocol.RecordFault) {
	event.RecordUsable.Log(r.logger, slog.String("endpoint", id), slog.String("before", string(fault)))
}

// forget removes the fault of a record that was deleted.
func (r *recordFaults) forget(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.decodeFaults, id)
}

// retainListed removes the faults of the records that a complete list lacks.
func (r *recordFaults) retainListed(objects []protocol.Object) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.decodeFaults) == 0 {
		return
	}
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
	}
	for id := range r.decodeFaults {
		if !listed[id] {
			delete(r.decodeFaults, id)
		}
	}
}

// checkAgainstTable logs which records no longer fit the table in force, and which fit again.
func (r *recordFaults) checkAgainstTable(endpoints *registry.Registry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	revision := endpoints.Revision()
	if revision == r.checkedRevision {
		return
	}
	r.checkedRevision = revision
	unusable := endpoints.Unusable()
	if len(unusable) == 0 && len(r.tableFaults) == 0 {
		return
	}
	if r.tableFaults == nil {
		r.tableFaults = make(map[string]protocol.RecordFault)
	}
	isUnusable := make(map[string]bool, len(unusable))
	for _, u := range unusable {
		e := u.Endpoint()
		isUnusable[e.ID] = true
		if r.setFault(r.tableFaults, e.ID, u.Fault()) {
			event.RecordUnusable.Log(r.logger, slog.String("endpoint", e.ID), slog.String("reason", string(u.Fault())),
				slog.String("service", e.Service), slog.String("data_center", e.DataCenter),
				slog.String("accelerator", e.Accelerator), slog.String("layers", e.Layers.String()))
		}
	}
	r.clearTableFaults(endpoints, isUnusable)
}

// clearTableFaults logs the records that fit the table again, and removes the faults of those that
// are gone. The mutex is held.
func (r *recordFaults) clearTableFaults(endpoints *registry.Registry, isUnusable map[string]bool) {
	used := make(map[string]bool)
	for _, e := range endpoints.Endpoints() {
		used[e.ID] = true
	}
	for id, fault := range r.tableFaults {
		if isUnusable[id] {
			continue
		}
		delete(r.tableFaults, id)
		if used[id] {
			r.logUsable(id, fault)
		}
	}
}
