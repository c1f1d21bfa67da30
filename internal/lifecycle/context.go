// SPDX-License-Identifier: Apache-2.0

package lifecycle

import "context"

// Context returns a context that is cancelled when Close is called, for calls that would
// otherwise outlast the component. The caller cancels it when it is no longer needed.
func (d *Done) Context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go (&canceller{done: d.Done(), cancel: cancel}).run()
	return ctx, cancel
}

// canceller cancels a context when the done channel closes.
type canceller struct {
	done   <-chan struct{}
	cancel context.CancelFunc
}

func (c *canceller) run() {
	<-c.done
	c.cancel()
}
