// SPDX-License-Identifier: Apache-2.0

package settings

import "time"

// Front holds the settings of an entry that forwards requests to endpoints which serve
// HTTP themselves. All addresses are IP:port; times are in milliseconds.
type Front struct {
	Name       string `json:"name" validate:"required"`
	DataCenter string `json:"data_center" validate:"required"`
	// DataCenters lists all data centers. Records that name another one are not used. It is
	// empty if the data centers are not known.
	DataCenters []string    `json:"data_centers" validate:"unique,dive,required"`
	Listen      FrontListen `json:"listen"`
	Store       string      `json:"store" validate:"required,hostname_port"`
	LogLevel    string      `json:"log_level" validate:"omitempty,oneof=debug info warn error"`
	// StopWithinMS is the time between SIGTERM and the kill of the process.
	StopWithinMS float64 `json:"stop_within_ms" validate:"gt=0"`
	// KeyWithdrawnMS is how long a key may still be used after its withdrawal.
	KeyWithdrawnMS float64 `json:"key_withdrawn_ms" validate:"gt=0"`
	// RetryShare and RetrySlack limit the retries of all entries together: a share of the
	// requests plus a fixed number.
	RetryShare float64 `json:"retry_share" validate:"gte=0,lte=1"`
	RetrySlack float64 `json:"retry_slack" validate:"gte=0"`
	// RetryWindowMS is the length of the window over which retries are counted.
	RetryWindowMS float64 `json:"retry_window_ms" validate:"gte=0"`
	// ChangePaths lets running requests resume on another path when a stage is lost.
	ChangePaths bool `json:"change_paths"`
	// MemoryMB is the memory that the process may use, including its socket buffers.
	MemoryMB float64 `json:"memory_mb" validate:"gte=0"`
	// Descriptors is the number of file descriptors that the process may have open, 0 if
	// unknown.
	Descriptors int `json:"descriptors" validate:"gte=0"`
}

// FrontListen holds the addresses on which a front serves callers, readiness probes of the
// load balancer, metrics and peers.
type FrontListen struct {
	Callers   string `json:"callers" validate:"required,hostname_port"`
	Readiness string `json:"readiness" validate:"required,hostname_port"`
	Metrics   string `json:"metrics" validate:"required,hostname_port"`
	// Peers is where other entries follow this one. If empty, the entry has no followers and
	// follows no entry.
	Peers string `json:"peers" validate:"omitempty,hostname_port"`
}

// StopBy returns when an entry that is told to stop now is killed.
func (f *Front) StopBy(now time.Time) time.Time { return now.Add(floatMilliseconds(f.StopWithinMS)) }

// RetryWindow returns when a retry made at that time leaves the window.
func (f *Front) RetryWindow(before time.Time) time.Time {
	return before.Add(floatMilliseconds(f.RetryWindowMS))
}

// KeyUsableUntil returns until when a key confirmed then may be used. It subtracts the share
// of the bound reserved for the request's own way to its endpoint.
func (f *Front) KeyUsableUntil(confirmed time.Time) time.Time {
	return confirmed.Add(floatMilliseconds(f.KeyWithdrawnMS * keyTrustShare))
}

const (
	// heapShare is the fraction of the memory for the heap, above which the garbage
	// collector works harder. The rest is for stacks and socket buffers.
	heapShare = 0.6
	// bufferShare is the fraction of the memory for request bodies and for answers to slow
	// callers, including socket buffers.
	bufferShare = 0.25
	// connectionKB is the memory of an idle caller connection in KiB: the stacks of two
	// goroutines, two buffers and the kernel's own memory.
	connectionKB = 24
	// connectionShare is the fraction of the memory that callers' connections may use.
	connectionShare = 0.4
	// callerDescriptors is the fraction of the descriptors for callers. Each of their
	// requests may need another one for its endpoint.
	callerDescriptors = 0.45
	// minConnections is the number of caller connections allowed regardless of how little memory
	// and how few descriptors are configured.
	minConnections = 64
)

// HeapLimitBytes returns the heap size above which the garbage collector works harder, 0 if the
// memory is unknown.
func (f *Front) HeapLimitBytes() int64 { return int64(f.MemoryMB * heapShare * (1 << 20)) }

// BufferLimitBytes returns how many bytes of answers and request bodies may be buffered, 0 if
// the memory is unknown.
func (f *Front) BufferLimitBytes() int64 { return int64(f.MemoryMB * bufferShare * (1 << 20)) }

// MaxConnections returns how many connections callers may have open together, 0 for no limit.
func (f *Front) MaxConnections() int {
	limit := 0.0
	if f.MemoryMB > 0 {
		limit = f.MemoryMB * connectionShare * (1 << 10) / connectionKB
	}
	if n := float64(f.Descriptors) * callerDescriptors; n > 0 && (limit == 0 || n < limit) {
		limit = n
	}
	if limit == 0 {
		return 0
	}
	return max(minConnections, int(limit))
}

// keyTrustShare is the fraction of the bound on withdrawn keys that an entry uses. The rest
// covers the time to read a request and forward it.
const keyTrustShare = 0.9

func floatMilliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
