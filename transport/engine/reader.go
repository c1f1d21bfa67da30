// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"log/slog"
	"time"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
)

// reader reads the reply frames of one connection until it breaks.
type reader struct {
	client *Client
	socket *websocket.Conn
	done   lifecycle.Done
	err    error // set before done closes
}

func (r *reader) run(ctx context.Context) {
	defer r.done.Close()
	for {
		_, b, err := r.socket.Read(ctx)
		if err != nil {
			r.err = err
			return
		}
		r.client.Runner.Heard(time.Now())
		f, err := protocol.DecodeReplies(b)
		if err != nil {
			r.client.Counters.Add(metric.FramesBroken, 1)
			event.FrameBroken.Log(r.client.Logger, slog.String("runner", r.client.Runner.Name()), slog.Any("cause", err))
			r.err = err
			return
		}
		for i := range f.Replies {
			r.client.deliver(f.Replies[i])
		}
		if f.Report != nil {
			r.client.applyReport(*f.Report)
		}
	}
}
