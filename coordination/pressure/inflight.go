// SPDX-License-Identifier: Apache-2.0

package pressure

const (
	// inflightFirst is how many bytes of requests an endpoint is given before anything is
	// known of it, and the most that it is given later: a few of the largest bodies that
	// routing tables allow.
	inflightFirst = 32 << 20
	// inflightLeast is the least, in bytes, that it is given however often it fell over: one
	// large request, or hundreds of usual ones.
	inflightLeast = 1 << 20
	// inflightFall is the part of what it held that an endpoint is given after it fell over;
	// inflightGrowth is the part of each answered request by which the bound grows. It falls
	// fast and grows slowly, as a fall costs every request that the endpoint held.
	inflightFall, inflightGrowth = 0.5, 0.1
)

// Inflight bounds the bytes of this entry's requests that an endpoint holds at once. How much
// memory the endpoint has is not told, so the bound is learnt: it falls when the endpoint
// breaks a connection off while it holds many bytes, and grows with what it answers. The zero value is an endpoint of which nothing is known.
type Inflight struct {
	limit int64 // 0 for inflightFirst
	bytes int64
}

// Limit returns the bound in bytes.
func (f *Inflight) Limit() int64 {
	if f.limit == 0 {
		return inflightFirst
	}
	return f.limit
}

// Bytes returns how many bytes are in flight.
func (f *Inflight) Bytes() int64 { return f.bytes }

// Admits reports whether a request of n bytes may be sent. One alone always may.
func (f *Inflight) Admits(n int64) bool { return f.bytes == 0 || f.bytes+n <= f.Limit() }

// Sent notes a request of n bytes.
func (f *Inflight) Sent(n int64) { f.bytes += n }

// Finished notes that the endpoint does not hold a request of n bytes any more. Fell says that
// it broke the connection off.
func (f *Inflight) Finished(n int64, fell bool) {
	held := f.bytes
	f.bytes -= n
	switch {
	case !fell:
		f.limit = min(inflightFirst, f.Limit()+int64(inflightGrowth*float64(n)))
	case held > inflightLeast:
		f.limit = min(f.Limit(), max(inflightLeast, int64(inflightFall*float64(held))))
	}
}
