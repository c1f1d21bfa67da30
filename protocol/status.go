// SPDX-License-Identifier: Apache-2.0

package protocol

// FleetStatus is what one entry believes of the endpoints, for an operator to read.
type FleetStatus struct {
	Entry      string           `json:"entry"`
	DataCenter string           `json:"data_center"`
	Routing    uint64           `json:"routing_version"` // 0 before the first table
	Endpoints  []EndpointStatus `json:"endpoints"`       // in order of ID
	// Waiting is who waits at this entry for room at engines, in order of service, priority and team.
	Waiting []WaitingStatus `json:"waiting,omitempty"`
}

// WaitingStatus is the requests of one team and priority that wait for room at a service's engines.
type WaitingStatus struct {
	Service  string `json:"service"`
	Priority int    `json:"priority"` // 0 is the most urgent, -1 a stream that has begun
	Team     string `json:"team"`
	Requests int    `json:"requests"`
	OldestMS int64  `json:"oldest_ms"` // how long the first of them has waited
}

// EndpointStatus is what an entry believes of one endpoint.
type EndpointStatus struct {
	ID              string        `json:"id"`
	Service         string        `json:"service"`
	DataCenter      string        `json:"data_center"`
	Address         string        `json:"address"`
	Accelerator     string        `json:"accelerator,omitempty"`
	From            int           `json:"from"` // the layers held, none if To is not above
	To              int           `json:"to"`
	StartedMS       int64         `json:"started_ms,omitempty"` // Unix time of its start, if it tells
	State           EndpointState `json:"state"`
	Reason          RecordFault   `json:"reason,omitempty"`   // why its record can't be used
	AddressOwner    string        `json:"occupant,omitempty"` // who has its address instead
	Utilization     float64       `json:"fill"`               // part of its room for requests that is taken, as far as known
	OpenLayerPasses int64         `json:"open"`               // layer passes of this entry's requests under way there
	OrderedFrom     int           `json:"ordered_from"`       // what it was lately ordered to hold, as far as this entry knows,
	OrderedTo       int           `json:"ordered_to"`         // nothing if OrderedTo is not above
}

// EndpointState says whether an endpoint gets new work, or why it does not.
type EndpointState string

// The states of an endpoint.
const (
	EndpointServing  EndpointState = "serves"
	EndpointEmpty    EndpointState = "empty"    // it holds no layers
	EndpointLeaving  EndpointState = "leaves"   // it said so
	EndpointLost     EndpointState = "lost"     // it failed, or others found it dead
	EndpointSlow     EndpointState = "slow"     // its work takes longer than usual; it gets less
	EndpointEjected  EndpointState = "rests"    // left out for a moment after a failure or refusal
	EndpointUnusable EndpointState = "unusable" // its record names no endpoint to use
	// EndpointSuperseded says that another process has its address.
	EndpointSuperseded EndpointState = "superseded"
)
