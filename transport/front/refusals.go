// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// refusedPrefix begins the names of refusals in the platform; the fingerprint of the work
	// follows.
	refusedPrefix = "refused-"
	// refusalsPollInterval is how often refusals are processed while any work is suspected. A
	// request that crashes endpoints comes again after a second or two.
	refusalsPollInterval = 50 * time.Millisecond
	// writeSpread is the time, multiplied by the number of entries, over which the writes of a
	// refusal are spread: all entries learn of it at once, and one has to write it.
	writeSpread = 50 * time.Millisecond
	// writeRetryDelay is the least delay before a write is retried that the platform did not
	// answer.
	writeRetryDelay = time.Second
	// refusalCallTimeout bounds one call.
	refusalCallTimeout = 2 * time.Second
	// maxRefusals bounds the refusals in the platform that this entry keeps, some 500 bytes each.
	// Work beyond it is refused only as long as an entry runs that detected it.
	maxRefusals = 1024
)

// refusals stores the work that is refused in the platform, so that a refusal outlasts all entries,
// and applies what other entries store there. An operator who removes a refusal lets the work run
// again.
type refusals struct {
	front *Front

	done     lifecycle.Done
	received lifecycle.Signal // signaled when the platform has reported a refusal
	mutex    sync.Mutex
	loaded   bool // the platform's list was applied
	stored   map[protocol.Fingerprint]storedRefusal
	pending  map[protocol.Fingerprint]*pendingWrite
}

// storedRefusal is a refusal as the platform holds it.
type storedRefusal struct {
	version   protocol.Revision
	value     []byte
	wasActive bool // it had evidence and had not expired when it was applied
}

// pendingWrite is a refusal that has to be written.
type pendingWrite struct {
	work    protocol.Fingerprint
	value   []byte
	writeAt time.Time
}

func (r *refusals) run() {
	q := r.front.source.Quarantine()
	t := time.NewTicker(refusalsPollInterval)
	defer t.Stop()
	for {
		changed, received := q.Changed(), r.received.Changed()
		ticks := t.C
		if q.Empty() && !r.hasWork() {
			ticks = nil // there is nothing to process
		} else {
			r.process(clock.Now())
		}
		select {
		case <-ticks:
		case <-changed:
		case <-received:
		case <-r.done.Done():
			return
		}
	}
}

// process applies new refusals of work, and writes and removes what is due.
func (r *refusals) process(now time.Time) {
	q := r.front.source.Quarantine()
	refusals := q.NewRefusals(now, time.Now())
	for i := range refusals {
		r.front.forwarder.ApplyRefusal(&refusals[i])
		r.scheduleWrite(refusals[i], now)
	}
	for _, w := range r.dueWrites(now) {
		r.writeRefusal(w)
	}
	if !r.front.source.Following() {
		r.removeOneInactive()
	}
}

// hasWork reports whether there may be anything to write or to remove.
func (r *refusals) hasWork() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.stored)+len(r.pending) > 0
}

// scheduleWrite sets when to write a new refusal, unless another entry has written it by then.
func (r *refusals) scheduleWrite(refusal quarantine.Refusal, now time.Time) {
	until := time.Now().Add(refusal.Until().Sub(now))
	value, err := json.Marshal(protocol.RefusedWork{
		Crashes: refusal.Crashes(), UntilMS: until.UnixMilli(), Part: refusal.Part(), With: fingerprintNames(refusal.With()),
	})
	if err != nil {
		event.RefusalIgnored.Log(r.front.Logger, slog.String("fingerprint", refusal.Suspect().String()), slog.String("cause", err.Error()))
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.schedule(refusal.Suspect(), value, now)
}

// fingerprintNames returns the texts of fingerprints.
func fingerprintNames(all []protocol.Fingerprint) []string {
	var names []string
	for _, f := range all {
		names = append(names, f.String())
	}
	return names
}

// schedule sets when to write a refusal. The mutex is held.
func (r *refusals) schedule(work protocol.Fingerprint, value []byte, now time.Time) {
	if r.pending == nil {
		r.pending = make(map[protocol.Fingerprint]*pendingWrite)
	}
	r.pending[work] = &pendingWrite{work: work, value: value, writeAt: now.Add(rand.N(r.spreadOverEntries()))}
}

// spreadOverEntries returns the time over which all entries spread what one of them has to do.
func (r *refusals) spreadOverEntries() time.Duration {
	return writeSpread * time.Duration(r.front.forwarder.EntryCount())
}

// dueWrites returns the writes that are due.
func (r *refusals) dueWrites(now time.Time) []*pendingWrite {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []*pendingWrite
	for _, w := range r.pending {
		if !now.Before(w.writeAt) {
			all = append(all, w)
		}
	}
	return all
}

// writeRefusal writes a refusal to the platform.
func (r *refusals) writeRefusal(w *pendingWrite) {
	ctx, cancel := context.WithTimeout(context.Background(), refusalCallTimeout)
	defer cancel()
	_, err := r.front.Dependencies.Objects.Put(ctx, coordinationKind, refusedPrefix+w.work.String(), r.storedVersion(w.work), w.value)
	var conflict *platform.Conflict
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err == nil || errors.As(err, &conflict) {
		delete(r.pending, w.work) // this or another entry wrote it; the watch reports it
		return
	}
	r.front.platformFailed("refusals", err)
	w.writeAt = clock.Now().Add(writeRetryDelay + rand.N(r.spreadOverEntries()))
}

// storedVersion returns the version of the refusal that the platform holds, zero if none is known.
func (r *refusals) storedVersion(work protocol.Fingerprint) protocol.Revision {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.stored[work].version
}

// applyList applies the list of all refusals in the platform. A known refusal that the list lacks
// was removed, or lost by a restore.
func (r *refusals) applyList(l protocol.Listing, now time.Time) {
	listed := make(map[protocol.Fingerprint]bool)
	for _, o := range l.Objects {
		if work, ok := workFromName(o.Name); ok {
			listed[work] = true
			r.applyRefusal(work, o, now)
		}
	}
	for _, work := range r.storedWork() {
		if !listed[work] {
			r.applyRemoval(work, l.Revision, now)
		}
	}
	r.mutex.Lock()
	r.loaded = true
	r.mutex.Unlock()
	r.front.endStartupWaitIfReady()
}

// areLoaded reports whether the platform's list of refusals was applied.
func (r *refusals) areLoaded() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.loaded
}

// applyChange applies a refusal that was added, changed or removed.
func (r *refusals) applyChange(c protocol.Change, now time.Time) {
	work, ok := workFromName(c.Object.Name)
	switch {
	case !ok:
	case c.Deleted:
		r.applyRemoval(work, c.Object.Version, now)
	default:
		r.applyRefusal(work, c.Object, now)
	}
}

// workFromName returns the work that the name of an object refers to.
func workFromName(name string) (protocol.Fingerprint, bool) {
	text, ok := strings.CutPrefix(name, refusedPrefix)
	if !ok {
		return protocol.Fingerprint{}, false
	}
	return protocol.ParseFingerprint(text)
}

// applyRefusal applies a refusal from the platform. Any writer may have written it.
func (r *refusals) applyRefusal(work protocol.Fingerprint, o protocol.Object, now time.Time) {
	var refused protocol.RefusedWork
	err := json.Unmarshal(o.Value, &refused)
	if err != nil {
		event.RefusalIgnored.Log(r.front.Logger, slog.String("fingerprint", work.String()), o.Version.LogAttr(),
			slog.String("cause", err.Error()))
		return
	}
	r.mutex.Lock()
	if r.stored == nil {
		r.stored = make(map[protocol.Fingerprint]storedRefusal)
	}
	if _, known := r.stored[work]; !known && len(r.stored) >= maxRefusals {
		r.mutex.Unlock()
		return
	}
	active := r.front.source.Quarantine().RestoreRefusal(work, &refused, now, time.Now())
	r.stored[work] = storedRefusal{version: o.Version, value: o.Value, wasActive: active || r.stored[work].wasActive}
	delete(r.pending, work)
	r.mutex.Unlock()
	r.received.Broadcast()
	if active {
		r.front.forwarder.RecheckRefusals()
	}
}

// applyRemoval applies the removal of a refusal up to a revision: an operator released the work, or an
// entry removed a refusal that had expired. A refusal of an earlier era was lost by a restore of the
// platform, so it is written again.
func (r *refusals) applyRemoval(work protocol.Fingerprint, at protocol.Revision, now time.Time) {
	r.mutex.Lock()
	if lost, known := r.stored[work]; known && lost.version.Era < at.Era {
		delete(r.stored, work)
		r.schedule(work, lost.value, now)
		r.mutex.Unlock()
		r.received.Broadcast()
		return
	}
	delete(r.stored, work)
	delete(r.pending, work)
	r.mutex.Unlock()
	if r.front.source.Quarantine().Release(work, now) {
		event.WorkReleased.Log(r.front.Logger, slog.String("fingerprint", work.String()))
	}
}

// storedWork returns the work whose refusals the platform is known to hold.
func (r *refusals) storedWork() []protocol.Fingerprint {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []protocol.Fingerprint
	for work := range r.stored {
		all = append(all, work)
	}
	return all
}

// removeOneInactive removes one refusal that is no longer active, because the work has run well
// since or was not requested for a long time after the refusal expired. Only an entry that follows
// no other does so, and for one refusal at a time, since each removal is a call.
func (r *refusals) removeOneInactive() {
	r.mutex.Lock()
	// Reading the active refusals before taking the mutex missed a refusal that arrived in between.
	active := r.front.source.Quarantine().StoredRefusals()
	var inactive protocol.Fingerprint
	for work, refusal := range r.stored {
		if refusal.wasActive && !slices.Contains(active, work) {
			inactive = work
		}
	}
	version := r.stored[inactive].version
	r.mutex.Unlock()
	if !inactive.IsZero() {
		r.deleteRefusal(inactive, version)
	}
}

// deleteRefusal removes a refusal from the platform if its version is still the known one.
func (r *refusals) deleteRefusal(work protocol.Fingerprint, version protocol.Revision) {
	ctx, cancel := context.WithTimeout(context.Background(), refusalCallTimeout)
	defer cancel()
	err := r.front.Dependencies.Objects.Delete(ctx, coordinationKind, refusedPrefix+work.String(), version)
	if err != nil {
		r.front.platformFailed("refusals", err)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.stored, work) // if the platform still holds it, the next list reports it
}
