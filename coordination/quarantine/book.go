// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// SafeAfter is how long after its first event work is no longer what ends its endpoint. A
	// request that crashes an engine does so as it begins to run, 0.01 to 0.11 s after that and
	// before any event where it was seen. Streams that have run for longer are only there at
	// the time, and are most of what breaks; other suspected work need not keep away from them.
	SafeAfter = 200 * time.Millisecond
	// refusedFrom is at how many ends work must have been to be refused. One or two can be chance:
	// what broke is sent on to the same few engines.
	refusedFrom = 3
	// refusedAnyway is the same where other work was at all of the ends too. Work that is run alone
	// from its second end on gets there only if entries can't tell each other.
	refusedAnyway = 6
	// aloneFrom is from how many ends on work runs alone.
	aloneFrom = 2
	// behindFrom is from how many ends of later stages on those count at all. Each request whose
	// path leads over a stage waits for it when it ends, also those that had not got there: with
	// one or two, callers of a day on which many engines end would wait to be tried alone.
	behindFrom = 3
	// settleFor is how long after an end its last witness may tell: news takes some ms through
	// a relay tree, and an attempt of a busy entry some tens of ms to be looked at.
	settleFor = 150 * time.Millisecond
	// sameEnd is how far apart witnesses may be in when they met the same end: an entry takes
	// some tens of ms to look at a broken connection.
	sameEnd = 30 * time.Millisecond
	// unprovenFor is how long a broken answer counts for caution although its endpoint is not
	// known to have ended: a refused connection tells within ms.
	unprovenFor = 5 * time.Second
	// UnresolvedTimeout is how long work that was at two ends or more waits while it is not known whether
	// one of them was an end: a port that takes connections and resets them tells nothing, and the
	// engine is back after some seconds. Most answers come within 2 ms. Without the wait one piece
	// of work ended 6 to 10 of ten engines behind such ports, with it 3 or 4 (three entries, 24 tries).
	UnresolvedTimeout = 2 * time.Second
	// UnconfirmedRetention is how long it is remembered, to be proven by the record of the endpoint's next
	// life: engines are back some seconds after they ended.
	UnconfirmedRetention = 30 * time.Second
	// refuseFor is how long work is refused at its third end; each further end doubles it, up
	// to refuseDoublings times. A caller may come for hours, and each trial costs an endpoint; what
	// was wrong may be mended, and then one trial clears it.
	refuseFor       = 10 * time.Minute
	refuseDoublings = 7
	// Retention is how long an end counts that has not led to a refusal, and a refusal after it
	// has lapsed.
	Retention = time.Hour
	// worksMost bounds the work that is remembered, some 1,000 bytes each: an outage of a data
	// center ends some hundred endpoints with a few pieces of fresh work at each.
	worksMost = 4096
	// forgetPart is the part of them, one in so many, that gives way when there are more.
	forgetPart = 8
	// endsMost bounds the ends that are remembered for each.
	endsMost = 8
	// expireEvery is how often what has lapsed is looked for.
	expireEvery = time.Second
)

// Tracker keeps the reports that count. The zero value is empty.
type Tracker struct {
	works   map[protocol.Fingerprint]*work
	ends    map[end]map[protocol.Fingerprint]bool // the work that was at each
	gone    map[string]departure                  // the latest life of each endpoint that ended
	trials  map[trialKey]trial
	expired time.Time
}

// work is what is known of one piece of work.
type work struct {
	ends      map[end]sighting
	clearedAt time.Time // what was met until then counts no longer
	keptTill  time.Time // until when it is refused by what the platform keeps, zero for not
	told      bool      // that it is refused
}

// sighting is that a piece of work broke at an endpoint.
type sighting struct {
	at        time.Time
	proven    bool      // the endpoint is known to have ended
	behind    bool      // it was a later stage of the work's path
	doubtTill time.Time // until when it may turn out whether it has
}

// departure is the end of an endpoint's life.
type departure struct {
	life protocol.Incarnation
	at   time.Time
}

// Apply takes a report and returns whether it changes anything, so that it must be passed on.
func (b *Tracker) Apply(r Report, now time.Time) bool {
	b.expire(now)
	if now.Sub(r.at) > Retention || r.at.After(now) {
		return false
	}
	switch r.sign {
	case protocol.WorkBroke, protocol.WorkBrokeBehind:
		return b.broke(&r, now)
	case protocol.WorkRan:
		return b.ran(&r)
	case protocol.WorkTried:
		return b.begin(&r, now)
	case protocol.WorkTrialOver:
		return b.over(&r)
	default:
		return false
	}
}

// broke notes work that broke at an endpoint, once for each end of one: what comes again meets
// the same end once.
func (b *Tracker) broke(r *Report, now time.Time) bool {
	w := b.works[r.work]
	if w != nil {
		if _, known := w.ends[r.end()]; known || !r.at.After(w.clearedAt) {
			return false
		}
	}
	if w == nil {
		w = b.open(r.work, now)
	}
	if len(w.ends) >= endsMost {
		b.forgetOldest(r.work, w)
	}
	s := sighting{at: r.at, proven: b.gone[r.endpoint].ends(r.life, r.at), behind: r.sign == protocol.WorkBrokeBehind}
	if r.inDoubt {
		s.doubtTill = r.at.Add(UnresolvedTimeout)
	}
	w.ends[r.end()] = s
	if b.ends == nil {
		b.ends = make(map[end]map[protocol.Fingerprint]bool)
	}
	if b.ends[r.end()] == nil {
		b.ends[r.end()] = make(map[protocol.Fingerprint]bool)
	}
	b.ends[r.end()][r.work] = true
	return true
}

// open returns a new page for some work, in place of one that says less if there is no room.
func (b *Tracker) open(f protocol.Fingerprint, now time.Time) *work {
	if b.works == nil {
		b.works = make(map[protocol.Fingerprint]*work)
	}
	if len(b.works) >= worksMost {
		b.forgetLeast(now)
	}
	w := &work{ends: make(map[end]sighting)}
	b.works[f] = w
	return w
}

// ran clears work that ran well after its ends.
func (b *Tracker) ran(r *Report) bool {
	w := b.works[r.work]
	if w == nil || !r.at.After(w.clearedAt) || !r.at.After(w.last()) {
		return false
	}
	b.clear(r.work, w, r.at)
	return true
}

// clear takes all that was met until a time from some work.
func (b *Tracker) clear(f protocol.Fingerprint, w *work, at time.Time) {
	for e := range w.ends {
		b.leave(f, e)
	}
	clear(w.ends)
	w.clearedAt = at
	w.keptTill, w.told = time.Time{}, false
}

// leave takes work from an end.
func (b *Tracker) leave(f protocol.Fingerprint, e end) {
	delete(b.ends[e], f)
	if len(b.ends[e]) == 0 {
		delete(b.ends, e)
	}
}

// RecordCrash notes that a life of an endpoint ended: its port refused a connection, or a later
// life is known. A life of 0 is not known.
func (b *Tracker) RecordCrash(endpoint string, life protocol.Incarnation, at time.Time) {
	if b.gone == nil {
		b.gone = make(map[string]departure)
	}
	d := departure{life: life, at: at}
	if before := b.gone[endpoint]; life.Before(before.life) || life.Known() && life == before.life {
		return
	}
	b.gone[endpoint] = d
	for e, works := range b.ends {
		if e.endpoint != endpoint {
			continue
		}
		for f := range works {
			w := b.works[f]
			if s := w.ends[e]; !s.proven && d.ends(e.life, s.at) {
				s.proven = true
				w.ends[e] = s
			}
		}
	}
}

// ends reports whether it is the end of a life, under which something broke at a time.
func (d departure) ends(life protocol.Incarnation, at time.Time) bool {
	if d.at.IsZero() {
		return false
	}
	if d.life.Known() && life.Known() {
		return !d.life.Before(life)
	}
	return d.at.Sub(at).Abs() <= unprovenFor
}

// last returns when the work last broke.
func (w *work) last() time.Time {
	var last time.Time
	for _, s := range w.ends {
		if s.at.After(last) {
			last = s.at
		}
	}
	return last
}

// tally is at how many ends of endpoints some work was.
type tally struct {
	first    int // known for themselves, at the first engine of its path
	behind   int // the same, at later ones
	unproven int // there may have been more
}

// proven returns how many are known and count.
func (t tally) proven() int {
	if t.behind < behindFrom {
		return t.first
	}
	return t.first + t.behind
}

// most returns at how many the work may have been.
func (t tally) most() int { return t.proven() + t.unproven }

// count returns at how many ends the work was.
func (w *work) count(now time.Time) tally {
	var t tally
	for _, s := range w.ends {
		switch {
		case s.proven && s.behind:
			t.behind++
		case s.proven:
			t.first++
		case !s.behind && now.Sub(s.at) <= unprovenFor:
			t.unproven++
		}
	}
	return t
}

// Confirmed reports whether work was at an end that is known for itself: at one of its
// ends for a report that it broke, at any for others.
func (b *Tracker) Confirmed(r *Report) bool {
	w := b.works[r.work]
	if w == nil {
		return false
	}
	if r.sign.Broke() {
		return w.ends[r.end()].proven
	}
	for _, s := range w.ends {
		if s.proven {
			return true
		}
	}
	return false
}

// IsSuspected reports whether anything was met of some work that running well would clear.
func (b *Tracker) IsSuspected(f protocol.Fingerprint) bool {
	w := b.works[f]
	return w != nil && (len(w.ends) > 0 || !w.keptTill.IsZero())
}

// Empty reports whether nothing is known against any work.
func (b *Tracker) Empty() bool { return len(b.works) == 0 }
