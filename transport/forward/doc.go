// SPDX-License-Identifier: Apache-2.0

// Package forward carries callers' requests to endpoints that answer HTTP
// themselves: engines that pass a request on among themselves along a path, and
// plain services.
//
// A Forwarder is an http.Handler. Each request is an exchange, which runs in the
// goroutine of its connection: it finds the route and the team, chooses a path,
// and alone decides. Each send to an endpoint is an attempt, a goroutine that only
// reads and writes its connection and tells the exchange what comes. A stream that
// falls silent is asked for elsewhere, after its last whole event, while the
// silent attempt stays open; the first to speak goes on. Before that, where stages of its
// path are lost, its first engine is ordered to replace them.
//
// Connections are the package's own: a request leaves on one connection and is
// never repeated by a library.
package forward
