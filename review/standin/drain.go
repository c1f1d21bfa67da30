// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	drainEntries = 4
	// settleTime is how long the entries run undisturbed before the server leaves, longer than contact_ms.
	settleTime = 5 * time.Second
	// leaveDelay is how long after the store begins to turn an entry away the server leaves.
	leaveDelay = 20 * time.Millisecond
	// watchTime is how long requests are sent after that.
	watchTime = 5 * time.Second
	// callInterval is the time between two requests of one client.
	callInterval = 20 * time.Millisecond
)

// drainLog notes which requests reached the server that leaves, and when.
type drainLog struct {
	mutex   sync.Mutex
	leaver  string
	ackedAt time.Time // when the store acknowledged that the server is gone; zero before
	late    []lateArrival
}

type lateArrival struct {
	id    string
	after time.Duration
}

func (d *drainLog) arrived(s *server, id string) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if s.id == d.leaver && !d.ackedAt.IsZero() && now.Sub(d.ackedAt) > drainBound {
		d.late = append(d.late, lateArrival{id: id, after: now.Sub(d.ackedAt)})
	}
}

// runDrain lets a server leave without saying that it drains: its entry goes from the store. At that
// moment the store begins to turn away the entry that the others follow. The store serves all others.
func runDrain(b *bench, trouble bool) (bool, error) {
	b.store = newStore()
	b.store.put("config", "main", manifest(1))
	log := &drainLog{leaver: "i-api1"}
	for i := range 3 {
		s := &server{id: fmt.Sprintf("i-api%d", i+1), service: "api", zone: zones[i], store: b.store, record: b.record, arrived: log.arrived}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	if err := b.startEntries(drainEntries, zones[:1]); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	followed, err := b.followedEntry()
	if err != nil {
		return false, err
	}
	b.record.add("the others follow %s", followed.name)
	clients := b.startClients()
	time.Sleep(time.Second)
	if trouble {
		followed.port.turnAway.Store(true)
		b.record.add("the store turns %s away", followed.name)
	}
	time.Sleep(leaveDelay)
	b.store.drop("servers", log.leaver)
	log.mutex.Lock()
	log.ackedAt = time.Now()
	log.mutex.Unlock()
	b.record.add("the store has acknowledged that %s is gone; it serves on", log.leaver)
	time.Sleep(watchTime)
	clients.stop()
	b.record.add("sent %d requests, answered with 200 %d", clients.sent, clients.answered)
	return b.judgeDrain(log, followed), nil
}

// judgeDrain reports whether a request of an entry that the store served all the while reached the
// server too late.
func (b *bench) judgeDrain(log *drainLog, followed *entry) bool {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	broken := false
	for _, a := range log.late {
		sender := a.id[:strings.LastIndexByte(a.id, '-')]
		b.record.add("%s reached %s %d ms after the store had acknowledged that it is gone (bound %d ms)", a.id, log.leaver, a.after.Milliseconds(), drainBound.Milliseconds())
		broken = broken || sender != followed.name
	}
	return broken
}

// followedEntry returns the entry that all others follow, as their logs say.
func (b *bench) followedEntry() (*entry, error) {
	followers := map[string]int{}
	for _, e := range b.entries {
		if name := lastFollowed(e.log); name != "" {
			followers[name]++
		}
	}
	for _, e := range b.entries {
		if followers[e.name] == len(b.entries)-1 {
			return e, nil
		}
	}
	return nil, fmt.Errorf("%w: the entries do not all follow the same one: %v", errNotRun, followers)
}

// lastFollowed returns the entry that a process followed last, "" for none.
func lastFollowed(file string) string {
	const peerFollowed = 7004
	f, err := os.Open(file)
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	name := ""
	for s := bufio.NewScanner(f); s.Scan(); {
		var line struct {
			Event int    `json:"event"`
			Peer  string `json:"peer"`
		}
		if json.Unmarshal(s.Bytes(), &line) == nil && line.Event == peerFollowed {
			name = line.Peer
		}
	}
	return name
}

// clients send requests to all entries, each on a channel that it keeps.
type clients struct {
	done chan struct{}
	wait sync.WaitGroup

	mutex          sync.Mutex
	sent, answered int
}

func (b *bench) startClients() *clients {
	c := &clients{done: make(chan struct{})}
	for _, e := range b.entries {
		c.wait.Add(1)
		go c.run(e)
	}
	return c
}

func (c *clients) stop() {
	close(c.done)
	c.wait.Wait()
}

func (c *clients) run(e *entry) {
	defer c.wait.Done()
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	for n := 1; ; n++ {
		select {
		case <-c.done:
			return
		case <-time.After(callInterval):
		}
		status := call(client, e, fmt.Sprintf("%s-%d", e.name, n))
		c.mutex.Lock()
		c.sent++
		if status == http.StatusOK {
			c.answered++
		}
		c.mutex.Unlock()
	}
}

// call sends one request that may be repeated and returns the status of the answer, 0 for none.
func call(client *http.Client, e *entry, id string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+e.callers+"/cufi504/fi50/2f", http.NoBody)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("X-Pinerun-Request-Id", id)
	req.Header.Set("X-Pinerun-Deadline-Ms", "2500")
	req.Header.Set("Authorization", "Token "+key)
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}
