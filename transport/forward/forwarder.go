// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/retry"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/roster"
	"pinerun.example/pinerun/state/routing"
)

// Headers translates between headers and what they say.
type Headers interface {
	Terms(h http.Header, now time.Time) protocol.CallerTerms
	Mark(h http.Header, s *protocol.SendTerms, now time.Time)
	Answer(status int, h http.Header) protocol.AnswerTerms
}

// Reporter asks an engine how it stands.
type Reporter interface {
	Report(ctx context.Context, address string) (protocol.EngineReport, error)
}

const (
	// sweepEvery is how often resting connections are looked through.
	sweepEvery = time.Second
	// unsureAfter is the age of the routing table's confirmation from which an
	// unknown route or key is answered "come back" instead of "unknown": the
	// table may have changed. It is a little more than a watch takes.
	unsureAfter = 4 * time.Second
)

// Forwarder forwards requests. Set the exported fields before Start.
type Forwarder struct {
	Home     fleet.Home
	Routing  *routing.Store
	Roster   *roster.Roster
	Headers  Headers
	Reporter Reporter
	Counters *metric.Set
	Latency  *Latency
	Logger   *slog.Logger
	// Budget bounds further sends; it is this entry's part of what all entries
	// may spend together.
	Budget retry.Budget
	// TrustKeys returns until when keys confirmed then are accepted.
	TrustKeys func(confirmed time.Time) time.Time

	done     part.Done
	spending sync.Mutex // guards Budget and the next two
	fillAt   time.Time  // when the budget is filled, zero once it was
	spent    float64    // further sends so far
	pool     pool
	suspects suspects
	open     atomic.Int64
	entries  atomic.Int64
	refusing atomic.Bool
}

// Start begins the upkeep of connections.
func (f *Forwarder) Start() {
	f.pool.opened = func() { f.Counters.Add(metric.EndpointConnections, 1) }
	f.suspects.forwarder = f
	go f.run()
}

// Close ends it.
func (f *Forwarder) Close() { f.done.Close() }

// Open returns how many requests are being served.
func (f *Forwarder) Open() int64 { return f.open.Load() }

// RefuseNew makes the forwarder refuse every further request, because the entry
// stops and the request would not be finished in time.
func (f *Forwarder) RefuseNew() { f.refusing.Store(true) }

func (f *Forwarder) run() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			f.pool.sweep(now)
			f.fillBudget(now)
		case <-f.done.Done():
			return
		}
	}
}

// fillBudget gives the whole credit once the process before counts no longer.
func (f *Forwarder) fillBudget(now time.Time) {
	f.spending.Lock()
	defer f.spending.Unlock()
	if f.fillAt.IsZero() || now.Before(f.fillAt) {
		return
	}
	f.fillAt = time.Time{}
	f.Budget.Fill(f.spent)
}

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.open.Add(1)
	defer f.open.Add(-1)
	f.Counters.Add(metric.Requests, 1)
	x := &exchange{forwarder: f, writer: w, request: r, begun: time.Now()}
	if refusal := x.admit(); refusal != nil {
		x.refuse(refusal)
		return
	}
	x.run()
}

// admit finds the route, the team and the deadline, and reads the body.
func (x *exchange) admit() *protocol.Refusal {
	f := x.forwarder
	x.terms = f.Headers.Terms(x.request.Header, x.begun)
	if f.refusing.Load() {
		return protocol.Refuse(protocol.Stopping, "this entry is stopping").Again(x.begun)
	}
	table := f.Routing.Current()
	if table == nil || !f.Roster.Known() {
		return protocol.Refuse(protocol.NoConfiguration, "no routing table was read yet").Again(x.begun.Add(againUnsure))
	}
	x.table = table
	unsure := x.begun.Sub(f.Routing.ConfirmedAt()) > unsureAfter
	target, _, _ := strings.Cut(x.request.RequestURI, "?")
	x.route = table.Match(x.request.Host, target)
	if x.route == nil {
		if unsure {
			return protocol.Refuse(protocol.PlatformDown, "the route is unknown, but the table may be old").Again(x.begun.Add(againUnsure))
		}
		return protocol.Refuse(protocol.UnknownService, "no route matches the host and path")
	}
	if refusal := x.admitTeam(unsure); refusal != nil {
		return refusal
	}
	x.deadline = x.route.Timeout(x.begun)
	if !x.terms.Deadline.IsZero() && x.terms.Deadline.Before(x.deadline) {
		x.deadline = x.terms.Deadline
	}
	x.service = table.Service(routing.Pick(x.route, rand.Float64()))
	return x.readBody(table.Callers().BodyBytes)
}

// admitTeam finds the team of the caller's key. A key is taken only while the
// platform has lately confirmed that it was not withdrawn.
func (x *exchange) admitTeam(unsure bool) *protocol.Refusal {
	if !x.table.Keyed() || x.route.Public {
		return nil
	}
	f := x.forwarder
	if x.begun.After(f.TrustKeys(f.Routing.ConfirmedAt())) {
		return protocol.Refuse(protocol.PlatformDown, "keys can't be confirmed").Again(x.begun.Add(againUnsure))
	}
	team := x.table.Team(x.terms.Key)
	if team == nil {
		if unsure {
			return protocol.Refuse(protocol.PlatformDown, "the key is unknown, but the table may be old").Again(x.begun.Add(againUnsure))
		}
		return protocol.Refuse(protocol.WrongKey, "the key is not known")
	}
	x.team = team
	return nil
}

func (x *exchange) readBody(most int64) *protocol.Refusal {
	if most <= 0 {
		most = maxWholeBytes
	}
	body, err := io.ReadAll(io.LimitReader(x.request.Body, most+1))
	if err != nil {
		return protocol.Refuse(protocol.MalformedRequest, "the body did not come whole").Because(err)
	}
	if int64(len(body)) > most {
		return protocol.Refuse(protocol.BodyTooLarge, "the body is longer than the limit")
	}
	x.body = body
	return nil
}

const (
	// homeFull is the part of the room for requests up to which an entry's own data
	// center is used whatever stands free elsewhere: bytes between data centers
	// have a price, and below it the engines' steps are hardly longer.
	homeFull = 0.6
	// awayGain is how much emptier another data center has to be.
	awayGain = 0.2
)

// candidate is a path in one data center.
type candidate struct {
	path      path.Path
	sound     bool
	occupancy float64
}

// choose finds a path for a service. The entry's own data center comes first, as
// long as it has a sound path and room; then the emptiest other one with a sound
// path; then whatever there is.
func (f *Forwarder) choose(s *protocol.RoutedService, q *path.Query, into *path.Path) bool {
	view := f.Roster.View()
	if s.Engine == nil {
		return path.Into(view.Model(roster.ModelName(s.Name, "")), q, into) < 0
	}
	usual := float64(s.Engine.UsualPrompt) + float64(s.Engine.UsualAnswer)/2
	best, found := f.candidate(view, s.Name, f.Home.DataCenter, q, usual)
	if found && best.sound && best.occupancy < homeFull {
		*into = best.path
		return true
	}
	for _, center := range f.Roster.Centers(s.Name) {
		if center == f.Home.DataCenter {
			continue
		}
		other, ok := f.candidate(view, s.Name, center, q, usual)
		if ok && (!found || other.better(&best)) {
			best, found = other, true
		}
	}
	*into = best.path
	return found
}

func (f *Forwarder) candidate(view *fleet.View, service, center string, q *path.Query, usual float64) (candidate, bool) {
	var c candidate
	m := view.Model(roster.ModelName(service, center))
	if path.Parts(m, q, &c.path) >= 0 {
		return c, false
	}
	c.sound = sound(&c.path, q.Now, q.Avoid)
	c.occupancy = m.Occupancy(q.Now, usual)
	return c, true
}

func (c *candidate) better(than *candidate) bool {
	if c.sound != than.sound {
		return c.sound
	}
	return c.occupancy+awayGain < than.occupancy
}

// sound reports whether every runner of a path may take work now and need not be
// avoided.
func sound(p *path.Path, now time.Time, avoid []*fleet.Runner) bool {
	for i := range p.Len() {
		if r := p.Runner(i); !r.Usable(now) || slices.Contains(avoid, r) {
			return false
		}
	}
	return true
}

const (
	// mostPart and firstPart are the parts of an entry's share of the slack that it
	// holds at most and begins with. An entry that is restarted, even twice in a
	// window, then spends no more than its share.
	mostPart  = 0.7
	firstPart = 0.15
)

// OpenBudget begins the budget of further sends with this entry's part of a slack
// among that many entries. From fillAt on, what the process before it may have spent
// counts no longer.
func (f *Forwarder) OpenBudget(entries int, slack float64, fillAt time.Time) {
	f.entries.Store(int64(entries))
	f.spending.Lock()
	defer f.spending.Unlock()
	f.fillAt = fillAt
	each := slack / float64(entries)
	f.Budget.Open(max(1, mostPart*each), max(1, firstPart*each))
}

// Entries returns how many entries there may be.
func (f *Forwarder) Entries() int { return int(f.entries.Load()) }

// SetEntries tells how many entries there are now.
func (f *Forwarder) SetEntries(entries int, slack float64) {
	f.entries.Store(int64(entries))
	f.spending.Lock()
	defer f.spending.Unlock()
	f.Budget.SetMost(max(1, mostPart*slack/float64(entries)))
}

// sharers returns how many entries send to the engines of one data center: about
// as many in each.
func (f *Forwarder) sharers(service string) float64 {
	return max(1, float64(f.entries.Load())/float64(max(1, len(f.Roster.Centers(service)))))
}

// resend asks the retry budget about a request.
func (f *Forwarder) resend(q retry.Forwarded) retry.Next {
	f.spending.Lock()
	defer f.spending.Unlock()
	before := f.Budget.Left()
	next := f.Budget.Resend(q)
	f.spent += before - f.Budget.Left()
	return next
}

// takeSend takes one further send from the budget.
func (f *Forwarder) takeSend() bool {
	f.spending.Lock()
	defer f.spending.Unlock()
	taken := f.Budget.Take()
	if taken {
		f.spent++
	}
	return taken
}

func (f *Forwarder) noteFirst() {
	f.spending.Lock()
	defer f.spending.Unlock()
	f.Budget.First()
}

func (f *Forwarder) log(e event.Event, details ...slog.Attr) { e.Log(f.Logger, details...) }
