// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxCallBytes is the maximum body size of a call to a stand-in service.
const maxCallBytes = 1 << 20

// CallHeader is the header that identifies a call, so that the service can count how often
// the call ran.
const CallHeader = "Idempotency-Key"

// Service is one endpoint of a stand-in plain service. It counts the runs of each call.
type Service struct {
	server
	Name  string
	Calls *CallCounter // shared by the endpoints of the service

	mutex     sync.Mutex
	delay     time.Duration
	loseOneIn int
}

// CallCounter counts the runs of each call across all endpoints of a service.
type CallCounter struct {
	mutex sync.Mutex
	runs  map[string]int
}

func (c *CallCounter) add(key string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.runs == nil {
		c.runs = map[string]int{}
	}
	c.runs[key]++
	return c.runs[key]
}

// Runs returns how often the call with a key ran.
func (c *CallCounter) Runs(key string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.runs[key]
}

// Duplicates returns the number of calls that ran more than once.
func (c *CallCounter) Duplicates() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	doubled := 0
	for _, n := range c.runs {
		if n > 1 {
			doubled++
		}
	}
	return doubled
}

// Listen starts the service at an address.
func (s *Service) Listen(address string) error {
	if s.Calls == nil {
		s.Calls = &CallCounter{}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", s.serveRuns)
	mux.HandleFunc("GET /ran", s.serveRan)
	mux.HandleFunc("POST /faults", s.serveFaults)
	mux.HandleFunc("/", s.serveCall)
	return s.listen(address, mux)
}

// SetFaults adds a delay to each call and drops the response of one in loseOneIn calls
// after the call has run. A value of zero disables either fault.
func (s *Service) SetFaults(delay time.Duration, loseOneIn int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay, s.loseOneIn = delay, loseOneIn
}

func (s *Service) serveCall(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxCallBytes))
	if err != nil {
		http.Error(w, "body cut off", http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	delay, loseOneIn := s.delay, s.loseOneIn
	s.mutex.Unlock()
	run := 0
	if key := q.Header.Get(CallHeader); key != "" {
		run = s.Calls.add(key)
	}
	time.Sleep(delay)
	if oneIn(loseOneIn) {
		panic(http.ErrAbortHandler) // drop the response of a call that ran
	}
	writeJSON(w, struct {
		Service string `json:"service"`
		Method  string `json:"method"`
		Path    string `json:"path"`
		Run     int    `json:"run"`
		Bytes   int    `json:"bytes"`
	}{s.Name, q.Method, q.URL.Path, run, len(body)})
}

func (s *Service) serveRuns(w http.ResponseWriter, q *http.Request) {
	writeJSON(w, struct {
		Runs int `json:"runs"`
	}{s.Calls.Runs(q.URL.Query().Get("key"))})
}

func (s *Service) serveFaults(_ http.ResponseWriter, q *http.Request) {
	delay, _ := time.ParseDuration(q.URL.Query().Get("delay"))
	lose, _ := strconv.Atoi(q.URL.Query().Get("lose"))
	s.SetFaults(delay, lose)
}

// serveRan responds with status 200 if the call has started to run, else with 404.
func (s *Service) serveRan(w http.ResponseWriter, q *http.Request) {
	if s.Calls.Runs(q.URL.Query().Get("key")) == 0 {
		http.Error(w, "not yet", http.StatusNotFound)
	}
}
