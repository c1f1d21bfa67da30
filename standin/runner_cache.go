// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// blockTokens is the number of prompt positions per cached prefix block.
	blockTokens = 16
	// maxBlocks is the maximum number of blocks in an engine's prefix cache.
	maxBlocks = 1024
	// maxEvents is the number of most recent cache events that an engine keeps.
	maxEvents = 4096
	// eventDelay is the delay until a cache event is published.
	eventDelay = 200 * time.Millisecond
	// lostEventOdds makes one in this many cache events get lost.
	lostEventOdds = 50
)

// CacheEvent reports that a block of a prompt prefix was stored or dropped. Numbers
// increase by one, so that a missing number reveals a lost event.
type CacheEvent struct {
	Number      uint64    `json:"number"`
	Block       uint64    `json:"block"`
	Dropped     bool      `json:"dropped"`
	publishedAt time.Time // when it becomes visible
}

// prefixCache stores the layer caches at the end of prompt prefixes that the engine has
// run, by the hash of the prefix's tokens.
type prefixCache struct {
	blocks map[uint64][]uint64
	order  []uint64
	events []CacheEvent
	number uint64
}

// store adds the prefix that a step has run. It stores only the first step of a prompt,
// and only if that step ends on a block boundary.
func (p *prefixCache) store(s *protocol.Step, seq *sequence) {
	if len(s.Tokens) == 0 || seq.positions%blockTokens != 0 || s.Position != 0 {
		return
	}
	hash := BlockHash(s.Tokens)
	if p.blocks == nil {
		p.blocks = map[uint64][]uint64{}
	}
	if _, ok := p.blocks[hash]; ok {
		return
	}
	p.blocks[hash] = slices.Clone(seq.caches)
	p.order = append(p.order, hash)
	p.publish(hash, false)
	if len(p.order) > maxBlocks {
		oldest := p.order[0]
		p.order = p.order[1:]
		delete(p.blocks, oldest)
		p.publish(oldest, true)
	}
}

func (p *prefixCache) publish(block uint64, dropped bool) {
	p.number++
	if rand.IntN(lostEventOdds) == 0 {
		return
	}
	p.events = append(p.events, CacheEvent{
		Number: p.number, Block: block, Dropped: dropped, publishedAt: time.Now().Add(eventDelay),
	})
	if len(p.events) > maxEvents {
		p.events = p.events[1:]
	}
}

// BlockHash returns the hash that identifies a prompt prefix.
func BlockHash(tokens []int32) uint64 {
	var h uint64
	for _, t := range tokens {
		h = mix(h, embed(t))
	}
	return h
}

// stepInput returns the input hidden state for the i-th position of a step.
func stepInput(s *protocol.Step, i int) uint64 {
	if s.Span.From == 0 {
		return embed(s.Tokens[i])
	}
	return littleEndian(s.Hidden[i*protocol.HiddenStateBytes:])
}

func (r *Runner) serveEvents(w http.ResponseWriter, q *http.Request) {
	after, err := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a number", http.StatusBadRequest)
		return
	}
	now := time.Now()
	r.mutex.Lock()
	visible := []CacheEvent{}
	for _, e := range r.prefixes.events {
		if e.Number > after && !now.Before(e.publishedAt) {
			visible = append(visible, e)
		}
	}
	r.mutex.Unlock()
	writeJSON(w, visible)
}

// kvCache is the wire format of an exported KV cache.
type kvCache struct {
	Attempt   uint32   `json:"attempt"`
	Positions int      `json:"positions"`
	From      int      `json:"from"`
	To        int      `json:"to"`
	Caches    []uint64 `json:"caches"`
}

func (r *Runner) serveExport(w http.ResponseWriter, q *http.Request) {
	id, err := protocol.ParseRequestID(q.PathValue("request"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.mutex.Lock()
	seq := r.sequences[id]
	var out kvCache
	if seq != nil {
		out = kvCache{
			Attempt: seq.attempt, Positions: seq.positions,
			From: r.Spec.From, To: r.Spec.To, Caches: slices.Clone(seq.caches),
		}
	}
	r.mutex.Unlock()
	if seq == nil {
		http.Error(w, "no cache of this request", http.StatusNotFound)
		return
	}
	writeJSON(w, out)
}

func (r *Runner) serveImport(w http.ResponseWriter, q *http.Request) {
	id, err := protocol.ParseRequestID(q.PathValue("request"))
	var in kvCache
	if err == nil {
		err = json.NewDecoder(http.MaxBytesReader(w, q.Body, protocol.MaxFrameBytes)).Decode(&in)
	}
	if err != nil || in.From != r.Spec.From || in.To != r.Spec.To || len(in.Caches) != in.To-in.From {
		http.Error(w, "not a cache of the layers held here", http.StatusBadRequest)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if seq := r.sequences[id]; seq != nil && seq.attempt > in.Attempt {
		http.Error(w, "fenced by a later attempt", http.StatusConflict)
		return
	}
	r.sequences[id] = &sequence{attempt: in.Attempt, positions: in.Positions, caches: in.Caches}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Runner) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, r.load())
}

func (r *Runner) serveExecutionLog(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, r.ExecutionLog.Entries())
}
