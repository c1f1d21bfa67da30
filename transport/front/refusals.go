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
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// refusedPrefix begins the names of refusals in the platform; the fingerprint follows.
	refusedPrefix = "refused-"
	// refusalsLook is how often refusals are looked for while any work is suspected. A request that
	// ends endpoints comes again after a second or two.
	refusalsLook = 50 * time.Millisecond
	// keepSpread is over how long for each entry the writes of a refusal are spread: all learn
	// of it at once, and one has to write it.
	keepSpread = 50 * time.Millisecond
	// keepAgain is when to try a write again that the platform did not answer, at the soonest.
	keepAgain = time.Second
	// keepLimit bounds one call.
	keepLimit = 2 * time.Second
	// refusalsMost bounds the refusals in the platform that are known here, some 500 bytes
	// each. Work beyond it is still refused as long as an entry lives that knows of it.
	refusalsMost = 1024
)

// refusals keeps the work that is refused in the platform, so that it outlasts all entries, and
// learns what others keep there. An operator who removes one lets the work run again.
type refusals struct {
	front *Front

	done    part.Done
	learned part.Signal // told when the platform has told of a refusal
	mutex   sync.Mutex
	read    bool // the platform's list came, so that work that is refused is known
	kept    map[protocol.Fingerprint]keptRefusal
	write   map[protocol.Fingerprint]*keeping
}

// keptRefusal is a refusal as the platform holds it.
type keptRefusal struct {
	version uint64
	counted bool // it had evidence and had not lapsed
}

// keeping is a refusal that has to be written.
type keeping struct {
	refusal quarantine.Refusal
	at      time.Time
}

func (r *refusals) run() {
	q := r.front.source.Quarantine()
	t := time.NewTicker(refusalsLook)
	defer t.Stop()
	for {
		met, learned := q.Changed(), r.learned.Awaited()
		ticks := t.C
		if q.Empty() && !r.any() {
			ticks = nil // there is nothing to look for
		} else {
			r.look(clock.Now())
		}
		select {
		case <-ticks:
		case <-met:
		case <-learned:
		case <-r.done.Done():
			return
		}
	}
}

// look tells of work that is refused from now on, and writes and removes what is due.
func (r *refusals) look(now time.Time) {
	q := r.front.source.Quarantine()
	newly := q.NewRefusals(now, time.Now())
	for i := range newly {
		r.front.forwarder.ApplyRefusal(&newly[i])
		r.plan(newly[i], now)
	}
	for _, k := range r.due(now) {
		r.keep(k)
	}
	if !r.front.source.Following() {
		r.tidy()
	}
}

// any reports whether there is anything to write or to remove.
func (r *refusals) any() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.kept)+len(r.write) > 0
}

// plan sets when to write a refusal, unless another entry has by then.
func (r *refusals) plan(n quarantine.Refusal, now time.Time) {
	spread := r.spread()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.write == nil {
		r.write = make(map[protocol.Fingerprint]*keeping)
	}
	r.write[n.Work()] = &keeping{refusal: n, at: now.Add(rand.N(spread))}
}

// spread returns over how long all entries spread what one of them has to do.
func (r *refusals) spread() time.Duration {
	return keepSpread * time.Duration(r.front.forwarder.EntryCount())
}

// due returns what has to be written now.
func (r *refusals) due(now time.Time) []*keeping {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []*keeping
	for _, k := range r.write {
		if !now.Before(k.at) {
			all = append(all, k)
		}
	}
	return all
}

// keep writes a refusal.
func (r *refusals) keep(k *keeping) {
	work := k.refusal.Work()
	left := clock.Until(k.refusal.Until())
	value, err := json.Marshal(protocol.RefusedWork{Crashes: k.refusal.Crashes(), UntilMS: time.Now().Add(left).UnixMilli()})
	if err != nil {
		event.RefusalIgnored.Log(r.front.Logger, slog.String("fingerprint", work.String()), slog.String("cause", err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), keepLimit)
	defer cancel()
	_, err = r.front.Dependencies.Objects.Put(ctx, ownKind, refusedPrefix+work.String(), r.version(work), value)
	var raced *platform.Conflict
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err == nil || errors.As(err, &raced) {
		delete(r.write, work) // written, by this entry or another one; the watch tells
		return
	}
	r.front.platformFailed("refusals", err)
	k.at = clock.Now().Add(keepAgain + rand.N(r.spread()))
}

func (r *refusals) version(work protocol.Fingerprint) uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.kept[work].version
}

// listed takes all refusals that the platform holds. What is not among them any more was
// removed.
func (r *refusals) listed(objects []protocol.Object, now time.Time) {
	there := make(map[protocol.Fingerprint]bool)
	for _, o := range objects {
		if work, ok := refusedWork(o.Name); ok {
			there[work] = true
			r.take(work, o, now)
		}
	}
	for _, work := range r.known() {
		if !there[work] {
			r.removed(work, now)
		}
	}
	r.mutex.Lock()
	r.read = true
	r.mutex.Unlock()
	r.front.learned()
}

// areRead reports whether the platform's refusals are known here.
func (r *refusals) areRead() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.read
}

// changed takes a refusal that came, changed or went.
func (r *refusals) changed(c protocol.Change, now time.Time) {
	work, ok := refusedWork(c.Object.Name)
	switch {
	case !ok:
	case c.Gone:
		r.removed(work, now)
	default:
		r.take(work, c.Object, now)
	}
}

// refusedWork returns the work that an object's name speaks of.
func refusedWork(name string) (protocol.Fingerprint, bool) {
	text, ok := strings.CutPrefix(name, refusedPrefix)
	if !ok {
		return protocol.Fingerprint{}, false
	}
	return protocol.ParseFingerprint(text)
}

// take takes a refusal from the platform. It may be of any writer.
func (r *refusals) take(work protocol.Fingerprint, o protocol.Object, now time.Time) {
	var refused protocol.RefusedWork
	err := json.Unmarshal(o.Value, &refused)
	if err != nil {
		event.RefusalIgnored.Log(r.front.Logger, slog.String("fingerprint", work.String()), slog.Uint64("revision", o.Version),
			slog.String("cause", err.Error()))
		return
	}
	r.mutex.Lock()
	if r.kept == nil {
		r.kept = make(map[protocol.Fingerprint]keptRefusal)
	}
	if _, there := r.kept[work]; !there && len(r.kept) >= refusalsMost {
		r.mutex.Unlock()
		return
	}
	counts := r.front.source.Quarantine().RestoreRefusal(work, &refused, now, time.Now())
	r.kept[work] = keptRefusal{version: o.Version, counted: counts || r.kept[work].counted}
	delete(r.write, work)
	r.mutex.Unlock()
	r.learned.Tell()
	if counts {
		r.front.forwarder.RecheckRefusals()
	}
}

// removed takes it that an operator released some work, or an entry what had lapsed.
func (r *refusals) removed(work protocol.Fingerprint, now time.Time) {
	r.mutex.Lock()
	delete(r.kept, work)
	delete(r.write, work)
	r.mutex.Unlock()
	if r.front.source.Quarantine().Release(work, now) {
		event.WorkReleased.Log(r.front.Logger, slog.String("fingerprint", work.String()))
	}
}

// known returns the work whose refusals the platform is known to hold.
func (r *refusals) known() []protocol.Fingerprint {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []protocol.Fingerprint
	for work := range r.kept {
		all = append(all, work)
	}
	return all
}

// tidy removes a refusal that counts no more, because the work ran well since or nobody tried it
// for long after it lapsed. Only an entry that follows no other does, and one at each look: each
// is a call.
func (r *refusals) tidy() {
	r.mutex.Lock()
	counts := r.front.source.Quarantine().StoredRefusals() // asked before, it lacked a refusal that came meanwhile
	var old protocol.Fingerprint
	for work, k := range r.kept {
		if k.counted && !slices.Contains(counts, work) {
			old = work
		}
	}
	version := r.kept[old].version
	r.mutex.Unlock()
	if !old.IsZero() {
		r.remove(old, version)
	}
}

func (r *refusals) remove(work protocol.Fingerprint, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), keepLimit)
	defer cancel()
	err := r.front.Dependencies.Objects.Delete(ctx, ownKind, refusedPrefix+work.String(), version)
	if err != nil {
		r.front.platformFailed("refusals", err)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.kept, work) // if it is still there, the next list tells
}
