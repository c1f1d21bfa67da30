// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// requestForm is how a counting caller sends a request. The zero value has a short body with a length, by HTTP/1.1, in one
// piece.
type requestForm struct {
	chunked         bool // the body comes by chunks
	inPieces        bool // the body comes in pieces, with pauses
	expectsContinue bool
	oldProtocol     bool // HTTP/1.0, on a connection of its own
	shutsDown       bool // the caller shuts down its sending side after the request
	leaves          bool // the caller closes its connection while it waits
	pipelined       bool // the request begins right after the one before it on the connection
}

func (f requestForm) String() string {
	var words []string
	for _, w := range []struct {
		has  bool
		name string
	}{
		{f.chunked, "chunks"},
		{f.inPieces, "pieces"},
		{f.expectsContinue, "expect"},
		{f.oldProtocol, "HTTP/1.0"},
		{f.shutsDown, "shuts down"},
		{f.leaves, "leaves"},
		{f.pipelined, "pipelined"},
	} {
		if w.has {
			words = append(words, w.name)
		}
	}
	if len(words) == 0 {
		return "plain"
	}
	return strings.Join(words, " ")
}

// keepsConnection reports whether another request may follow on the connection.
func (f requestForm) keepsConnection() bool { return !f.oldProtocol && !f.shutsDown && !f.leaves }

// drawForm returns a random form.
func drawForm(rng *rand.Rand) requestForm {
	var f requestForm
	f.chunked = rng.IntN(4) == 0
	f.inPieces = rng.IntN(4) == 0
	switch rng.IntN(14) {
	case 0, 1:
		f.expectsContinue, f.inPieces = true, true
	case 2:
		f.oldProtocol, f.chunked = true, false
	case 3:
		f.shutsDown = true
	case 4:
		f.leaves = true
	}
	return f
}

// countedRequest is a request of a counting caller and what came back for it.
type countedRequest struct {
	id   string
	kind string
	key  string
	form requestForm
	conn *countedConn

	begun     time.Time
	sentWhole time.Time // when its last byte was written, zero if that failed
	gaveUp    bool      // the caller waited for its end in vain

	// Written by the loop of the connection before over is closed.
	status     int // 0 if no head arrived
	header     http.Header
	body       string
	bodyErr    error
	isLast     bool      // its answer says that the connection ends
	answeredAt time.Time // when the last byte of its answer was read, zero without one
	over       chan struct{}
	continued  chan struct{} // closed when the entry asked for the body
}

// head returns the head of the request as it is sent.
func (q *countedRequest) head() string {
	protocol, host := "HTTP/1.1", "Host: h.example\r\n"
	if q.form.oldProtocol {
		protocol = "HTTP/1.0"
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(bodyOf(q.id)))
	if q.form.chunked {
		length = "Transfer-Encoding: chunked\r\n"
	}
	expect := ""
	if q.form.expectsContinue {
		expect = "Expect: 100-continue\r\n"
	}
	return fmt.Sprintf("POST /%s/%s %s\r\n%sX-Pinerun-Request-Id: %s\r\nX-Pinerun-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nX-Pinerun-Prompt-Prefix: %s\r\n%s%s\r\n",
		q.kind, q.id, protocol, host, q.id, countedDeadline.Milliseconds(), q.key, soundParts(q.id), length, expect)
}

// pieces returns the request as it is sent, in the pieces of its form.
func (q *countedRequest) pieces() []string {
	body := bodyOf(q.id)
	parts := []string{body[:len(body)/3], body[len(body)/3 : len(body)/2], body[len(body)/2:]}
	if q.form.chunked {
		for i, p := range parts {
			parts[i] = fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		parts = append(parts, "0\r\n", "\r\n")
	}
	pieces := append([]string{q.head()}, parts...)
	if !q.form.inPieces {
		pieces = []string{strings.Join(pieces, "")}
	}
	return pieces
}

// answered reports whether a whole answer or refusal arrived.
func (q *countedRequest) answered() bool { return q.status != 0 && q.bodyErr == nil }

// isPart reports whether an answer began and did not end.
func (q *countedRequest) isPart() bool { return q.status != 0 && q.bodyErr != nil }

// outcome says what the caller got.
func (q *countedRequest) outcome() string {
	switch {
	case q.answered() && q.status < http.StatusMultipleChoices:
		return "answer"
	case q.answered():
		return fmt.Sprint("refusal ", q.status)
	case q.status != 0:
		return "part"
	default:
		return "nothing"
	}
}
