// SPDX-License-Identifier: Apache-2.0

package protocol

// FleetStatus is the state of the endpoints as one entry knows it, for operators.
type FleetStatus struct {
	Entry      string           `json:"entry"`
	DataCenter string           `json:"data_center"`
	Routing    uint64           `json:"routing_version"` // 0 before the first table
	Endpoints  []EndpointStatus `json:"endpoints"`       // ordered by ID
	// Waiting lists the requests queued at this entry for engine capacity, ordered by service, priority and team.
	Waiting []WaitingStatus `json:"waiting,omitempty"`
}

// WaitingStatus describes the requests of one team and priority that wait for capacity at a service's engines.
type WaitingStatus struct {
	Service  string `json:"service"`
	Priority int    `json:"priority"` // 0 is the most urgent, -1 a stream that has begun
	Team     string `json:"team"`
	Requests int    `json:"requests"`
	OldestMS int64  `json:"oldest_ms"` // wait of the oldest request
}

// EndpointStatus is the state of one endpoint as an entry knows it.
type EndpointStatus struct {
	ID              string        `json:"id"`
	Service         string        `json:"service"`
	DataCenter      string        `json:"data_center"`
	Address         string        `json:"address"`
	Accelerator     string        `json:"accelerator,omitempty"`
	From            int           `json:"from"` // the layers held; none unless To is greater
	To              int           `json:"to"`
	StartedMS       int64         `json:"started_ms,omitempty"` // Unix time of its start, if reported
	State           EndpointState `json:"state"`
	Reason          RecordFault   `json:"reason,omitempty"`   // why its record can't be used
	AddressOwner    string        `json:"occupant,omitempty"` // the endpoint that has its address instead
	Utilization     float64       `json:"fill"`               // fraction of the request capacity in use, as far as known
	OpenLayerPasses int64         `json:"open"`               // layer passes of this entry's requests in progress at the endpoint
	OrderedFrom     int           `json:"ordered_from"`       // the layers it was last ordered to hold, as far as this entry knows;
	OrderedTo       int           `json:"ordered_to"`         // none unless OrderedTo is greater
	ReachedMS       *int64        `json:"reached_ms"`         // how long ago it last answered on a connection of this entry, null for never
}

// EndpointState says whether an endpoint gets new work, and if not, why.
type EndpointState string

// The states of an endpoint.
const (
	EndpointServing  EndpointState = "serves"
	EndpointEmpty    EndpointState = "empty"    // it holds no layers
	EndpointLeaving  EndpointState = "leaves"   // it announced that it is leaving
	EndpointLost     EndpointState = "lost"     // it failed, or other entries reported it lost
	EndpointSlow     EndpointState = "slow"     // its work takes longer than typical, so it gets less
	EndpointEjected  EndpointState = "rests"    // not used for a short time after a failure or refusal
	EndpointUnusable EndpointState = "unusable" // its record does not describe a usable endpoint
	// EndpointSuperseded means that another process has its address.
	EndpointSuperseded EndpointState = "superseded"
)
