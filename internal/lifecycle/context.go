// SPDX-License-Identifier: Apache-2.0

package lifecycle

import "context"

// Context returns a context that is cancelled when the piece ends, for calls that
// would outlast it. The caller cancels it when it needs it no longer.
func (d *Done) Context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go (&canceller{done: d.Done(), cancel: cancel}).run()
	return ctx, cancel
}

// canceller cancels a context when a piece ends.
type canceller struct {
	done   <-chan struct{}
	cancel context.CancelFunc
}

func (c *canceller) run() {
	<-c.done
	c.cancel()
}
