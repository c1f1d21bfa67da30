// SPDX-License-Identifier: Apache-2.0

// Package part gives each long-lived piece of a process its done channel.
//
// A piece embeds Done by value. Its goroutines end when the channel closes:
//
//	type Relay struct{ done part.Done }
//	func (r *Relay) run() { <-r.done.Done() }
//	func (r *Relay) Close() { r.done.Close() }
package lifecycle

import "sync"

// Done is closed at most once. The zero value is open.
type Done struct {
	mutex  sync.Mutex
	open   chan struct{}
	closed bool
}

// Done returns the channel that closes when the piece ends.
func (d *Done) Done() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.channel()
}

// Close ends the piece and reports whether this call was the first.
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
	if d.open == nil {
		d.open = make(chan struct{})
	}
	return d.open
}
