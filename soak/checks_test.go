// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"pinerun.example/pinerun/platform/platformtest"
)

// checkAnswers checks that callers got their own answers, unchanged, and that nothing
// that ended early looked whole.
func (w *world) checkAnswers(calls []*call) {
	for _, c := range calls {
		if c.status == 0 || c.left {
			continue
		}
		signature := c.header.Get("X-Pinerun-Response-Signature")
		signer := strings.TrimPrefix(signature, "signed-by-")
		switch {
		case c.status == http.StatusOK:
			w.checkSuccess(c, signature, signer)
		case signature != "":
			if c.status != http.StatusInternalServerError || c.broken == nil && c.body != "failed at "+signer {
				w.problem("%s %s: an endpoint's failure was changed: %d %q of %s", c.kind, c.id, c.status, c.body, signer)
			}
		case c.status >= 300 && c.status < 500 && !c.promised() && !w.mayRefuse(c):
			w.problem("%s %s: refused with %d though it is proper: %q", c.kind, c.id, c.status, c.body)
		}
	}
}

func (w *world) checkSuccess(c *call, signature, signer string) {
	if signature == "" {
		w.problem("%s %s: a success without a signature: %q", c.kind, c.id, c.body)
	}
	if got := c.header.Get("X-Pinerun-Request-Id"); got != c.id {
		w.problem("%s %s: the answer of another request, %q", c.kind, c.id, got)
	}
	want := "answer of " + signer
	if c.kind == stream {
		want = wholeOf(c.id)
	}
	if c.broken == nil && c.body != want || !strings.HasPrefix(want, c.body) {
		w.problem("%s %s: not the endpoint's answer: %d bytes, %.300q (%v)", c.kind, c.id, len(c.body), c.body, c.broken)
	}
}

// mayRefuse reports whether a table without a call's key may have been in force at its
// entry while it was served: one that the store held then, or as long before as an entry
// may go by an old one.
func (w *world) mayRefuse(c *call) bool {
	if c.key != spareKey || c.status != http.StatusUnauthorized {
		return false
	}
	from, to := c.sent.Add(-keyWithdrawn-scheduling), c.sent.Add(deadline)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var taken time.Time
	for _, s := range w.spare {
		if s.given && !taken.IsZero() && taken.Before(to) && s.at.After(from) {
			return true
		}
		switch {
		case s.given:
			taken = time.Time{}
		case taken.IsZero():
			taken = s.at
		}
	}
	return !taken.IsZero() && taken.Before(to)
}

// arrival is one request that came to an endpoint.
type arrival struct {
	endpoint *endpoint
	request  platformtest.Request
	run      bool // it was begun there
}

// arrivals returns all that came to endpoints, by request.
func (w *world) arrivals() map[string][]arrival {
	all := map[string][]arrival{}
	for _, e := range w.all() {
		begun := map[time.Time]bool{}
		for _, r := range e.Started() {
			begun[r.At] = true
		}
		for _, r := range e.Received() {
			all[r.ID] = append(all[r.ID], arrival{endpoint: e, request: r, run: begun[r.At]})
		}
	}
	return all
}

// checkRuns checks what endpoints saw against what callers sent and were told.
func (w *world) checkRuns(calls []*call) {
	arrivals := w.arrivals()
	for _, c := range calls {
		runs := 0
		for _, a := range arrivals[c.id] {
			w.checkUnchanged(c, &a)
			if a.run {
				runs++
				w.checkKey(c, &a)
			}
			if a.endpoint.engine {
				w.checkPath(c.id, a.endpoint, a.request.Path)
			}
		}
		if c.runsOnce() && runs > 1 {
			w.problem("%s ran %d times", c.id, runs)
		}
		if c.runsOnce() && runs > 0 && c.promised() {
			w.problem("%s was answered %d and has run", c.id, c.status)
		}
		delete(arrivals, c.id)
	}
	for id, came := range arrivals {
		r := &came[0].request
		w.problem("%q was asked by nobody: %s %s of %d bytes, path %q, team %q, at %s", id, r.Method, r.Target, len(r.Body), r.Path, r.Team, came[0].endpoint.ID)
	}
}

func (w *world) checkUnchanged(c *call, a *arrival) {
	r := &a.request
	if r.Method != http.MethodPost || r.Target != "/"+c.kind+"/"+c.content() || r.Body != bodyOf(c.content()) {
		w.problem("%s came changed: %s %s %q", c.id, r.Method, r.Target, r.Body)
	}
	if r.Team != "team" || r.Key != "" {
		w.problem("%s came as team %q with key %q", c.id, r.Team, r.Key)
	}
	if c.kind != stream && r.LastEvent != "" {
		w.problem("%s was resumed after %q", c.id, r.LastEvent)
	}
	if left, err := strconv.Atoi(r.DeadlineMS); err != nil || left > int(deadline.Milliseconds()) {
		w.problem("%s came with the deadline %q", c.id, r.DeadlineMS)
	}
	if a.endpoint.engine != (c.kind == stream) {
		w.problem("%s of kind %s came to %s", c.id, c.kind, a.endpoint.ID)
	}
}

// checkMoves checks that orders to change a path concern requests that callers sent.
func (w *world) checkMoves(calls []*call) {
	for _, e := range w.all() {
		for _, m := range e.PathChanges() {
			w.checkPath(m.ID, e, m.Path)
			if !slices.ContainsFunc(calls, func(c *call) bool { return c.id == m.ID }) {
				w.problem("%q was asked by nobody and ordered over the path %q at %s", m.ID, m.Path, e.ID)
			}
		}
	}
}

// checkPath checks that a path runs every layer once and in order, the first ones at the
// engine that was told of it.
func (w *world) checkPath(id string, first *endpoint, path string) {
	next := 0
	for i, part := range strings.Split(path, ",") {
		address, span, _ := strings.Cut(part, "=")
		from, to, _ := strings.Cut(span, "-")
		begin, err1 := strconv.Atoi(from)
		end, err2 := strconv.Atoi(to)
		if err1 != nil || err2 != nil || begin != next || end <= begin || i == 0 && address != first.link.address() {
			w.problem("%s was sent over the path %q", id, path)
			return
		}
		next = end
	}
	if next != platformtest.TableLayers {
		w.problem("%s was sent over the path %q", id, path)
	}
}

// checkKey checks that no request ran that was sent too long after its key was taken
// away.
func (w *world) checkKey(c *call, a *arrival) {
	if c.key != spareKey {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	given := true
	for _, s := range w.spare {
		if s.given && s.at.Before(a.request.At) || !s.given && s.at.Before(c.sent.Add(-keyWithdrawn)) {
			given = s.given
		}
	}
	if !given {
		w.problems = append(w.problems, c.id+" ran with a key that was taken away")
	}
}

// checkBudget checks the bound on further sends in every window.
func (w *world) checkBudget(calls []*call) {
	var sent []time.Time
	for _, c := range calls {
		sent = append(sent, c.sent)
	}
	further := w.furtherSends()
	for _, t := range further {
		requests := max(windowed(sent, t), windowed(sent, t.Add(-retryWindow)), windowed(sent, t.Add(-retryWindow/2)))
		if n := windowed(further, t); float64(n) > retryShare*float64(requests)+retrySlack {
			w.problem("%d further sends in a window of %d requests", n, requests)
			return
		}
	}
}

// furtherSends returns when requests came to endpoints after they had come first.
func (w *world) furtherSends() []time.Time {
	var further []time.Time
	for _, as := range w.arrivals() {
		first := as[0].request.At
		for _, a := range as {
			if a.request.At.Before(first) {
				first = a.request.At
			}
		}
		for _, a := range as {
			if a.request.At.After(first) {
				further = append(further, a.request.At)
			}
		}
	}
	return further
}

// windowed counts the times within the window that begins at from.
func windowed(times []time.Time, from time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(retryWindow)) {
			n++
		}
	}
	return n
}

// checkLogs checks that no entry told of a fault of its own.
func (w *world) checkLogs() {
	for name, log := range w.logs() {
		for _, bad := range []string{"panic:", "fatal error:", "DATA RACE"} {
			if bytes.Contains(log, []byte(bad)) {
				w.problem("%s wrote %q", name, bad)
			}
		}
	}
}
