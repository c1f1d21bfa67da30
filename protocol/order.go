// SPDX-License-Identifier: Apache-2.0

package protocol

// Order sets the desired state of an engine. It is idempotent. Fence is the epoch of the
// lease under which the order is given; an engine that checks it rejects an order below
// the highest fence that it has seen.
type Order struct {
	Fence uint64 `json:"fence"`
	// Leave sets whether the engine stops accepting new sequences; nil leaves that unchanged.
	Leave *bool `json:"leave,omitempty"`
	// Load, if not nil, sets the layers to hold and their load epoch.
	Load *LayerLoad `json:"load,omitempty"`
}

// LayerLoad is a range of layers and its load epoch, which increases with each load.
type LayerLoad struct {
	From  int    `json:"from"`
	To    int    `json:"to"`
	Epoch uint64 `json:"epoch"`
}
