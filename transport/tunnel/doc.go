// SPDX-License-Identifier: Apache-2.0

// Package tunnel connects to endpoints through other entries where this entry can't by itself.
//
// A Dialer makes all connections of an entry to endpoints. It connects by itself first. If that fails, or if
// the path to the endpoint is known to be cut, it asks another entry, whose Server connects and passes bytes
// in both directions. The connection behaves like one of its own: what is sent over it, how often and with
// which deadline stays with the entry that the caller is connected to.
//
//	c, err := dialer.Dial(ctx, address)
//	var failed *tunnel.DialError
//	if errors.As(err, &failed) && failed.Verdict() == tunnel.EndpointFailed { /* the endpoint is at fault */ }
//
// A tunnel is a WebSocket: a CBOR request with the endpoint's address, a CBOR answer, and then the bytes of
// the connection as binary messages. It serves one connection to an endpoint and ends with it.
package tunnel
