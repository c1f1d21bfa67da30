// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/relay"
)

// These are the platform's terms for backoff: from backoffGrace after an endpoint asked an entry for backoff
// until the end of the backoff, it gets at most maxInBackoff requests from that entry.
const (
	backoffGrace = 500 * time.Millisecond
	maxInBackoff = 2
)

// sheddingEndpoint turns every request away and asks for backoff during some time, and serves otherwise.
type sheddingEndpoint struct {
	*testEndpoint
	backoff time.Duration
	until   time.Time

	mutex sync.Mutex
	asked map[string][]time.Time // when it asked for backoff, by entry
}

func shedRequests(e *testEndpoint, backoff time.Duration, until time.Time) *sheddingEndpoint {
	s := &sheddingEndpoint{testEndpoint: e, backoff: backoff, until: until, asked: map[string][]time.Time{}}
	e.Respond = s.respond
	return s
}

func (s *sheddingEndpoint) respond(entry string, h http.Header) (status int) {
	now := time.Now()
	if !now.Before(s.until) {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.asked[entry] = append(s.asked[entry], now)
	h.Set("Retry-After", strconv.FormatFloat(s.backoff.Seconds(), 'g', -1, 64))
	return http.StatusServiceUnavailable
}

// mostInBackoff returns the highest number of requests from one entry in one backoff.
func (s *sheddingEndpoint) mostInBackoff() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	highest := 0
	for entry, asked := range s.asked {
		for _, at := range asked {
			n := 0
			for _, a := range s.received() {
				if a.entry == entry && !a.at.Before(at.Add(backoffGrace)) && a.at.Before(at.Add(s.backoff)) {
					n++
				}
			}
			highest = max(highest, n)
		}
	}
	return highest
}

// newServiceEndpoints returns three endpoints of a service of a testFleet.
func newServiceEndpoints(service string, work time.Duration) []*testEndpoint {
	endpoints := []*testEndpoint{{ID: "p-0", DataCenter: "b"}, {ID: "p-1", DataCenter: "a"}, {ID: "p-2", DataCenter: "c"}}
	for _, e := range endpoints {
		e.Work = work
		if service == "llm" {
			e.Layers = protocol.Span{From: 0, To: 10}
		}
	}
	return endpoints
}

// TestEndpointThatAsksForBackoffGetsIt guards against an entry that goes on sending to an endpoint which
// turned it away with Retry-After, whether one or all endpoints of the service do so.
func TestEndpointThatAsksForBackoffGetsIt(t *testing.T) {
	for _, service := range []string{"plain", "llm"} {
		for _, shedding := range []int{1, 3} {
			for _, backoff := range []time.Duration{600 * time.Millisecond, 3 * time.Second, 8 * time.Second} {
				t.Run(fmt.Sprint(service, " ", shedding, " of 3 for ", backoff), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						endpoints := newServiceEndpoints(service, 20*time.Millisecond)
						var sheds []*sheddingEndpoint
						for _, e := range endpoints[:shedding] {
							sheds = append(sheds, shedRequests(e, backoff, time.Now().Add(12*time.Second)))
						}
						d := newTestFleet(t, 3, endpoints...)
						d.loadAll(service, 10, 24*time.Second)
						share, _ := d.served()
						for _, s := range sheds {
							require.LessOrEqual(t, s.mostInBackoff(), maxInBackoff, s.ID)
							require.True(t, s.received()[len(s.received())-1].at.After(s.until), "it serves again")
						}
						if shedding < len(endpoints) {
							require.Greater(t, share, 0.99, "the other endpoints have room")
						}
					})
				})
			}
		}
	}
}

// TestLeavingEndpointGetsNoNewRequests guards against an entry that goes on sending to an endpoint
// whose answers say that it leaves, while its record does not say so.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	for _, service := range []string{"plain", "llm"} {
		t.Run(service, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoints := newServiceEndpoints(service, 20*time.Millisecond)
				leaves := time.Now().Add(2 * time.Second)
				var mutex sync.Mutex
				told := map[string]time.Time{}
				endpoints[0].Respond = func(entry string, h http.Header) int {
					mutex.Lock()
					defer mutex.Unlock()
					now := time.Now()
					if now.Before(leaves) {
						return 0
					}
					h.Set("Server-Leaving", "1")
					if _, known := told[entry]; !known {
						told[entry] = now
					}
					return 0
				}
				d := newTestFleet(t, 3, endpoints...)
				d.loadAll(service, 10, 10*time.Second)
				share, _ := d.served()
				require.Greater(t, share, 0.99)
				require.NotEmpty(t, told)
				for _, a := range endpoints[0].received() {
					require.False(t, a.at.After(told[a.entry].Add(backoffGrace)), "a request of %s after it was told", a.entry)
				}
			})
		})
	}
}

// TestEndOfEndpointThatSaidInAnAnswerThatItLeavesIsNoCrash: a connection broke off, and the endpoint left as announced.
func TestEndOfEndpointThatSaidInAnAnswerThatItLeavesIsNoCrash(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			e := &testEndpoint{ID: "e", DataCenter: "a", Respond: func(_ string, h http.Header) int {
				if leaves {
					h.Set("Server-Leaving", "1")
				}
				return 0
			}}
			d := newTestFleet(t, 1, e)
			q, work := &relay.Quarantine{Self: "entry-0"}, protocol.Fingerprint{1}
			d.entries[0].forwarder.Quarantine = q
			status, h := d.entries[0].call("plain", "r-1")
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, leaves, h.Get("Server-Leaving") != "", "callers get the header")
			q.Report(protocol.WorkReport{Work: work, Endpoint: "e", Observation: protocol.WorkBroke}, time.Now())
			q.RecordCrash("e", 0, time.Now())
			time.Sleep(10 * time.Second) // a failure without a crash counts for a moment
			content := quarantine.NewContent(work, nil)
			_, unrestricted := q.Status(&content, time.Now()).(quarantine.Unrestricted)
			require.Equal(t, leaves, unrestricted)
		})
	}
}
