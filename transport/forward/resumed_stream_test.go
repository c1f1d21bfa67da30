// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// breakOff has the engine write some events of a stream and break it off.
func (e *cacheEngine) breakOff(w http.ResponseWriter, id string, events int) {
	w.Header().Set("X-Pinerun-Request-Id", id)
	w.Header().Set("X-Pinerun-Response-Signature", "signed")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range events {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventInterval)
	}
	panic(http.ErrAbortHandler)
}

// TestStreamThatMayReachNoFurtherEngineGoesBackToOneWithRoom: the first engine breaks the stream off and two are full for
// a moment. The stream was cut although they had room later, because a fourth one had more.
func TestStreamThatMayReachNoFurtherEngineGoesBackToOneWithRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newCacheFleet(t, 1, 4)
		var order []string
		for _, e := range d.engines {
			e.serve = func(w http.ResponseWriter, r *http.Request) bool {
				if !slices.Contains(order, e.id) {
					order = append(order, e.id)
				}
				switch id := r.Header.Get("X-Pinerun-Request-Id"); {
				case e.id == order[0]:
					e.breakOff(w, id, 3)
				case len(order) <= 3 && time.Since(d.begun) < time.Second:
					w.Header().Set("X-Pinerun-Request-Id", id)
					w.Header().Set("X-Pinerun-Not-Executed", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
					return true
				}
				return false
			}
		}
		d.call(d.entries[0], "r-1", 1000, 200)
		require.Equal(t, map[string]int{"whole": 1}, d.outcomes, "engines in order: %s", order)
		require.Len(t, order, 3, "the route allows three engines")
	})
}

// TestRoomIsKeptForStreamsThatHaveBegun: the engine of a stream ends, and the other has little room left.
func TestRoomIsKeptForStreamsThatHaveBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newCacheFleet(t, 1, 2)
		f := d.entries[0]
		done := make(chan bool)
		go func() {
			d.call(f, "large", 8000, 800)
			done <- true
		}()
		time.Sleep(3 * time.Second / 2)
		go func() {
			d.call(f, "begun", 1250, 300)
			done <- true
		}()
		time.Sleep(time.Second)
		for _, e := range d.engines {
			if e.held() < 8000 {
				e.end()
			}
		}
		d.list(f)
		d.call(f, "new", 1250, 300)
		<-done
		<-done
		require.Equal(t, map[string]int{"whole": 1, "late": 1, "refused": 1}, d.outcomes)
	})
}
