// SPDX-License-Identifier: Apache-2.0

package protocol

// Order tells an engine what to be. It names the wanted state, so that giving it
// twice does no harm. Fence is the epoch of the lease under which it is given:
// an engine that checks refuses one below the highest that it has seen.
type Order struct {
	Fence uint64 `json:"fence"`
	// Leave says whether the engine is to take no new sequences; nil leaves that
	// as it is.
	Leave *bool `json:"leave,omitempty"`
	// Load, if not nil, names the layers to hold, under a load epoch of their own.
	Load *LayerLoad `json:"load,omitempty"`
}

// LayerLoad is a span of layers under a load epoch, which rises with each load.
type LayerLoad struct {
	From  int    `json:"from"`
	To    int    `json:"to"`
	Epoch uint64 `json:"epoch"`
}
