// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/platform"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/state/routing"
	"pinerun.example/pinerun/transport/backlog"
	"pinerun.example/pinerun/transport/forward"
)

// readBuffer is the size of the buffer through which streams are read. Lines of its multiples, and of
// one byte more or less, end at its boundaries.
const readBuffer = 2 << 10

// maxRuns is how many endpoints the route allows one request.
const maxRuns = 4

// block is a part of a stream up to a blank line.
type block struct {
	id      string // ID that its endpoint knows it by, "" for none
	isPiece bool   // it has data; comments and fields alone are none
	text    string
}

// streamedAnswer is a stream whose runs break off. Each of its endpoints continues after the event
// with the requested ID.
type streamedAnswer struct {
	blocks []block
	cuts   []int // bytes after which the runs in their order break off; a run without one is whole
	writes []int // sizes of the parts in which the stream is written

	mutex     sync.Mutex
	requested []string // IDs after which the runs continued
}

// dial connects to an endpoint that runs the answer.
func (s *streamedAnswer) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go s.serve(server)
	return client, nil
}

// serve answers one request and closes the connection.
func (s *streamedAnswer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	after := r.Header.Get("Last-Event-Id")
	s.mutex.Lock()
	run := len(s.requested)
	s.requested = append(s.requested, after)
	s.mutex.Unlock()
	rest := s.restAfter(after)
	isWhole := run >= len(s.cuts) || s.cuts[run] >= len(rest)
	if !isWhole {
		rest = rest[:s.cuts[run]]
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Pinerun-Request-Id: r-1\r\n"+
		"X-Pinerun-Response-Signature: signed\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i := 0; len(rest) > 0; i++ {
		n := min(len(rest), s.writes[i%len(s.writes)])
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", n, rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
	}
	if isWhole {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

// restAfter returns the stream after the block with an ID, and all of it for an unknown one.
func (s *streamedAnswer) restAfter(id string) string {
	first := 0
	for i, b := range s.blocks {
		if id != "" && b.id == id {
			first = i + 1
		}
	}
	return textOf(s.blocks[first:])
}

func textOf(blocks []block) string {
	var b strings.Builder
	for i := range blocks {
		b.WriteString(blocks[i].text)
	}
	return b.String()
}

// piecesOf returns the blocks that have data.
func piecesOf(blocks []block) []block {
	var pieces []block
	for _, b := range blocks {
		if b.isPiece {
			pieces = append(pieces, b)
		}
	}
	return pieces
}

// call sends the request through an entry, and returns what the caller got and whether that was
// complete.
func (s *streamedAnswer) call(t require.TestingT, lastEvent string) (body string, complete bool) {
	f := s.newForwarder(t)
	defer f.Close()
	r := httptest.NewRequest(http.MethodPost, "/plain/x", nil)
	r.Host = "h.example"
	r.Header.Set("X-Pinerun-Request-Id", "r-1")
	if lastEvent != "" {
		r.Header.Set("Last-Event-Id", lastEvent)
	}
	w := httptest.NewRecorder()
	defer func() {
		body = w.Body.String()
		switch v := recover(); {
		case v == nil:
			complete = w.Code == http.StatusOK
		case v != any(http.ErrAbortHandler):
			panic(v)
		}
		if w.Code != http.StatusOK {
			body = ""
		}
	}()
	f.ServeHTTP(w, r)
	return "", false
}

// newForwarder returns the forwarder of an entry with four endpoints that answer with the stream.
func (s *streamedAnswer) newForwarder(t require.TestingT) *forward.Forwarder {
	budget := &backlog.Budget{Counters: &metric.Set{}}
	budget.SetLimit(1 << 30)
	return newPlainForwarder(t, s.dial, budget, protocol.Route{Repeat: protocol.Stream, Resumable: true, TimeoutMS: 60_000, MaxAttempts: maxRuns})
}

// newPlainForwarder returns the forwarder of an entry with four endpoints that dial connects to, and with
// a route to them.
func newPlainForwarder(t require.TestingT, dial func(context.Context, string) (net.Conn, error), budget *backlog.Budget, route protocol.Route) *forward.Forwarder {
	now := time.Now()
	local := fleet.Entry{Name: "one", DataCenter: "a"}
	f := &forward.Forwarder{
		Entry: local, Routing: &routing.Store{}, Registry: &registry.Registry{Entry: local}, Headers: platform.Headers{},
		Counters: &metric.Set{}, MemoryBudget: budget, Dial: dial,
	}
	f.InitRetryBudget(forward.RetryBudget{Share: 0.2, Slack: 1000, WindowEnd: func(at time.Time) time.Time { return at.Add(10 * time.Second) }}, 1, now)
	f.Registry.SetServices(services)
	var list []protocol.Endpoint
	for i := range maxRuns {
		id := "e-" + strconv.Itoa(i)
		list = append(list, protocol.Endpoint{ID: id, Service: "plain", Address: id + ":1", DataCenter: "a"})
	}
	f.Registry.Replace(list, now)
	route.Name, route.Host, route.Prefix, route.TargetLatencyMS = "plain", "h.example", "/plain/", cmp.Or(route.TargetLatencyMS, 30_000)
	route.Targets = []protocol.Target{{Service: "plain", Weight: 1}}
	table, err := routing.Build(protocol.Routing{Version: 1, Services: services, Routes: []protocol.Route{route}})
	require.NoError(t, err)
	f.Routing.Offer(table)
	f.Routing.Confirm(now)
	f.Start()
	f.EndStartupWait()
	return f
}

// check checks that the caller, who had the blocks before the first one, got the following events whole and
// in order, none twice, and all of them if the answer is complete. Each run has to continue after an event of the stream.
func (s *streamedAnswer) check(t require.TestingT, first int, body string, complete bool) {
	ids := []string{""}
	for _, b := range s.blocks {
		ids = append(ids, b.id)
	}
	require.Subset(t, ids, s.requested, "a run continues after an ID that no event has")
	want := piecesOf(s.blocks[first:])
	got := 0
	for rest := body; rest != ""; {
		b := nextBlock(rest)
		rest = rest[len(b):]
		if !hasData(b) {
			continue
		}
		require.Less(t, got, len(want), "more events than the stream has: %.100q", b)
		require.Equal(t, shorten(want[got].text), shorten(b), "event %d", got)
		got++
	}
	if complete {
		require.Len(t, want, got, "complete without its last events")
	}
}

// nextBlock returns the text up to the first blank line, or all of it.
func nextBlock(text string) string {
	for begin := 0; ; {
		n := strings.IndexByte(text[begin:], '\n')
		if n < 0 {
			return text
		}
		if strings.Trim(text[begin:begin+n], "\r") == "" {
			return text[:begin+n+1]
		}
		begin += n + 1
	}
}

// hasData reports whether a block has a line with data.
func hasData(text string) bool {
	return strings.HasPrefix(text, "data") || strings.Contains(text, "\ndata")
}

// shorten returns a text in which repeated characters of padding are counted.
func shorten(text string) string {
	return strings.ReplaceAll(text, strings.Repeat("x", 64), "<64>")
}

// drawBlocks draws a stream. Its lines are short, or end near the boundaries of the read buffer.
func drawBlocks(t *rapid.T, withoutIDs bool) []block {
	var blocks []block
	for n := range rapid.IntRange(0, 5).Draw(t, "blocks") {
		newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "newline")
		kind := rapid.SampledFrom([]string{"event", "event", "event", "event", "no id", "comment", "id alone"}).Draw(t, "kind")
		if kind == "no id" && !withoutIDs {
			kind = "event"
		}
		b := block{isPiece: kind == "event" || kind == "no id"}
		var lines []string
		if kind == "event" || kind == "id alone" {
			b.id = strconv.Itoa(n + 1)
			if rapid.IntRange(0, 5).Draw(t, "long id") == 0 {
				b.id = strings.Repeat("0", rapid.SampledFrom([]int{300, readBuffer - len("id: ") - 1, readBuffer}).Draw(t, "zeros")) + b.id
			}
			lines = append(lines, "id: "+b.id)
		}
		if kind == "comment" {
			lines = append(lines, drawLine(t, ": "))
		}
		if b.isPiece {
			for range rapid.IntRange(1, 2).Draw(t, "data lines") {
				lines = append(lines, drawLine(t, fmt.Sprint("data: ", n+1, " ")))
			}
			if rapid.Bool().Draw(t, "has field") {
				lines = append(lines, "event: token")
			}
		}
		b.text = strings.Join(lines, newline) + newline + newline
		blocks = append(blocks, b)
	}
	return blocks
}

// drawLine draws a line with a prefix. Text that looks like a field or a blank line stands within it,
// also right at the boundary of the read buffer.
func drawLine(t *rapid.T, prefix string) string {
	length := rapid.IntRange(0, 40).Draw(t, "length")
	if rapid.Bool().Draw(t, "long") {
		length = rapid.IntRange(1, 2).Draw(t, "buffers")*readBuffer + rapid.IntRange(-2, 2).Draw(t, "more")
	}
	line := prefix + strings.Repeat("x", max(0, length-len(prefix)))
	if at := rapid.SampledFrom([]int{0, readBuffer, 2 * readBuffer}).Draw(t, "field at"); at > 0 && at+len("id: 99") <= len(line) {
		line = line[:at] + "id: 99" + line[at+len("id: 99"):]
	}
	return line
}

// drawCut draws where a run breaks off: anywhere, or near the end of a line.
func drawCut(t *rapid.T, text string) int {
	if len(text) == 0 {
		return 0
	}
	if rapid.Bool().Draw(t, "anywhere") {
		return rapid.IntRange(0, len(text)).Draw(t, "cut")
	}
	var ends []int
	for i := range len(text) {
		if text[i] == '\n' {
			ends = append(ends, i)
		}
	}
	return min(len(text), max(0, rapid.SampledFrom(ends).Draw(t, "line end")+rapid.IntRange(-1, 1).Draw(t, "from it")))
}

// drawFirst draws how many blocks the caller has from an earlier answer. The last of them has an ID.
func drawFirst(t *rapid.T, blocks []block) int {
	choices := []int{0}
	for i, b := range blocks {
		if b.id != "" {
			choices = append(choices, i+1)
		}
	}
	return rapid.SampledFrom(choices).Draw(t, "first")
}

// TestStreamBrokenOffAfterALineOfAWholeBuffer guards against a part of a long line taken for the end of an event.
func TestStreamBrokenOffAfterALineOfAWholeBuffer(t *testing.T) {
	for _, length := range []int{70, readBuffer - 1, readBuffer, readBuffer + 1, 2*readBuffer - 1, 2 * readBuffer, 2*readBuffer + 1, 4 * readBuffer} {
		s := &streamedAnswer{writes: []int{1 << 20}}
		for n := range 3 {
			id, data := strconv.Itoa(n+1), fmt.Sprint("data: ", n+1, " ")
			s.blocks = append(s.blocks, block{id: id, isPiece: true, text: "id: " + id + "\n" + data + strings.Repeat("x", length-len(data)) + "\n\n"})
		}
		s.cuts = []int{len(textOf(s.blocks[:2])) - 1} // before the blank line of the second event
		body, complete := s.call(t, "")
		s.check(t, 0, body, complete)
		require.True(t, complete)
		require.Equal(t, []string{"", "1"}, s.requested, "lines of %d bytes", length)
	}
}

// TestBrokenStreamIsContinuedAfterItsLastWholeEvent guards against answers in which two runs are joined.
func TestBrokenStreamIsContinuedAfterItsLastWholeEvent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &streamedAnswer{blocks: drawBlocks(t, false), writes: rapid.SliceOfN(rapid.SampledFrom([]int{1, 7, 100, readBuffer, 1 << 20}), 1, 4).Draw(t, "writes")}
		for range rapid.IntRange(0, maxRuns).Draw(t, "breaks") {
			s.cuts = append(s.cuts, drawCut(t, textOf(s.blocks)))
		}
		first := drawFirst(t, s.blocks)
		lastEvent := ""
		if first > 0 {
			lastEvent = s.blocks[first-1].id
		}
		body, complete := s.call(t, lastEvent)
		s.check(t, first, body, complete)
		require.True(t, complete || len(s.requested) == maxRuns || len(piecesOf(s.blocks[first:])) == 0, "given up although the stream could go on")
	})
}

// TestStreamIsNotContinuedAfterAnEventWithoutID guards against answers that repeat an event which has no ID to continue after.
func TestStreamIsNotContinuedAfterAnEventWithoutID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &streamedAnswer{blocks: drawBlocks(t, true), writes: []int{1 << 20}}
		for range rapid.IntRange(0, maxRuns).Draw(t, "breaks") {
			s.cuts = append(s.cuts, drawCut(t, textOf(s.blocks)))
		}
		body, complete := s.call(t, "")
		s.check(t, 0, body, complete)
	})
}

// TestUnusableIDsAreNoPlaceToContinue guards against a run after an ID that its header can't carry unchanged.
func TestUnusableIDsAreNoPlaceToContinue(t *testing.T) {
	for name, id := range map[string]string{"none": "", "empty": "id:\n", "without value": "id\n", "control character": "id: 1\x002\n", "carriage return": "id: 1\r2\n"} {
		s := &streamedAnswer{writes: []int{1 << 20}, blocks: []block{
			{id: "1", isPiece: true, text: "id: 1\ndata: a\n\n"}, {isPiece: true, text: id + "data: b\n\n"}, {id: "3", isPiece: true, text: "id: 3\ndata: c\n\n"},
		}}
		s.cuts = []int{len(textOf(s.blocks[:2])) + 1}
		body, complete := s.call(t, "")
		require.Equal(t, textOf(s.blocks[:2]), body, name)
		require.False(t, complete, name)
		require.Equal(t, []string{""}, s.requested, name)
	}
}

// TestCommentsDoNotEndWhatMayBeContinued guards against streams given up because a comment has no ID.
func TestCommentsDoNotEndWhatMayBeContinued(t *testing.T) {
	s := &streamedAnswer{writes: []int{1 << 20}, blocks: []block{
		{id: "1", isPiece: true, text: "id: 1\ndata: a\n\n"}, {text: ": still there\n\n"}, {text: "event: ping\n\n"}, {id: "2", isPiece: true, text: "id: 2\ndata: b\n\n"},
	}}
	s.cuts = []int{len(textOf(s.blocks[:3])) + 1}
	_, complete := s.call(t, "")
	require.True(t, complete)
	require.Equal(t, []string{"", "1"}, s.requested)
}
