// SPDX-License-Identifier: Apache-2.0

// Package logs writes structured log lines without ever blocking a request.
//
// Lines go to a bounded buffer that a goroutine writes out. Lines are dropped and
// counted if the buffer is full because the reader is stalled, or if one event exceeds
// its budget. The number of dropped lines is logged in a line of its own:
//
//	w := &logs.Writer{Out: os.Stdout}
//	w.Start()
//	logger := slog.New(logs.NewHandler(w, slog.LevelInfo))
package logs

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/internal/metric"
)

const (
	// maxBufferBytes limits the buffered lines. It holds one second of output at the
	// budget of all events.
	maxBufferBytes = 1 << 20
	// flushInterval batches lines, so that not every line costs a system call.
	flushInterval = 100 * time.Millisecond
	// maxWriteBytes is the maximum size of one write. A pipe accepts this much atomically,
	// so a log collector does not see partial lines.
	maxWriteBytes = 4 << 10
)

// Writer is an io.Writer that never blocks. Set Out before Start.
type Writer struct {
	Out      io.Writer
	Counters *metric.Set // counts dropped lines; may be nil

	done    lifecycle.Done
	stopped lifecycle.Done
	mutex   sync.Mutex
	buffer  bytes.Buffer
	dropped atomic.Int64
	pending chan struct{} // holds an item while lines are buffered
}

// Start starts the goroutine that writes the buffered lines.
func (w *Writer) Start() {
	w.pending = make(chan struct{}, 1)
	go w.run()
}

// Close flushes the buffer and stops the writer. It returns at the deadline at the latest.
func (w *Writer) Close(deadline time.Time) {
	w.done.Close()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-w.stopped.Done():
	case <-t.C:
	}
}

// Write buffers a line, or drops it if the buffer is full.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.buffer.Len()+len(line) > maxBufferBytes {
		w.drop(1)
		return len(line), nil
	}
	if w.buffer.Len() == 0 {
		select {
		case w.pending <- struct{}{}:
		default:
		}
	}
	return w.buffer.Write(line)
}

// drop counts lines that are not written.
func (w *Writer) drop(lines int64) {
	w.dropped.Add(lines)
	if w.Counters != nil {
		w.Counters.Add(metric.LinesDropped, lines)
	}
}

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer w.stopped.Close()
	for {
		select {
		case <-w.pending:
		case <-w.done.Done():
			w.flush()
			return
		}
		t := time.NewTimer(flushInterval)
		select {
		case <-t.C:
		case <-w.done.Done():
		}
		t.Stop()
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mutex.Lock()
	lines := bytes.Clone(w.buffer.Bytes())
	w.buffer.Reset()
	w.mutex.Unlock()
	for len(lines) > 0 {
		chunk := lines[:chunkEnd(lines)]
		lines = lines[len(chunk):]
		if _, err := w.Out.Write(chunk); err != nil {
			// The error can't be logged, only counted.
			w.drop(int64(bytes.Count(chunk, newline)))
		}
	}
}

var newline = []byte("\n")

// chunkEnd returns the end of the last complete line that fits into one write, or of the first
// line if that is longer.
func chunkEnd(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if i := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(lines, '\n'); i >= 0 {
		return i + 1
	}
	return len(lines)
}
