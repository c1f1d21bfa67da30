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

	"pinerun.example/pinerun/protocol"
)

// These are the platform's terms for rate limits: from contactTime after an endpoint first named its
// limit, the arrivals in any limitWindow from the entries that were told toldBefore earlier are at
// most limitFactor times what the limit allows, and limitSlack more.
const (
	contactTime = 4 * time.Second
	limitWindow = 4 * time.Second
	toldBefore  = 500 * time.Millisecond
	limitFactor = 1.5
	limitSlack  = 5
)

// limitedEndpoint names a limit in its answers and records which entries were told.
type limitedEndpoint struct {
	*testEndpoint
	limit float64

	mutex      sync.Mutex
	firstNamed time.Time
	told       map[string]time.Time // when an entry was first told, by entry
}

func limitRequests(e *testEndpoint, limit float64) *limitedEndpoint {
	l := &limitedEndpoint{testEndpoint: e, limit: limit, told: map[string]time.Time{}}
	e.Respond = l.respond
	return l
}

func (l *limitedEndpoint) respond(entry string, h http.Header) (status int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	h.Set("Server-Limit", strconv.FormatFloat(l.limit, 'g', -1, 64))
	now := time.Now()
	if l.firstNamed.IsZero() {
		l.firstNamed = now
	}
	if _, known := l.told[entry]; !known {
		l.told[entry] = now
	}
	return 0
}

// counted returns the arrivals that the platform's terms count.
func (l *limitedEndpoint) counted() []arrival {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var counted []arrival
	for _, a := range l.received() {
		if told, known := l.told[a.entry]; known && !a.at.Before(told.Add(toldBefore)) {
			counted = append(counted, a)
		}
	}
	return counted
}

// most returns the highest number of counted arrivals in a window.
func (l *limitedEndpoint) most() int {
	counted := l.counted()
	highest, begin := 0, 0
	for i, a := range counted {
		for a.at.Sub(counted[begin].at) >= limitWindow {
			begin++
		}
		if !a.at.Before(l.firstNamed.Add(contactTime)) {
			highest = max(highest, i-begin+1)
		}
	}
	return highest
}

// allowed returns how many counted arrivals a window may have.
func (l *limitedEndpoint) allowed() int {
	return int(limitFactor*l.limit*limitWindow.Seconds() + limitSlack)
}

// TestEntriesTogetherKeepWithinAnEndpointsRateLimit guards against an endpoint that names a rate limit
// and gets more from all entries together, whatever kind of service it belongs to.
func TestEntriesTogetherKeepWithinAnEndpointsRateLimit(t *testing.T) {
	for _, service := range []string{"plain", "llm"} {
		for _, limit := range []float64{0.3, 4.2, 12} {
			t.Run(fmt.Sprint(service, " ", limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					layers := protocol.Span{}
					if service == "llm" {
						layers = protocol.Span{From: 0, To: 10}
					}
					endpoints := []*testEndpoint{{ID: "p-0", DataCenter: "b"}, {ID: "p-1", DataCenter: "a"}, {ID: "p-2", DataCenter: "c"}}
					for _, e := range endpoints {
						e.Layers, e.Work = layers, 20*time.Millisecond
					}
					limited := limitRequests(endpoints[0], limit)
					d := newTestFleet(t, 7, endpoints...)
					var loads []*load
					for i, e := range d.entries {
						loads = append(loads, e.startLoad(service, 3+3*float64(i), 20*time.Second, uint64(i)))
					}
					for _, l := range loads {
						l.open.Wait()
					}
					share, total := d.served()
					require.Greater(t, total, 1000)
					require.LessOrEqual(t, limited.most(), limited.allowed())
					require.Greater(t, share, 0.99, "the other endpoints have room")
				})
			})
		}
	}
}
