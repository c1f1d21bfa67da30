// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/backlog"
)

// letters is what answers, and bytes that are no answer, are made of.
var letters = []string{
	strings.Replace(wholeAnswer, "r-1", "r-2", 1), strings.Replace(wholeStreamText, "r-1", "r-2", 1), strings.Replace(wholeAnswer, "Signature", "", 1),
	wholeAnswer, wholeHead, streamHead, wholeStreamText, streamHead + "\r\n", wholeHead + "\r\n",
	"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n",
	"HTTP/1.1 204 No Content\r\n", "HTTP/1.1 429 Too Many Requests\r\n", "HTTP/1.1 503 Service Unavailable\r\n", "HTTP/1.1 500 Internal Server Error\r\n", "HTTP/9 x\r\n",
	"X-Pinerun-Request-Id: r-1\r\n", "X-Pinerun-Request-Id: r-2\r\n", "X-Pinerun-Response-Signature: signed\r\n", "X-Pinerun-Not-Executed: 1\r\n",
	"Content-Length: 5\r\n", "Content-Length: 50\r\n", "Content-Length: 0\r\n", "Content-Length: -1\r\n", "Content-Length: 99999999999\r\n",
	"Transfer-Encoding: chunked\r\n", "Content-Type: text/event-stream\r\n", "Content-Encoding: gzip\r\n", "Connection: close\r\n", "Keep-Alive: timeout=60\r\n",
	"\r\n", "\n", "5\r\nwhole\r\n", "whole", "0\r\n\r\n", "0\r\n", "ffffffffffffffff\r\n", "5;x=", "13\r\n" + wholeEvent + "\r\n",
	"id: 1\ndata: a\n\n", "data: b\n\n", ": c\n\n", "data: d", "\x00\xff", strings.Repeat("x", 5000),
}

// ending is how the bytes of an endpoint end.
type ending uint8

const (
	closes ending = iota
	resets
	fallsSilent
	goesOn // and falls silent after much more than any bound but that of bodies
	numEndings
)

const (
	mostSentGoingOn = 2 << 20
)

// spelledEndpoint is some endpoints of which the first one that is asked sends drawn bytes. The others answer.
type spelledEndpoint struct {
	text   string
	end    ending
	repeat string
	early  bool // it does not wait for the request
	piece  int  // bytes of one write
	pause  time.Duration
	sound  string

	mutex    sync.Mutex
	asked    int
	received bool // the first one has a whole request
	open     sync.WaitGroup
	conns    []net.Conn
}

// resettable is a connection that ends with a reset instead of a close.
type resettable struct {
	net.Conn
	reset bool
}

func (r *resettable) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if r.reset && errors.Is(err, io.EOF) {
		err = syscall.ECONNRESET
	}
	return n, err
}

func (e *spelledEndpoint) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.asked++
	e.conns = append(e.conns, server)
	e.open.Add(1)
	if e.asked > 1 {
		go e.serveSound(server)
		return client, nil
	}
	go e.serve(server)
	return &resettable{Conn: client, reset: e.end == resets}, nil
}

// close closes the connections that the entry keeps, and waits until they are closed.
func (e *spelledEndpoint) close() {
	e.mutex.Lock()
	for _, c := range e.conns {
		_ = c.Close()
	}
	e.mutex.Unlock()
	e.open.Wait()
}

func (e *spelledEndpoint) serveSound(c net.Conn) {
	defer e.open.Done()
	defer func() { _ = c.Close() }()
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, e.sound)
	}
}

func (e *spelledEndpoint) serve(c net.Conn) {
	defer e.open.Done()
	defer func() { _ = c.Close() }()
	requestRead, gone := make(chan struct{}), make(chan struct{})
	e.open.Add(1)
	go func() {
		defer e.open.Done()
		defer close(gone)
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err == nil {
			e.mutex.Lock()
			e.received = true
			e.mutex.Unlock()
			close(requestRead)
			_, _ = io.Copy(io.Discard, r)
		}
	}()
	if !e.early {
		select {
		case <-requestRead:
		case <-gone:
			return
		}
	}
	for rest := e.text; rest != ""; {
		n := min(e.piece, len(rest))
		time.Sleep(e.pause)
		if _, err := io.WriteString(c, rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
	}
	switch e.end {
	case goesOn:
		_, _ = io.WriteString(c, e.rest()) // an entry that closes ends the other goroutine too
		<-gone
	case fallsSilent:
		<-gone
	default:
	}
}

// rest returns what an endpoint that goes on sends after its text.
func (e *spelledEndpoint) rest() string {
	return strings.Repeat(e.repeat, 1+mostSentGoingOn/len(e.repeat))
}

// answer returns the answer that the drawn bytes hold: its body as far as it came, and whether it is whole and
// signed.
func (e *spelledEndpoint) answer() (status int, body string, whole bool) {
	text := e.text
	if e.end == goesOn {
		text += e.rest()
	}
	r := bufio.NewReader(strings.NewReader(text))
	for {
		res, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
		if err != nil {
			return 0, "", false
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		content, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		untilEnd := res.ContentLength < 0 && len(res.TransferEncoding) == 0
		signed := res.Header.Get("X-Pinerun-Request-Id") == "r-1" && res.Header.Get("X-Pinerun-Response-Signature") != ""
		return res.StatusCode, string(content), err == nil && signed && (!untilEnd || e.end == closes)
	}
}

func drawEndpoint(t *rapid.T, isStream bool) *spelledEndpoint {
	e := &spelledEndpoint{
		text:   strings.Join(rapid.SliceOfN(rapid.SampledFrom(letters), 0, 9).Draw(t, "text"), ""),
		end:    ending(rapid.IntRange(0, int(numEndings)-1).Draw(t, "end")),
		repeat: rapid.SampledFrom(letters).Draw(t, "repeat"),
		early:  rapid.Bool().Draw(t, "early"),
		piece:  rapid.SampledFrom([]int{1 << 20, 1000, 100, 7}).Draw(t, "piece"),
		sound:  wholeAnswer,
	}
	if isStream {
		e.sound = wholeStreamText
	}
	if rapid.Bool().Draw(t, "slow") {
		e.pause = 20 * time.Millisecond
	}
	return e
}

// outcome is what a caller got, and what the entry held afterwards.
type outcome struct {
	writer   *httptest.ResponseRecorder
	complete bool
	took     time.Duration
	held     int64
}

// call sends a request through an entry, in virtual time.
func (e *spelledEndpoint) call(t *testing.T, route protocol.Route) (o outcome) {
	synctest.Test(t, func(t *testing.T) {
		budget := &backlog.Budget{Counters: &metric.Set{}}
		budget.SetLimit(256 << 20)
		f := newPlainForwarder(t, e.dial, budget, route)
		begun := time.Now()
		o.writer, o.complete = callPlain(f)
		o.took = time.Since(begun)
		o.held = budget.Counters.Value(string(metric.HeldBodyBytes))
		f.Close()
		e.close()
	})
	return o
}

// TestAnyBytesOfAnEndpointEndInAnAnswerARefusalOrABreak draws what an endpoint sends, and checks what the caller gets,
// and that nothing of it is held afterwards.
func TestAnyBytesOfAnEndpointEndInAnAnswerARefusalOrABreak(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		isStream := rapid.Bool().Draw(r, "stream")
		route := protocol.Route{TimeoutMS: 4000, MaxAttempts: 2, Repeat: protocol.Repeat(rapid.IntRange(0, 1).Draw(r, "repeatable"))}
		if isStream {
			route.Repeat, route.Resumable = protocol.Stream, rapid.Bool().Draw(r, "resumable")
		}
		e := drawEndpoint(r, isStream)
		o := e.call(t, route)
		require.LessOrEqual(r, o.took, 5*time.Second)
		require.Zero(r, o.held)
		if o.complete && o.writer.Code < http.StatusMultipleChoices {
			e.check(r, o.writer)
		}
		if !route.MayRepeat() && e.received && e.asked > 1 {
			require.Contains(r, e.text, "X-Pinerun-Not-Executed", "sent twice")
		}
	})
}

// check checks that a success is the whole answer of an endpoint, or a stream that another one continued.
func (e *spelledEndpoint) check(t require.TestingT, w *httptest.ResponseRecorder) {
	status, body, whole := e.answer()
	got := w.Body.String()
	if e.asked == 1 {
		require.True(t, whole, "a success without a whole answer: %.200q", got)
		require.Equal(t, status, w.Code)
		require.Equal(t, body, got)
		return
	}
	begin, ok := strings.CutSuffix(got, wholeEvent)
	if e.sound == wholeAnswer {
		begin, ok = strings.CutSuffix(got, "whole")
		require.Empty(t, begin)
	}
	require.True(t, ok, "it ends with the other endpoint's answer: %.200q", got)
	require.True(t, strings.HasPrefix(body, begin), "it begins with the first endpoint's events")
}
