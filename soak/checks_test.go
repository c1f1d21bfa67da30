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

// checkAnswers checks that callers received the unchanged answers to their own requests,
// and that no truncated answer looked complete.
func (tb *testbed) checkAnswers(calls []*call) {
	for _, c := range calls {
		if c.status == 0 || c.abandoned {
			continue
		}
		signature := c.header.Get("X-Pinerun-Response-Signature")
		signer := strings.TrimPrefix(signature, "signed-by-")
		switch {
		case c.status == http.StatusOK:
			tb.checkSuccess(c, signature, signer)
		case signature != "":
			if c.status != http.StatusInternalServerError || c.err == nil && c.body != "failed at "+signer {
				tb.reportProblem("%s %s: the failure response of an endpoint was changed: %d %q of %s", c.kind, c.id, c.status, c.body, signer)
			}
		case c.status >= 300 && c.status < 500 && !c.promisesNotRun() && !tb.mayRefuse(c):
			tb.reportProblem("%s %s: valid request refused with %d: %q", c.kind, c.id, c.status, c.body)
		}
	}
}

func (tb *testbed) checkSuccess(c *call, signature, signer string) {
	if signature == "" {
		tb.reportProblem("%s %s: success response without a signature: %q", c.kind, c.id, c.body)
	}
	if got := c.header.Get("X-Pinerun-Request-Id"); got != c.id {
		tb.reportProblem("%s %s: received the answer to another request, %q", c.kind, c.id, got)
	}
	want := "answer of " + signer
	if c.kind == stream {
		want = expectedStreamOf(c.id)
	}
	if c.err == nil && c.body != want || !strings.HasPrefix(want, c.body) {
		tb.reportProblem("%s %s: answer differs from that of the endpoint: %d bytes, %.300q (%v)", c.kind, c.id, len(c.body), c.body, c.err)
	}
}

// mayRefuse reports whether the entry may have refused a call because its key was revoked.
// The entry may use any table that the store held while the call was served, or before
// that for as long as an entry may use an outdated table.
func (tb *testbed) mayRefuse(c *call) bool {
	if c.key != spareKey || c.status != http.StatusUnauthorized {
		return false
	}
	from, to := c.sent.Add(-keyRevocationBound-schedulingSlack), c.sent.Add(deadline)
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	var revoked time.Time
	for _, s := range tb.spareKeyChanges {
		if s.granted && !revoked.IsZero() && revoked.Before(to) && s.at.After(from) {
			return true
		}
		switch {
		case s.granted:
			revoked = time.Time{}
		case revoked.IsZero():
			revoked = s.at
		}
	}
	return !revoked.IsZero() && revoked.Before(to)
}

// arrival is a request that an endpoint received.
type arrival struct {
	endpoint *endpoint
	request  platformtest.Request
	started  bool // the endpoint started to run it
}

// arrivals returns all requests that endpoints received, by request ID.
func (tb *testbed) arrivals() map[string][]arrival {
	all := map[string][]arrival{}
	for _, e := range tb.allEndpoints() {
		started := map[time.Time]bool{}
		for _, r := range e.Started() {
			started[r.At] = true
		}
		for _, r := range e.Received() {
			all[r.ID] = append(all[r.ID], arrival{endpoint: e, request: r, started: started[r.At]})
		}
	}
	return all
}

// checkRuns compares the requests that endpoints received with those that callers sent and
// the answers that callers received.
func (tb *testbed) checkRuns(calls []*call) {
	arrivals := tb.arrivals()
	for _, c := range calls {
		runs := 0
		for _, a := range arrivals[c.id] {
			tb.checkUnchanged(c, &a)
			if a.started {
				runs++
				tb.checkKey(c, &a)
			}
			if a.endpoint.engine {
				tb.checkPath(c.id, a.endpoint, a.request.Path)
			}
		}
		if c.runsAtMostOnce() && runs > 1 {
			tb.reportProblem("%s ran %d times", c.id, runs)
		}
		if c.runsAtMostOnce() && runs > 0 && c.promisesNotRun() {
			tb.reportProblem("%s ran although it was answered with %d", c.id, c.status)
		}
		delete(arrivals, c.id)
	}
	for id, received := range arrivals {
		r := &received[0].request
		tb.reportProblem("%q was sent by no caller: %s %s of %d bytes, path %q, team %q, at %s", id, r.Method, r.Target, len(r.Body), r.Path, r.Team, received[0].endpoint.ID)
	}
}

func (tb *testbed) checkUnchanged(c *call, a *arrival) {
	r := &a.request
	if r.Method != http.MethodPost || r.Target != "/"+c.kind+"/"+c.content() || r.Body != bodyOf(c.content()) {
		tb.reportProblem("%s arrived changed: %s %s %q", c.id, r.Method, r.Target, r.Body)
	}
	if r.Parts != c.sentParts() {
		tb.reportProblem("%s arrived with the parts %q", c.id, r.Parts)
	}
	if r.Team != "team" || r.Key != "" {
		tb.reportProblem("%s arrived as team %q with key %q", c.id, r.Team, r.Key)
	}
	if c.kind != stream && r.LastEvent != "" {
		tb.reportProblem("%s was resumed after %q", c.id, r.LastEvent)
	}
	if left, err := strconv.Atoi(r.DeadlineMS); err != nil || left > int(deadline.Milliseconds()) {
		tb.reportProblem("%s arrived with the deadline %q", c.id, r.DeadlineMS)
	}
	if a.endpoint.engine != (c.kind == stream) {
		tb.reportProblem("%s of kind %s arrived at %s", c.id, c.kind, a.endpoint.ID)
	}
}

// checkPathChanges checks that every path change concerns a request that a caller sent.
func (tb *testbed) checkPathChanges(calls []*call) {
	for _, e := range tb.allEndpoints() {
		for _, m := range e.PathChanges() {
			tb.checkPath(m.ID, e, m.Path)
			if !slices.ContainsFunc(calls, func(c *call) bool { return c.id == m.ID }) {
				tb.reportProblem("%q was sent by no caller, but rerouted over the path %q at %s", m.ID, m.Path, e.ID)
			}
		}
	}
}

// checkPath checks that a path runs every layer once and in order, and that its first stage
// is the engine that received it.
func (tb *testbed) checkPath(id string, first *endpoint, path string) {
	next := 0
	for i, part := range strings.Split(path, ",") {
		address, span, _ := strings.Cut(part, "=")
		from, to, _ := strings.Cut(span, "-")
		begin, err1 := strconv.Atoi(from)
		end, err2 := strconv.Atoi(to)
		if err1 != nil || err2 != nil || begin != next || end <= begin || i == 0 && address != first.link.address() {
			tb.reportProblem("%s was sent over the path %q", id, path)
			return
		}
		next = end
	}
	if next != platformtest.TableLayers {
		tb.reportProblem("%s was sent over the path %q", id, path)
	}
}

// checkKey checks that a request did not run if it was sent later than keyRevocationBound
// after its key was revoked.
func (tb *testbed) checkKey(c *call, a *arrival) {
	if c.key != spareKey {
		return
	}
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	granted := true
	for _, s := range tb.spareKeyChanges {
		if s.granted && s.at.Before(a.request.At) || !s.granted && s.at.Before(c.sent.Add(-keyRevocationBound)) {
			granted = s.granted
		}
	}
	if !granted {
		tb.problems = append(tb.problems, c.id+" ran with a revoked key")
	}
}

// checkRetryBudget checks the bound on retries in every window.
func (tb *testbed) checkRetryBudget(calls []*call) {
	var sent []time.Time
	for _, c := range calls {
		sent = append(sent, c.sent)
	}
	retryTimes := tb.retries()
	for _, t := range retryTimes {
		requests := max(countInWindow(sent, t), countInWindow(sent, t.Add(-retryWindow)), countInWindow(sent, t.Add(-retryWindow/2)))
		if n := countInWindow(retryTimes, t); float64(n) > retryShare*float64(requests)+retrySlack {
			tb.reportProblem("%d retries in a window of %d requests", n, requests)
			return
		}
	}
}

// retries returns the arrival times of requests after their first arrival at an endpoint.
func (tb *testbed) retries() []time.Time {
	var retryTimes []time.Time
	for _, received := range tb.arrivals() {
		first := received[0].request.At
		for _, a := range received {
			if a.request.At.Before(first) {
				first = a.request.At
			}
		}
		for _, a := range received {
			if a.request.At.After(first) {
				retryTimes = append(retryTimes, a.request.At)
			}
		}
	}
	return retryTimes
}

// countInWindow counts the times within the window of length retryWindow that starts at from.
func countInWindow(times []time.Time, from time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(retryWindow)) {
			n++
		}
	}
	return n
}

// checkLogs checks that no entry logged a panic, a fatal error or a data race.
func (tb *testbed) checkLogs() {
	for name, log := range tb.logs() {
		for _, bad := range []string{"panic:", "fatal error:", "DATA RACE"} {
			if bytes.Contains(log, []byte(bad)) {
				tb.reportProblem("%s logged %q", name, bad)
			}
		}
	}
}
