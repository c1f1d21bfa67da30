// SPDX-License-Identifier: Apache-2.0

// Package ratelimit divides the rate limit of an endpoint among the entries that send to it.
//
// An endpoint in need names in its answers how many requests a second it takes from all entries
// together. Each limit is divided into equal shares, each held by one entry: by all entries if the
// limit bears so many, otherwise by those that a hash of their names and the endpoint's puts first.
// (Far more entries than the limit would leave each less than one request in some seconds, and the
// single requests of all of them together more than the limit.) Entries know one another from their
// records in the platform, so no message decides which entry holds a share.
//
// Demand is uneven, and a share that its holder does not need is worth nothing to callers. So an
// entry with more requests than its share allows reports that, and a holder without requests lends
// its share to it for some seconds. From then on the holder itself uses nothing until the loan has
// expired everywhere. A share has one user at any time, whatever reports are late, lost, repeated or
// out of order, so that the shares in use never add up to more than the limit.
//
// A share fills a bucket of requests. The buckets of all entries together hold a few requests more
// than the limit of one second.
//
// A Tracker holds what one entry knows, without clock or network:
//
//	var tracker ratelimit.Tracker
//	tracker.SetMembers("entry-1", names)
//	report, change := tracker.RecordAnswer(target, limit, sentAt, now) // pass it on
//	change := tracker.Apply(report, now)                               // a report of another entry
//	if report, ok := tracker.Want(target, now); ok { /* pass it on */ }
//	for _, report := range tracker.Lend(now) { /* pass it on */ }
//	if tracker.TakeAll(targets, now) { /* send the request */ }
package ratelimit
