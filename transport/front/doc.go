// SPDX-License-Identifier: Apache-2.0

// Package front is the whole of an entry that forwards to endpoints which answer
// HTTP themselves.
//
// A Front puts the parts together: it follows the operator's routing table and
// the endpoints' records in the platform, forwards callers' requests, takes part
// in giving engines their layers, and answers the balancer. What the outside
// calls things is behind the interfaces of Outside; package platform fills them
// in:
//
//	f := &front.Front{Settings: s, Outside: outside, Logger: logger}
//	if err := f.Start(); err != nil { ... }
//	<-terminated
//	f.Stop(time.Now())
package front
