// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"pinerun.example/pinerun/protocol"
)

const (
	// Rate limits of the platform, in calls per second. A watch counts as one call.
	writesPerSecond = 100
	readsPerSecond  = 2000
	// listLag is the delay until a change of a VM appears in the list of VMs.
	listLag = 2 * time.Second
	// watchLimit is the maximum duration of a watch.
	watchLimit = 30 * time.Second
)

// Faults configures the faults of the platform. The zero value injects none.
type Faults struct {
	Down               bool          // refuse every call
	Delay              time.Duration // added to every call
	LoseWriteResponses int           // drop the response of one in this many successful writes; 0 for none
	LoseNextResponses  int           // drop the responses of this many next successful writes
}

// Calls counts the calls that the platform served, those that it rate-limited, the write
// responses that it dropped and the bytes written.
type Calls struct {
	Reads, Writes, RateLimited, ResponsesLost, Bytes int64
}

// Platform is a stand-in for the object API and the list of VMs.
type Platform struct {
	server
	Unlimited bool // disables the rate limits

	mutex   sync.Mutex
	objects map[objectKey]protocol.Object
	version uint64 // number of the last revision
	changed chan struct{}
	faults  Faults
	calls   Calls
	vms     []vmChange
	reads   *rate.Limiter
	writes  *rate.Limiter
}

type objectKey struct{ kind, name string }

type vmChange struct {
	vm        protocol.VM
	visibleAt time.Time // when the list starts to show it
}

// Listen starts the platform at an address.
func (p *Platform) Listen(address string) error {
	p.reads = rate.NewLimiter(readsPerSecond, readsPerSecond)
	p.writes = rate.NewLimiter(writesPerSecond, writesPerSecond)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", p.serveGet)
	mux.HandleFunc("PUT /objects/{kind}/{name}", p.servePut)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", p.serveDelete)
	mux.HandleFunc("GET /objects/{kind}", p.serveList)
	mux.HandleFunc("GET /vms", p.serveVMs)
	mux.HandleFunc("POST /vms", p.serveSetVM)
	mux.HandleFunc("POST /faults", p.serveFaults)
	return p.listen(address, mux)
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = f
}

// Calls returns the counts so far.
func (p *Platform) Calls() Calls {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls
}

// SetVM adds or updates a VM. The list shows the change after listLag.
func (p *Platform) SetVM(vm protocol.VM) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.vms = append(p.vms, vmChange{vm: vm, visibleAt: time.Now().Add(listLag)})
}

// admit applies the faults and the rate limit to a call. It returns false if it has
// refused the call or the caller has gone.
func (p *Platform) admit(w http.ResponseWriter, q *http.Request, limit *rate.Limiter, count *int64) bool {
	p.mutex.Lock()
	f := p.faults
	p.mutex.Unlock()
	if f.Delay > 0 && !p.sleep(q, f.Delay) {
		return false
	}
	if f.Down {
		http.Error(w, "platform is down", http.StatusServiceUnavailable)
		return false
	}
	if !p.Unlimited && !limit.Allow() {
		p.mutex.Lock()
		p.calls.RateLimited++
		p.mutex.Unlock()
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	p.mutex.Lock()
	*count++
	p.mutex.Unlock()
	return true
}

func (p *Platform) sleep(q *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-q.Context().Done():
		return false
	}
}

func keyOf(q *http.Request) objectKey {
	return objectKey{kind: q.PathValue("kind"), name: q.PathValue("name")}
}

func (p *Platform) serveGet(w http.ResponseWriter, q *http.Request) {
	if !p.admit(w, q, p.reads, &p.calls.Reads) {
		return
	}
	known, err := strconv.ParseUint(cmp.Or(q.URL.Query().Get("watch"), "0"), 10, 64)
	if err != nil {
		http.Error(w, "watch must be a version", http.StatusBadRequest)
		return
	}
	o, found := p.wait(q, keyOf(q), known, q.URL.Query().Has("watch"))
	switch {
	case !found:
		http.Error(w, "no such object", http.StatusNotFound)
	case q.URL.Query().Has("watch") && o.Version.Number == known:
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("ETag", etag(o.Version.Number))
		_, _ = w.Write(o.Value)
	}
}

// wait returns an object. For a watch it first waits until the version of the object
// differs from known, up to watchLimit.
func (p *Platform) wait(q *http.Request, k objectKey, known uint64, watch bool) (protocol.Object, bool) {
	limit := time.NewTimer(watchLimit)
	defer limit.Stop()
	for {
		p.mutex.Lock()
		o, found := p.objects[k]
		if p.changed == nil {
			p.changed = make(chan struct{})
		}
		changed, down := p.changed, p.faults.Down
		p.mutex.Unlock()
		if !watch || o.Version.Number != known || down {
			return o, found
		}
		select {
		case <-changed:
		case <-limit.C:
			return o, found
		case <-q.Context().Done():
			return o, found
		case <-p.done.Done():
			return o, found
		}
	}
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// expectedVersion returns the version that If-Match requires, or 0 if If-None-Match
// requires that the object does not exist. It returns false if neither is valid.
func expectedVersion(q *http.Request) (uint64, bool) {
	if q.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	tag := q.Header.Get("If-Match")
	if len(tag) < 2 {
		return 0, false
	}
	v, err := strconv.ParseUint(tag[1:len(tag)-1], 10, 64)
	return v, err == nil && v > 0
}

func (p *Platform) servePut(w http.ResponseWriter, q *http.Request) {
	if !p.admit(w, q, p.writes, &p.calls.Writes) {
		return
	}
	want, ok := expectedVersion(q)
	value, err := io.ReadAll(http.MaxBytesReader(w, q.Body, protocol.MaxObjectBytes))
	if !ok || err != nil {
		http.Error(w, "a write needs If-Match or If-None-Match and at most 1 MiB", http.StatusBadRequest)
		return
	}
	version, done := p.put(keyOf(q), want, value)
	if done && p.takeResponseLoss() {
		panic(http.ErrAbortHandler) // drop the response of a write that took effect
	}
	w.Header().Set("ETag", etag(version))
	if !done {
		http.Error(w, "the version is another", http.StatusPreconditionFailed)
	}
}

func (p *Platform) put(k objectKey, want uint64, value []byte) (uint64, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if current := p.objects[k].Version.Number; current != want {
		return current, false
	}
	if p.objects == nil {
		p.objects = map[objectKey]protocol.Object{}
	}
	p.version++
	p.calls.Bytes += int64(len(value))
	p.objects[k] = protocol.Object{Kind: k.kind, Name: k.name, Version: protocol.Revision{Number: p.version}, Value: value}
	p.wakeWatches()
	return p.version, true
}

func (p *Platform) wakeWatches() {
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
}

func (p *Platform) takeResponseLoss() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	lost := oneIn(p.faults.LoseWriteResponses)
	if p.faults.LoseNextResponses > 0 {
		p.faults.LoseNextResponses--
		lost = true
	}
	if lost {
		p.calls.ResponsesLost++
	}
	return lost
}

func (p *Platform) serveDelete(w http.ResponseWriter, q *http.Request) {
	if !p.admit(w, q, p.writes, &p.calls.Writes) {
		return
	}
	want, ok := expectedVersion(q)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if current := p.objects[keyOf(q)].Version.Number; !ok || current != want {
		http.Error(w, "the version is another", http.StatusPreconditionFailed)
		return
	}
	delete(p.objects, keyOf(q))
	p.wakeWatches()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveList(w http.ResponseWriter, q *http.Request) {
	if !p.admit(w, q, p.reads, &p.calls.Reads) {
		return
	}
	writeJSON(w, p.list(q.PathValue("kind")))
}

func (p *Platform) list(kind string) []protocol.Object {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := []protocol.Object{}
	for k, o := range p.objects {
		if k.kind == kind {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b protocol.Object) int { return cmp.Compare(a.Name, b.Name) })
	return found
}
