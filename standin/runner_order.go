// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"net/http"

	"pinerun.example/pinerun/protocol"
)

// maxOrders is the number of most recent orders that an engine keeps for tests.
const maxOrders = 1024

// ReceivedOrder is an order that an engine received, and whether the engine refused it as
// outdated.
type ReceivedOrder struct {
	Order   protocol.Order `json:"order"`
	Refused bool           `json:"refused"`
}

func (r *Runner) serveOrder(w http.ResponseWriter, q *http.Request) {
	var o protocol.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, protocol.MaxFrameBytes)).Decode(&o); err != nil {
		http.Error(w, "not an order", http.StatusBadRequest)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	refused := !r.Unfenced && o.Fence < r.fence
	r.orders = append(r.orders, ReceivedOrder{Order: o, Refused: refused})
	r.orders = r.orders[max(0, len(r.orders)-maxOrders):]
	switch {
	case refused:
		http.Error(w, "fenced by a later order", http.StatusConflict)
	case o.Load != nil && (o.Load.From < 0 || o.Load.From >= o.Load.To || o.Load.To > r.Layers):
		http.Error(w, "not a span of the model", http.StatusBadRequest)
	default:
		r.applyOrder(&o)
		w.WriteHeader(http.StatusNoContent)
	}
}

// applyOrder carries out an order. The caller holds the mutex.
func (r *Runner) applyOrder(o *protocol.Order) {
	r.fence = max(r.fence, o.Fence)
	if o.Leave != nil {
		r.leaving = *o.Leave
	}
	if o.Load != nil {
		r.Spec.From, r.Spec.To, r.Spec.Epoch = o.Load.From, o.Load.To, o.Load.Epoch
		r.sequences = map[protocol.RequestID]*sequence{}
		r.prefixes = prefixCache{}
	}
}

func (r *Runner) serveOrders(w http.ResponseWriter, _ *http.Request) {
	r.mutex.Lock()
	orders := append([]ReceivedOrder{}, r.orders...)
	r.mutex.Unlock()
	writeJSON(w, orders)
}
