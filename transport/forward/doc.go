// SPDX-License-Identifier: Apache-2.0

// Package forward is a reverse proxy for endpoints that answer HTTP themselves: engines that pass a
// request along a path of further engines, and plain services.
//
// A Forwarder is an http.Handler. Each request is an exchange, which runs in the goroutine of its
// connection. The exchange finds the route and the team, chooses a path and makes every decision.
// Each attempt to send the request to an endpoint has a goroutine of its own, which only reads and
// writes its connection and passes what it receives to the exchange. If stages of the path of a
// silent stream are lost, the exchange first orders the path's first engine to replace them.
// Otherwise it hedges: it requests the rest of the stream, after the last whole event, from another
// endpoint while the silent attempt stays open, and continues with the attempt that delivers an
// event first.
//
// The package keeps its own connections, because the connections of net/http may repeat a request
// on their own.
package forward
