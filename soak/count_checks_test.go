// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/platform/platformtest"
)

const (
	// shownTimelines is how many timelines are printed for each kind of problem.
	shownTimelines = 3
	// signalMargin is how much later than a signal its effect on a connection is seen.
	signalMargin = 300 * time.Millisecond
	// stopMargin is how long before the end of its time a stopping entry breaks off what is open.
	stopMargin = 350 * time.Millisecond
	// cutMargin is how long after a cut a request may meet a connection that it reset.
	cutMargin = 500 * time.Millisecond
	// logDelay is longer than an entry takes to write a line of its log.
	logDelay = 500 * time.Millisecond
	// timeMargin is how long before its time is over a request may end for that.
	timeMargin = 50 * time.Millisecond
)

// endEvents are the events of an entry with which a request ends. Each request has exactly one.
var endEvents = []event.Event{event.RequestRefused, event.RequestAnswered, event.StreamCut, event.CallerLeft, event.RequestFailed}

// countCheck joins what callers saw with the entries' logs, with what endpoints received and with the faults.
type countCheck struct {
	counter  *counter
	testbed  *testbed
	logs     map[*entry]*entryLog
	arrivals map[string][]arrival
	tally    map[string]int // requests by outcome and explanation
	found    map[string]int // problems by kind
}

// awaitCountCheck returns a check once the entries' logs, which are written late, are whole, or after some time.
func awaitCountCheck(k *counter) *countCheck {
	var c *countCheck
	platformtest.Await(schedulingSlack, 100*time.Millisecond, func() bool {
		c = newCountCheck(k)
		return c.logsAreWhole()
	})
	return c
}

// logsAreWhole reports whether the logs tell the end of every request that an endpoint received or that was answered.
func (c *countCheck) logsAreWhole() bool {
	for _, conn := range c.counter.allConns() {
		for _, q := range conn.requests {
			if (len(c.arrivals[q.id]) > 0 || q.answered()) && c.ends(q) == 0 && !c.linesLost(q) {
				return false
			}
		}
	}
	return true
}

// ends returns how many events tell the end of a request.
func (c *countCheck) ends(q *countedRequest) int {
	n := 0
	for _, l := range c.logs[q.conn.entry].byRequest[q.id] {
		if l.is(endEvents...) {
			n++
		}
	}
	return n
}

func newCountCheck(k *counter) *countCheck {
	c := &countCheck{counter: k, testbed: k.testbed, logs: map[*entry]*entryLog{}, arrivals: k.testbed.arrivals(), tally: map[string]int{}, found: map[string]int{}}
	contents := k.testbed.logs()
	for _, e := range k.testbed.entries {
		c.logs[e] = readEntryLog(contents[e.name])
	}
	return c
}

// run checks every request and every connection.
func (c *countCheck) run() {
	for _, conn := range c.counter.allConns() {
		if conn.unasked != "" {
			c.testbed.reportProblem("%s sent bytes to %s that no request waited for: %q", conn.entry.name, conn.local(), conn.unasked)
		}
		for i, q := range conn.requests {
			c.checkRequest(q, conn.requests[:i])
		}
	}
}

func (c *countCheck) checkRequest(q *countedRequest, earlier []*countedRequest) {
	c.checkEvents(q)
	c.checkAnswer(q)
	c.checkRefusal(q)
	if q.gaveUp {
		c.report(q, "its caller waited in vain")
		return
	}
	if q.answered() {
		c.tally[q.outcome()]++
		return
	}
	if q.sentWhole.IsZero() {
		c.tally["not sent whole"]++
		return
	}
	why := c.explain(q, earlier)
	if why == "" {
		why = "UNEXPLAINED"
		c.report(q, "unexplained "+q.outcome())
	}
	c.tally[q.outcome()+", "+why]++
}

// checkEvents checks that a request that was sent to an endpoint, or answered, has exactly one event that tells its end.
func (c *countCheck) checkEvents(q *countedRequest) {
	log := c.logs[q.conn.entry]
	sent, ends := c.hasEvent(q, event.RequestSent), c.ends(q)
	if log.dropped || ends == 1 || ends == 0 && (!sent && !q.answered() || c.linesLost(q) || c.graceOver(q)) {
		return
	}
	if ends == 0 && !sent && q.header.Get("X-Pinerun-Request-Id") == "" && q.status >= http.StatusBadRequest && len(log.byCaller[q.conn.local()]) > 0 {
		return // refused by the server before its handler
	}
	c.report(q, fmt.Sprintf("%d events tell its end", ends))
}

// checkAnswer checks that a whole answer is that of an endpoint to this request.
func (c *countCheck) checkAnswer(q *countedRequest) {
	if q.status == 0 {
		return
	}
	signature := q.header.Get("X-Pinerun-Response-Signature")
	switch {
	case q.status >= http.StatusMultipleChoices && signature == "":
		return
	case q.status >= http.StatusMultipleChoices:
		c.report(q, "a failure that no endpoint made has a signature")
	case signature == "":
		c.report(q, "a success without a signature")
	case q.header.Get("X-Pinerun-Request-Id") != q.id:
		c.report(q, "the answer to another request")
	case !q.hasBodyOf(strings.TrimPrefix(signature, "signed-by-")):
		c.report(q, "another body than the endpoint's")
	}
}

// checkRefusal checks that a refusal has a reason, and that it is true.
func (c *countCheck) checkRefusal(q *countedRequest) {
	runs := 0
	for _, a := range c.arrivals[q.id] {
		if a.started {
			runs++
		}
	}
	mayRepeat := q.kind == idempotent || q.kind == stream
	isInEveryVersion := q.key == permanentKey && q.kind != otherRoute && q.kind != addedRoute
	switch {
	case !mayRepeat && runs > 1:
		c.report(q, "ran more than once")
	case !mayRepeat && runs > 0 && promisesNotRun(q.status):
		c.report(q, "a refusal that promises that it has not run")
	case isInEveryVersion && (q.status == http.StatusUnauthorized || q.status == http.StatusNotFound):
		c.report(q, "a refusal that no version allows")
	case q.status == http.StatusBadGateway && !c.wasCutOff(q) && !c.lostHelper(q):
		c.report(q, "given up although no endpoint broke off")
	}
}

// hasBodyOf reports whether the body is the whole one of an endpoint, or a part of it if the answer broke off.
func (q *countedRequest) hasBodyOf(signer string) bool {
	want := "answer of " + signer
	if q.kind == stream {
		want = variedStreamOf(q.id)
	}
	return q.body == want || q.bodyErr != nil && strings.HasPrefix(want, q.body)
}

// explain returns which reason that the rules allow a request without a whole answer has, or "".
func (c *countCheck) explain(q *countedRequest, earlier []*countedRequest) string {
	switch {
	case c.wasKilled(q):
		return "killed"
	case q.form.leaves:
		return "left"
	case c.writtenLate(q):
		return "time over when it was written"
	case q.status == 0 && !q.form.shutsDown && c.hasEvent(q, event.CallerLeft):
		return "" // the caller did not leave
	case q.begun.After(q.conn.endedAt):
		return "began after the end"
	case c.graceOver(q):
		return "grace over"
	case q.isPart() && c.timeOver(q):
		return "time over"
	case c.brokeOff(q):
		return "broken off at the endpoint"
	case c.shutDown(q):
		return "shut down its side"
	case !c.wasRead(q) && slices.ContainsFunc(earlier, (*countedRequest).endsConnection):
		return "after the last answer"
	case !c.wasRead(q) && slices.ContainsFunc(earlier, (*countedRequest).isPart):
		return "after an answer that broke off"
	case !c.wasRead(q) && q.conn.wasReset:
		return c.crossed(q)
	}
	return ""
}

// wasRead reports whether the entry began to serve a request, as far as its log and the endpoints tell.
func (c *countCheck) wasRead(q *countedRequest) bool {
	return len(c.logs[q.conn.entry].byRequest[q.id]) > 0 || len(c.arrivals[q.id]) > 0
}

// crossed returns which close of the entry a request met that was not read, or "".
func (c *countCheck) crossed(q *countedRequest) string {
	for _, l := range c.logs[q.conn.entry].byCaller[q.conn.local()] {
		if l.is(event.ConnectionClosed) {
			return "crossed a close"
		}
	}
	if c.signalledWithin(q, syscall.SIGTERM, stopWithin+schedulingSlack, 0) {
		return "crossed a stop"
	}
	return ""
}

// endsConnection reports whether the answer to a request said that no other is read after it.
func (q *countedRequest) endsConnection() bool {
	return q.answered() && q.isLast
}

func (c *countCheck) wasKilled(q *countedRequest) bool {
	return c.signalledWithin(q, os.Kill, signalMargin, 0)
}

// linesLost reports whether the process was killed before it had written what it had to say of a request, or stood still before
// that and was killed then.
func (c *countCheck) linesLost(q *countedRequest) bool {
	if c.wasKilled(q) {
		return true
	}
	interrupted := false
	for _, s := range q.conn.entry.sentSignals() {
		after := s.at.Sub(q.endedAt())
		if after < 0 || q.conn.entry.startedWithin(q.endedAt(), s.at) {
			continue
		}
		interrupted = interrupted || after < logDelay
		if s.signal == os.Kill {
			return interrupted
		}
	}
	return false
}

func (c *countCheck) graceOver(q *countedRequest) bool {
	return c.signalledWithin(q, syscall.SIGTERM, stopWithin+schedulingSlack, stopWithin-stopMargin)
}

// signalledWithin reports whether the end of a request came between two times after a signal, at the process that got it.
func (c *countCheck) signalledWithin(q *countedRequest, s os.Signal, most, least time.Duration) bool {
	for _, sent := range q.conn.entry.sentSignals() {
		after := q.endedAt().Sub(sent.at)
		if sent.signal == s && after >= least-signalMargin && after <= most && !q.conn.entry.startedWithin(sent.at, q.endedAt()) {
			return true
		}
	}
	return false
}

// endedAt returns when the caller had its answer or read the end of the connection.
func (q *countedRequest) endedAt() time.Time {
	if q.answered() {
		return q.answeredAt
	}
	return q.conn.endedAt
}

// timeOver reports whether the deadline of a request or the timeout of its route had passed.
func (c *countCheck) timeOver(q *countedRequest) bool {
	took := q.endedAt().Sub(q.begun) + timeMargin
	if took >= countedDeadline {
		return true
	}
	for _, l := range c.logs[q.conn.entry].byRequest[q.id] {
		if timeout := c.counter.versions.timeout(l.Routing); timeout > 0 && took >= timeout {
			return true
		}
	}
	return false
}

// writtenLate reports whether the time of a request was over, also that for writing, when its answer was to be written.
func (c *countCheck) writtenLate(q *countedRequest) bool {
	isLate := func(l *entryLine) bool {
		return l.is(event.CallerLeft) && strings.Contains(l.Cause, os.ErrDeadlineExceeded.Error())
	}
	return c.timeOver(q) && slices.ContainsFunc(c.logs[q.conn.entry].byRequest[q.id], isLate)
}

// brokeOff reports whether the connection to the endpoint was cut under a request.
func (c *countCheck) brokeOff(q *countedRequest) bool {
	return c.hasEvent(q, event.StreamCut) && c.wasCutOff(q)
}

// wasCutOff reports whether the entry was cut off from endpoints under a request, or just before: that a kept connection was
// reset may show only when it is used.
func (c *countCheck) wasCutOff(q *countedRequest) bool {
	return c.testbed.wasCutOff(q.conn.entry, q.begun.Add(-cutMargin), q.endedAt())
}

// lostHelper reports whether another entry, through which a request may have reached its endpoint, was cut off or killed.
func (c *countCheck) lostHelper(q *countedRequest) bool {
	from, to := q.begun.Add(-cutMargin), q.endedAt()
	return slices.ContainsFunc(c.testbed.entries, func(e *entry) bool {
		return e != q.conn.entry && (c.testbed.wasCutOff(e, from, to) || e.killedWithin(from, to))
	})
}

// shutDown reports whether the entry took a caller for gone that had shut down its sending side.
func (c *countCheck) shutDown(q *countedRequest) bool {
	return q.form.shutsDown && c.hasEvent(q, event.CallerLeft)
}

// hasEvent reports whether the entry logged an event of a request.
func (c *countCheck) hasEvent(q *countedRequest, e event.Event) bool {
	return slices.ContainsFunc(c.logs[q.conn.entry].byRequest[q.id], func(l *entryLine) bool { return l.is(e) })
}

// report reports a problem with the timeline of a request.
func (c *countCheck) report(q *countedRequest, what string) {
	c.found[what]++
	if c.found[what] > shownTimelines {
		return
	}
	conn := q.conn
	var lines []string
	add := func(at time.Time, format string, args ...any) {
		if !at.IsZero() {
			lines = append(lines, at.UTC().Format("15:04:05.000000")+" "+fmt.Sprintf(format, args...))
		}
	}
	add(q.begun, "caller: begins %s", q.form)
	add(q.sentWhole, "caller: last byte sent")
	add(q.answeredAt, "caller: has its answer")
	add(conn.closedAt, "caller: closes its connection")
	add(conn.endedAt, "caller: end of connection %s: %v, reset %t", conn.local(), conn.endErr, conn.wasReset)
	for _, o := range conn.requests {
		if o != q {
			add(cmp.Or(o.answeredAt, o.sentWhole), "caller: %s, %s, %s", o.id, o.form, o.outcome())
		}
	}
	for _, l := range slices.Concat(c.logs[conn.entry].byRequest[q.id], c.logs[conn.entry].byCaller[conn.local()]) {
		add(l.At, "%s: %s", conn.entry.name, l.text)
		if timeout := c.counter.versions.timeout(l.Routing); timeout > 0 {
			add(q.begun.Add(timeout), "timeout of the route, by version %d", l.Routing)
		}
	}
	for _, a := range c.arrivals[q.id] {
		add(a.request.At, "%s: request arrives, started %t", a.endpoint.ID, a.started)
	}
	for _, s := range conn.entry.sentSignals() {
		if after := s.at.Sub(q.begun); after > -stopWithin-schedulingSlack && after < answerBound {
			add(s.at, "%s to %s", s.signal, conn.entry.name)
		}
	}
	slices.Sort(lines)
	c.testbed.reportProblem("%s to %s of %s at %s: %s: got %s (%d, %v, %.60q)\n    %s", q.id, q.kind, q.key, conn.entry.name, what, q.outcome(), q.status, q.bodyErr, q.body, strings.Join(lines, "\n    "))
}

// summary counts the requests by what became of them.
func (c *countCheck) summary() string {
	var words []string
	for _, what := range slices.Sorted(maps.Keys(c.tally)) {
		words = append(words, fmt.Sprintf("%d %s", c.tally[what], what))
	}
	for _, what := range slices.Sorted(maps.Keys(c.found)) {
		words = append(words, fmt.Sprintf("%d PROBLEMS: %s", c.found[what], what))
	}
	return strings.Join(words, "; ")
}
