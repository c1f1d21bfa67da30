// SPDX-License-Identifier: Apache-2.0

package settings

import "time"

// Front is the settings of one entry that forwards to endpoints which answer
// HTTP themselves. All addresses are IP:port; times are milliseconds.
type Front struct {
	Name       string `json:"name" validate:"required"`
	DataCenter string `json:"data_center" validate:"required"`
	// DataCenters are all that there are. A record that names another one is not used;
	// empty when they are not known.
	DataCenters []string    `json:"data_centers" validate:"unique,dive,required"`
	Listen      FrontListen `json:"listen"`
	Store       string      `json:"store" validate:"required,hostname_port"`
	LogLevel    string      `json:"log_level" validate:"omitempty,oneof=debug info warn error"`
	// StopWithinMS is how long after SIGTERM the process is killed.
	StopWithinMS float64 `json:"stop_within_ms" validate:"gt=0"`
	// KeyWithdrawnMS is how long after its withdrawal a key may still be used.
	KeyWithdrawnMS float64 `json:"key_withdrawn_ms" validate:"gt=0"`
	// RetryShare and RetrySlack bound what all entries together may send to
	// further endpoints: a share of the requests, and a number beside.
	RetryShare float64 `json:"retry_share" validate:"gte=0,lte=1"`
	RetrySlack float64 `json:"retry_slack" validate:"gte=0"`
	// RetryWindowMS is the time over which the bound counts.
	RetryWindowMS float64 `json:"retry_window_ms" validate:"gte=0"`
	// ChangePaths has running requests go on over another path when a stage is lost.
	ChangePaths bool `json:"change_paths"`
	// MemoryMB is what the process may use, bytes in its sockets included.
	MemoryMB float64 `json:"memory_mb" validate:"gte=0"`
	// Descriptors is how many files and sockets the process may have open, 0 if that is
	// not known.
	Descriptors int `json:"descriptors" validate:"gte=0"`
}

// FrontListen is where a front serves callers, the balancer's questions whether
// it is ready, metrics, and its peers.
type FrontListen struct {
	Callers   string `json:"callers" validate:"required,hostname_port"`
	Readiness string `json:"readiness" validate:"required,hostname_port"`
	Metrics   string `json:"metrics" validate:"required,hostname_port"`
	// Peers is where other entries follow this one; without it none does, and it
	// follows none.
	Peers string `json:"peers" validate:"omitempty,hostname_port"`
}

// StopBy returns when an entry told to stop now is killed.
func (f *Front) StopBy(now time.Time) time.Time { return now.Add(fractions(f.StopWithinMS)) }

// RetryWindow returns when what was sent again before then counts no longer.
func (f *Front) RetryWindow(before time.Time) time.Time {
	return before.Add(fractions(f.RetryWindowMS))
}

// KeyUsableUntil returns until when a key that was known to be good then may be used,
// the share of the bound left for a request's own way to its endpoint taken off.
func (f *Front) KeyUsableUntil(confirmed time.Time) time.Time {
	return confirmed.Add(fractions(f.KeyWithdrawnMS * keyTrustShare))
}

const (
	// heapShare is the part of the memory at which the collector works harder; the rest
	// is for stacks and for bytes that wait in sockets.
	heapShare = 0.6
	// heldShare is the part of the memory for answers to callers who read slowly and for
	// request bodies, bytes in sockets included.
	heldShare = 0.25
	// connectionKB is the memory, in KiB, that a caller's connection takes at rest: two
	// goroutines' stacks, two buffers and the system's own.
	connectionKB = 24
	// connectionShare is the part of the memory that callers' connections may take.
	connectionShare = 0.4
	// callerDescriptors is the part of the descriptors for callers: each of their requests
	// may need one to an endpoint too.
	callerDescriptors = 0.45
	// connectionsLeast is how many callers' connections there may be however little memory
	// and however few descriptors the settings give.
	connectionsLeast = 64
)

// HeapLimitBytes returns the size of the heap from which the collector works harder, 0 if the
// memory is not known.
func (f *Front) HeapLimitBytes() int64 { return int64(f.MemoryMB * heapShare * (1 << 20)) }

// BufferLimitBytes returns how many bytes of answers and request bodies may be held, 0 if the memory
// is not known.
func (f *Front) BufferLimitBytes() int64 { return int64(f.MemoryMB * heldShare * (1 << 20)) }

// MaxConnections returns how many connections callers may have open together, 0 for any
// number.
func (f *Front) MaxConnections() int {
	most := 0.0
	if f.MemoryMB > 0 {
		most = f.MemoryMB * connectionShare * (1 << 10) / connectionKB
	}
	if n := float64(f.Descriptors) * callerDescriptors; n > 0 && (most == 0 || n < most) {
		most = n
	}
	if most == 0 {
		return 0
	}
	return max(connectionsLeast, int(most))
}

// keyTrustShare is the part of the bound on withdrawn keys that an entry uses:
// the rest covers the time in which a request is read and sent on.
const keyTrustShare = 0.9

func fractions(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
