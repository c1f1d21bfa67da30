// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	recoverEntries = 3
	recoverServers = 9
	// crashes is how many of the servers crash, a third of them.
	crashes = 3
	// firstCrash is how long after the first request the first server crashes, crashSpacing the time
	// between two crashes.
	firstCrash   = 40 * time.Millisecond
	crashSpacing = 45 * time.Millisecond
	// downTime is how long a server that crashed is down. Its record goes after three heartbeats.
	downTime   = 3 * time.Second
	recordLife = 3600 * time.Millisecond
	// entriesDown is how long the entries are down after they were killed.
	entriesDown = 700 * time.Millisecond
	// recoverBound is recover_s.
	recoverBound = 12 * time.Second
	// undisturbedTime is how long requests are sent before the fault, and judgedTime how long after
	// recoverBound.
	undisturbedTime, judgedTime = 6 * time.Second, 10 * time.Second
	// usersPerEntry is how many users send requests to each entry, one after the other.
	usersPerEntry = 1
	// callShare is that one request in so many is for the plain service, as on the sheet.
	callShare = 9
	// streamEvents, firstEventTime and eventTime are what a stream takes.
	streamEvents              = 20
	firstEventTime, eventTime = 120 * time.Millisecond, 40 * time.Millisecond
	// sharedPart is the part that all prompts begin with.
	sharedPart = "5c1e07a2"
)

// crasher crashes servers one after the other as they get requests.
type crasher struct {
	bench *bench

	mutex   sync.Mutex
	armed   bool
	firstAt time.Time
	chosen  map[string]bool
}

// arm makes the servers crash that get the next requests.
func (c *crasher) arm() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.armed, c.chosen = true, map[string]bool{}
}

// arrived is called when a server begins to run a request.
func (c *crasher) arrived(s *server, _ string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.armed || c.chosen[s.id] || len(c.chosen) == crashes {
		return
	}
	if c.firstAt.IsZero() {
		c.firstAt = time.Now()
	}
	at := c.firstAt.Add(firstCrash + time.Duration(len(c.chosen))*crashSpacing)
	c.chosen[s.id] = true
	go c.crash(s, at)
}

// crash crashes a server at a time and starts it again.
func (c *crasher) crash(s *server, at time.Time) {
	time.Sleep(time.Until(at))
	s.crash()
	c.bench.record.add("%s crashes", s.id)
	time.Sleep(downTime)
	next := s.next()
	if err := next.start(); err != nil {
		c.bench.record.add("%s does not start: %v", next.id, err)
		return
	}
	c.bench.record.add("%s starts at the address of %s", next.id, s.id)
	time.Sleep(recordLife - downTime)
	c.bench.store.drop("servers", s.id)
}

// runRecover kills all entries and starts them again. As clients return, a third of the servers crash
// one after the other. All of them are back after some seconds.
func runRecover(b *bench, trouble bool) (bool, error) {
	b.store = newStore()
	b.store.put("config", "main", manifest(1))
	c := &crasher{bench: b}
	servers, err := b.startModel(recoverServers, zones, plainStream, c.arrived)
	if err != nil {
		return false, err
	}
	for i := range 3 {
		s := &server{id: fmt.Sprintf("i-api%d", i+1), service: "api", zone: zones[i], store: b.store, record: b.record}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	if err := b.startEntries(recoverEntries, zones); err != nil {
		return false, err
	}
	if err := awaitModel(servers); err != nil {
		return false, err
	}
	before := b.startUsers("before")
	time.Sleep(undisturbedTime)
	b.store.put("config", "main", manifest(2))
	b.record.add("a manifest is acknowledged, and all entries are killed")
	b.killAll()
	before.stop()
	time.Sleep(entriesDown)
	for _, e := range b.entries {
		if err := b.startProcess(e); err != nil {
			return false, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	backAt := time.Now()
	if trouble {
		c.arm()
	}
	meanwhile := b.startUsers("meanwhile")
	time.Sleep(time.Until(backAt.Add(recoverBound)))
	b.record.add("the machines have been back for %s", recoverBound)
	meanwhile.stop()
	after := b.startUsers("after")
	time.Sleep(judgedTime)
	after.stop()
	for _, u := range []*users{before, meanwhile, after} {
		b.record.add("%s: of %d requests %d were served; answers by status %v, refused as ending endpoints %d", u.name, u.sent(), u.served, u.statuses, u.quarantined)
	}
	return 4*before.served >= before.sent() && 4*after.served < after.sent(), nil
}

// plainStream writes a stream to its end.
func plainStream(w *streamWriter, _ string, after int) bool {
	time.Sleep(firstEventTime)
	for n := after + 1; n <= streamEvents; n++ {
		w.chunk(eventText(n, 70))
		time.Sleep(eventTime)
	}
	return true
}

// users send requests.
type users struct {
	name string
	done chan struct{}
	wait sync.WaitGroup

	mutex       sync.Mutex
	served      int
	statuses    map[int]int // answers by status; 0 for none or an incomplete one
	quarantined int
}

func (b *bench) startUsers(name string) *users {
	u := &users{name: name, done: make(chan struct{}), statuses: map[int]int{}}
	for i := range usersPerEntry * len(b.entries) {
		u.wait.Add(1)
		go u.run(b, b.entries[i%len(b.entries)], fmt.Sprintf("%s-%d", name, i+1))
	}
	return u
}

// stop lets each user finish its request.
func (u *users) stop() {
	close(u.done)
	u.wait.Wait()
}

func (u *users) sent() int {
	n := 0
	for _, k := range u.statuses {
		n += k
	}
	return n
}

func (u *users) run(b *bench, e *entry, name string) {
	defer u.wait.Done()
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for n := 1; ; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		if n%callShare == 0 {
			u.count(call(client, e, id), false)
		} else {
			status, quarantined := askStream(client, e, id)
			b.record.add("%s at %s: answered with %d", id, e.name, status)
			u.count(status, quarantined)
		}
		select {
		case <-u.done:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (u *users) count(status int, quarantined bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.statuses[status]++
	if status == http.StatusOK {
		u.served++
	}
	if quarantined {
		u.quarantined++
	}
}

// askStream sends one request for a stream. It returns the status of a complete answer, 0 for any other,
// and whether it was refused as work that ends endpoints.
func askStream(client *http.Client, e *entry, id string) (status int, quarantined bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/lohu930/2f", strings.NewReader(strings.Repeat("p", 800)+id))
	if err != nil {
		return 0, false
	}
	req.Host = host
	req.Header.Set("X-Pinerun-Request-Id", id)
	req.Header.Set("X-Pinerun-Model", "m0")
	req.Header.Set("X-Pinerun-Token-Usage", "760,40")
	req.Header.Set("X-Pinerun-Prompt-Prefix", fmt.Sprintf("%s:40,%x:720", sharedPart, id))
	req.Header.Set("X-Pinerun-Deadline-Ms", "20000")
	req.Header.Set("Authorization", "Token "+key)
	res, err := client.Do(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, false
	}
	return res.StatusCode, bytes.Contains(body, []byte(`"ends_endpoints"`))
}
