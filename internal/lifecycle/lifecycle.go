// SPDX-License-Identifier: Apache-2.0

// Package lifecycle provides done channels and change signals for long-lived components.
//
// A component embeds Done by value. Its goroutines return when the channel closes:
//
//	type Relay struct{ done lifecycle.Done }
//	func (r *Relay) run() { <-r.done.Done() }
//	func (r *Relay) Close() { r.done.Close() }
package lifecycle

import "sync"

// Done is a channel that is closed at most once. The zero value is open.
type Done struct {
	mutex  sync.Mutex
	ch     chan struct{}
	closed bool
}

// Done returns the channel that closes when Close is called.
func (d *Done) Done() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.channel()
}

// Close closes the channel and reports whether this call was the first.
func (d *Done) Close() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.closed {
		return false
	}
	d.closed = true
	close(d.channel())
	return true
}

// Closed reports whether Close was called.
func (d *Done) Closed() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.closed
}

func (d *Done) channel() chan struct{} {
	if d.ch == nil {
		d.ch = make(chan struct{})
	}
	return d.ch
}
