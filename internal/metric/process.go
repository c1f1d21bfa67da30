// SPDX-License-Identifier: Apache-2.0

package metric

import (
	"runtime"
	"syscall"
	"time"
)

// Process holds the resource usage of the process: CPU seconds, heap bytes in use and
// goroutines.
type Process struct {
	CPUSeconds float64 `json:"cpu_seconds"`
	HeapBytes  uint64  `json:"heap_bytes"`
	Goroutines int     `json:"goroutines"`
}

// ReadProcess returns the current resource usage.
func ReadProcess() Process {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return Process{CPUSeconds: CPUTime().Seconds(), HeapBytes: m.HeapInuse, Goroutines: runtime.NumGoroutine()}
}

// CPUTime returns the CPU time used by the process.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
