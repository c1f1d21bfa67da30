// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/settings"
	"pinerun.example/pinerun/standin"
	"pinerun.example/pinerun/transport/entry"
)

// deadly is what a prompt holds under which runners end.
const deadly = "no such fare"

// prompted asks for two tokens and returns the status and the body.
func prompted(t *testing.T, e *entry.Entry, text string) (int, string) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"fares","max_tokens":2,"messages":[{"role":"user","content":%q}]}`, text)
	q, err := http.NewRequest(http.MethodPost, "http://"+e.CallerAddress()+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	q.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	defer res.Body.Close()
	content, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res.StatusCode, string(content)
}

// linked starts two entries before a deployment and waits until they know each other.
func linked(t *testing.T, d *standin.Deployment) []*entry.Entry {
	t.Helper()
	all := []*entry.Entry{startNamed(t, d, settings.TLS{}, "e1"), startNamed(t, d, settings.TLS{}, "e2")}
	for _, e := range all {
		require.Eventually(t, func() bool { return e.Counters().Value(string(metric.PeerConnections)) > 0 }, time.Minute, time.Millisecond)
		untilServed(t, e)
	}
	return all
}

// TestARequestThatEndsRunnersIsRefused sends a request that ends each runner which begins to run it to
// one entry and the other in turn, as its caller's repeats come, beside other callers.
//
// What users of the product's own interface would have seen: one caller's request ended a runner, was sent on to
// the next one and ended that too, up to eight times a try, at each entry and with each repeat; whatever ran
// beside it broke as well. The cause: what a request had met was forgotten with its try, and no entry told
// the others.
// Evidence: ten tries at two entries ended 25 lives of the two runners that begin requests, in each of two
// turns, and 48 to 51 lives of four; 3 or 4 of four since, in 64 turns.
func TestARequestThatEndsRunnersIsRefused(t *testing.T) {
	d := deploymentOf(t, fast, 4)
	entries := linked(t, d)
	d.EndUnder(deadly, 100*time.Millisecond)

	var others sync.WaitGroup
	stop := make(chan struct{})
	served, refused := make([]int, len(entries)), make([]int, len(entries))
	for i, e := range entries {
		others.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				status, body := prompted(t, e, fmt.Sprint("fare ", i, " ", n, "?"))
				switch {
				case status == http.StatusOK:
					served[i]++
				case strings.Contains(body, "ends_endpoints"):
					refused[i]++
				}
			}
		})
	}
	var status int
	var body string
	for i := range 10 {
		status, body = prompted(t, entries[i%2], deadly)
		require.NotEqual(t, http.StatusOK, status)
	}
	close(stop)
	others.Wait()
	t.Logf("%d lives ended, other requests served %v", d.Ends(), served)
	require.LessOrEqual(t, d.Ends(), 6, "three, and what was under way")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, "ends_endpoints")
	require.Equal(t, []int{0, 0}, refused, "other work is not refused")
	for _, e := range entries {
		untilServed(t, e)
	}
}

// TestAnEntryThatStartsLaterRefusesWhatOthersDo starts a further entry once the request is refused.
func TestAnEntryThatStartsLaterRefusesWhatOthersDo(t *testing.T) {
	d := deploymentOf(t, fast, 4)
	entries := linked(t, d)
	d.EndUnder(deadly, 100*time.Millisecond)
	require.Eventually(t, func() bool {
		_, body := prompted(t, entries[0], deadly)
		return strings.Contains(body, "ends_endpoints")
	}, time.Minute, time.Millisecond)
	later := startNamed(t, d, settings.TLS{}, "e3")
	untilServed(t, later)
	require.Eventually(t, func() bool { return later.Counters().Value(string(metric.PeerConnections)) > 0 }, time.Minute, time.Millisecond)
	ended := d.Ends()
	require.Eventually(t, func() bool {
		_, body := prompted(t, later, deadly)
		return strings.Contains(body, "ends_endpoints")
	}, time.Minute, time.Millisecond)
	require.LessOrEqual(t, d.Ends(), ended+1, "it came before the news at most once")
	untilServed(t, later)
}
