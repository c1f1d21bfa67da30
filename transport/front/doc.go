// SPDX-License-Identifier: Apache-2.0

// Package front implements an entry that forwards requests to endpoints that answer HTTP
// themselves.
//
// A Front assembles the components of the entry. It follows the operator's routing table and the
// endpoint records in the platform, forwards callers' requests, takes part in assigning layers to
// engines, and answers the load balancer. Everything specific to one platform is behind the
// interfaces of Dependencies, which package platform implements:
//
//	f := &front.Front{Settings: s, Dependencies: dependencies, Logger: logger}
//	if err := f.Start(); err != nil { ... }
//	<-terminated
//	f.Stop(time.Now())
package front
