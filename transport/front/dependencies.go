// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"net"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/era"
	"pinerun.example/pinerun/transport/director"
	"pinerun.example/pinerun/transport/forward"
	"pinerun.example/pinerun/transport/watch"
)

// Dependencies is everything that a front uses of one platform.
type Dependencies struct {
	Objects      Objects
	Eras         *era.Tracker // of the store that Objects calls; nil if it names no eras
	Engines      Engines
	Headers      forward.HeaderCodec
	Decoder      Decoder
	RoutingKind  string
	RoutingName  string
	EndpointKind string
	// DialEndpoint connects to the address of an endpoint. If it is nil, connections are over TCP.
	DialEndpoint func(ctx context.Context, address string) (net.Conn, error)
}

// Objects is the platform's object store.
type Objects interface {
	watch.Source
	director.Objects
	// ListStale returns the objects of a kind as the platform held them some seconds ago.
	ListStale(ctx context.Context, kind string) (protocol.Listing, error)
	// PageStale returns the first page of ListStale that follows a name.
	PageStale(ctx context.Context, kind, after string) (protocol.Page, error)
	// GetStale returns an object as the platform held it some seconds ago.
	GetStale(ctx context.Context, kind, name string) (protocol.Object, error)
	// Delete removes an object if its version is the known one.
	Delete(ctx context.Context, kind, name string, known protocol.Revision) error
}

// Engines is the client of the model engines.
type Engines interface {
	forward.Reporter
	forward.PathChanger
	forward.Prober
	director.Engines
	// Identify asks the process at an address for the name of its endpoint, at the health path of
	// the service. It returns "" if the response does not name one.
	Identify(ctx context.Context, address, path string) (string, error)
	// DialWith sets how connections to engines are made. It is called before any other method.
	DialWith(dial func(ctx context.Context, address string) (net.Conn, error))
}

// Decoder decodes the objects of the platform.
type Decoder interface {
	// Routing decodes a routing table.
	Routing(o protocol.Object) (protocol.Routing, error)
	// Endpoint decodes an endpoint record.
	Endpoint(o protocol.Object) (protocol.Endpoint, error)
}
