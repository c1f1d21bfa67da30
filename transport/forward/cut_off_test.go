// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

// TestCutOffPromisesOnlyWhatDidNotRun cuts off a call that waits and one that was sent.
func TestCutOffPromisesOnlyWhatDidNotRun(t *testing.T) {
	for name, want := range map[string]int{"waits": http.StatusServiceUnavailable, "sent": http.StatusBadGateway, "ran": http.StatusBadGateway} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, call := newPlainForwarder(t)
				x := call()
				w := httptest.NewRecorder()
				x.writer = w
				switch name {
				case "sent":
					p, found := x.pickPath(time.Now())
					require.True(t, found)
					x.startAttempt(&p)
				case "ran":
					x.mayHaveRun = true
				}
				x.endCutOff(time.Now())
				x.closeAttempts()
				require.Equal(t, want, w.Code)
			})
		})
	}
}

// TestAnswerAtHandIsGivenToACallerThatClosedItsSendingSide lets the whole answer arrive before the end of the caller's side is
// noticed.
func TestAnswerAtHandIsGivenToACallerThatClosedItsSendingSide(t *testing.T) {
	const turns = 20
	given := 0
	for range turns {
		synctest.Test(t, func(t *testing.T) {
			_, call := newPlainForwarder(t)
			x := call()
			w := httptest.NewRecorder()
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			x.writer, x.request = w, httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx)
			x.deadline = time.Now().Add(time.Minute)
			p, found := x.pickPath(time.Now())
			require.True(t, found)
			x.startAttempt(&p)
			x.messages = make(chan message, messageBuffer) // the attempt itself says nothing here
			x.messages <- responseReceived{attempt: x.open[0], head: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}, terms: protocol.AnswerTerms{Signed: true, RequestID: "r"}, body: []byte("answer")}
			func() {
				defer func() { _ = recover() }()
				x.loop()
			}()
			x.closeAttempts()
			if w.Body.String() == "answer" {
				given++
			}
		})
	}
	require.Equal(t, turns, given)
}

// TestStreamThatWaitsInAStopIsNotWokenWithoutPause guards against a busy loop of streams that have begun and wait to go on.
func TestStreamThatWaitsInAStopIsNotWokenWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, call := newPlainForwarder(t)
		x := call()
		deadline := time.Now().Add(time.Second)
		x.queued, x.headSent = &queuedRequest{deadline: deadline}, true
		f.StopAt(time.Now())
		time.Sleep(time.Millisecond)
		require.Equal(t, deadline, x.nextWake())
		x.headSent = false
		require.True(t, x.nextWake().Before(deadline), "one that has not begun is told at once")
	})
}
