// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// orderEvents is how many events a stream has, and brokenEvent the one in which a server stops.
	orderEvents = 8
	brokenEvent = 5
	// eventInterval is the time between two events.
	eventInterval = 20 * time.Millisecond
)

// lineLengths are the lengths of the data lines that are tried, in bytes without the newline.
var lineLengths = []int{70, 480, 1024, 2046, 2047, 2048, 2049, 2050, 4095, 4096, 4097}

// runOrder breaks streams off in the middle of an event, after its last line and before the blank line
// that ends it. The stream goes on at another server, after the last event that is complete.
func runOrder(b *bench, trouble bool) (bool, error) {
	b.store = newStore()
	b.store.put("config", "main", manifest(1))
	stops := &stopOnce{enabled: trouble, stopped: map[string]bool{}}
	servers, err := b.startModel(3, zones[:1], stops.stream, nil)
	if err != nil {
		return false, err
	}
	if err := b.startEntries(1, zones); err != nil {
		return false, err
	}
	if err := awaitModel(servers); err != nil {
		return false, err
	}
	broken := false
	for _, length := range lineLengths {
		ok, err := b.checkStream(length)
		if err != nil {
			return false, err
		}
		broken = broken || !ok
		time.Sleep(600 * time.Millisecond) // the server that broke off is used again
	}
	return broken, nil
}

// startModel starts model runners in the zones in turn.
func (b *bench) startModel(n int, zones []string, stream func(w *streamWriter, id string, after int) bool, arrived func(s *server, id string)) ([]*server, error) {
	var servers []*server
	for i := range n {
		s := &server{id: fmt.Sprintf("i-model%d", i+1), service: "llm", zone: zones[i%len(zones)], model: true, store: b.store, record: b.record, stream: stream, arrived: arrived}
		if err := s.start(); err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// awaitModel waits until all model runners hold the model and the entries know it.
func awaitModel(servers []*server) error {
	if !await(readyTimeout, func() bool { return allHoldModel(servers) }) {
		return fmt.Errorf("%w: the servers got no layers", errNotRun)
	}
	time.Sleep(time.Second) // the entries learn of the layers
	return nil
}

func allHoldModel(servers []*server) bool {
	for _, s := range servers {
		s.mutex.Lock()
		holds := s.from == 0 && s.to == modelLayers
		s.mutex.Unlock()
		if !holds {
			return false
		}
	}
	return true
}

// stopOnce ends the first run of each request in the middle of an event.
type stopOnce struct {
	enabled bool
	stopped map[string]bool // by request
}

// stream writes the events of a request after the given one.
func (s *stopOnce) stream(w *streamWriter, id string, after int) bool {
	length, _ := strconv.Atoi(strings.TrimPrefix(id, "length-"))
	for n := after + 1; n <= orderEvents; n++ {
		time.Sleep(eventInterval)
		e := eventText(n, length)
		if s.enabled && n == brokenEvent && !s.stopped[id] {
			s.stopped[id] = true
			w.chunk(strings.TrimSuffix(e, "\n")) // all but the blank line
			return false
		}
		w.chunk(e)
	}
	return true
}

// eventText returns an event of a stream whose data line has the given length.
func eventText(n, length int) string {
	prefix := fmt.Sprintf("data: %d ", n)
	return fmt.Sprintf("id: %d\n%s%s\n\n", n, prefix, strings.Repeat("x", length-len(prefix)))
}

// checkStream sends one request and reports whether the client's stream was as the rule says: its
// pieces are those of the stream from the first on, none is lost, repeated or joined with another.
func (b *bench) checkStream(length int) (bool, error) {
	id := "length-" + strconv.Itoa(length)
	b.record.add("the client sends %s", id)
	req, err := http.NewRequest(http.MethodPost, "http://"+b.entries[0].callers+"/lohu930/2f", strings.NewReader(strings.Repeat("p", 800)))
	if err != nil {
		return false, err
	}
	req.Host = host
	req.Header.Set("X-Pinerun-Request-Id", id)
	req.Header.Set("X-Pinerun-Model", "m0")
	req.Header.Set("X-Pinerun-Token-Usage", "760,80")
	req.Header.Set("X-Pinerun-Prompt-Prefix", fmt.Sprintf("%x:760", length))
	req.Header.Set("X-Pinerun-Deadline-Ms", "20000")
	req.Header.Set("Authorization", "Token "+key)
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return false, fmt.Errorf("%w: %w", errNotRun, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, readErr := io.ReadAll(res.Body)
	if res.StatusCode != http.StatusOK {
		return false, fmt.Errorf("%w: %s was answered with %d", errNotRun, id, res.StatusCode)
	}
	var want bytes.Buffer
	for n := 1; n <= orderEvents; n++ {
		want.WriteString(eventText(n, length))
	}
	b.record.add("%s is answered with 200, %d bytes of %d, complete %t", id, len(body), want.Len(), readErr == nil)
	if bytes.HasPrefix(want.Bytes(), body) && (readErr != nil || len(body) == want.Len()) {
		return true, nil
	}
	b.record.add("%s: the client has got the events %s", id, describeEvents(body))
	return false, nil
}

// describeEvents says what a client takes from a stream: for each event the lines but for the padding.
func describeEvents(body []byte) string {
	var all []string
	for _, e := range strings.Split(strings.TrimSuffix(string(body), "\n\n"), "\n\n") {
		var lines []string
		for _, l := range strings.Split(e, "\n") {
			lines = append(lines, strings.TrimSpace(strings.TrimRight(l, "x")))
		}
		all = append(all, "["+strings.Join(lines, " | ")+"]")
	}
	return strings.Join(all, " ")
}
