// SPDX-License-Identifier: Apache-2.0

package pressure

const (
	// maxInflightLimit is the limit in bytes of an endpoint about which nothing is known, and the
	// highest limit later. It is a few of the largest bodies that routing tables allow.
	maxInflightLimit = 32 << 20
	// minInflightLimit is the lowest limit in bytes, however often the endpoint fails: one large
	// request, or hundreds of typical ones.
	minInflightLimit = 1 << 20
	// inflightDecrease is the share of the bytes in flight that becomes the limit when an endpoint
	// fails. inflightIncrease is the share of each answered request by which the limit grows. The
	// limit falls fast and grows slowly, because a failure costs every request at the endpoint.
	inflightDecrease, inflightIncrease = 0.5, 0.1
)

// Inflight limits the bytes of this entry's requests that are in flight at an endpoint. Endpoints
// do not report how much memory they have, so the limit is learned: it falls when the endpoint
// breaks a connection while many bytes are in flight, and grows with the requests that it answers.
// The zero value is an endpoint about which nothing is known.
type Inflight struct {
	limit int64 // 0 for maxInflightLimit
	bytes int64
}

// Limit returns the limit in bytes.
func (f *Inflight) Limit() int64 {
	if f.limit == 0 {
		return maxInflightLimit
	}
	return f.limit
}

// Bytes returns the number of bytes in flight.
func (f *Inflight) Bytes() int64 { return f.bytes }

// Admits reports whether a request of n bytes may be sent. A single request always may.
func (f *Inflight) Admits(n int64) bool { return f.bytes == 0 || f.bytes+n <= f.Limit() }

// Sent records a request of n bytes.
func (f *Inflight) Sent(n int64) { f.bytes += n }

// Finished records that a request of n bytes is no longer at the endpoint. Broken means that the
// endpoint broke the connection.
func (f *Inflight) Finished(n int64, broken bool) {
	held := f.bytes
	f.bytes -= n
	switch {
	case !broken:
		f.limit = min(maxInflightLimit, f.Limit()+int64(inflightIncrease*float64(n)))
	case held > minInflightLimit:
		f.limit = min(f.Limit(), max(minInflightLimit, int64(inflightDecrease*float64(held))))
	}
}
