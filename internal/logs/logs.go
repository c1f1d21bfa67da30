// SPDX-License-Identifier: Apache-2.0

// Package logs writes structured log lines without ever holding a request up.
//
// Lines go into a bounded buffer that a goroutine writes out. When a reader
// stands still and the buffer is full, or one event comes more often than its
// budget, lines are dropped, counted, and the count is told in a line of its
// own:
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
	// bufferMost bounds the lines that wait to be written: a second at the
	// budget of all events.
	bufferMost = 1 << 20
	// writeEvery gathers lines, so that a line does not cost a system call.
	writeEvery = 100 * time.Millisecond
	// writeMost is how much is written at a time: a pipe takes so much whole, so
	// that a collector meets no half lines.
	writeMost = 4 << 10
)

// Writer is an io.Writer that never blocks. Set Out before Start.
type Writer struct {
	Out      io.Writer
	Counters *metric.Set // counts dropped lines, nil for nobody

	done    lifecycle.Done
	ended   lifecycle.Done
	mutex   sync.Mutex
	waiting bytes.Buffer
	dropped atomic.Int64
	news    chan struct{} // holds something while lines wait
}

// Start begins to write out.
func (w *Writer) Start() {
	w.news = make(chan struct{}, 1)
	go w.run()
}

// Close writes out what waits and ends, but not later than the deadline.
func (w *Writer) Close(deadline time.Time) {
	w.done.Close()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-w.ended.Done():
	case <-t.C:
	}
}

// Write takes one line, or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.waiting.Len()+len(line) > bufferMost {
		w.drop(1)
		return len(line), nil
	}
	if w.waiting.Len() == 0 {
		select {
		case w.news <- struct{}{}:
		default:
		}
	}
	return w.waiting.Write(line)
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
	defer w.ended.Close()
	for {
		select {
		case <-w.news:
		case <-w.done.Done():
			w.flush()
			return
		}
		t := time.NewTimer(writeEvery)
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
	lines := bytes.Clone(w.waiting.Bytes())
	w.waiting.Reset()
	w.mutex.Unlock()
	for len(lines) > 0 {
		piece := lines[:pieceEnd(lines)]
		lines = lines[len(piece):]
		if _, err := w.Out.Write(piece); err != nil {
			// There is nowhere left to tell it but the count.
			w.drop(int64(bytes.Count(piece, newline)))
		}
	}
}

var newline = []byte("\n")

// pieceEnd returns the end of the last whole line that fits into one write, or of
// the first line if that is longer.
func pieceEnd(lines []byte) int {
	if len(lines) <= writeMost {
		return len(lines)
	}
	if i := bytes.LastIndexByte(lines[:writeMost], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(lines, '\n'); i >= 0 {
		return i + 1
	}
	return len(lines)
}
