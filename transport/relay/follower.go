// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"time"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
)

// follower is one entry that follows this one.
type follower struct {
	source *Source
	packer *packer
	socket *websocket.Conn
	known  []protocol.RelayMark // what it was told
	asks   chan uint64
	left   chan error // why it is not read from any more
}

// run reads the follower's questions.
func (f *follower) run(ctx context.Context) {
	for {
		_, b, err := f.socket.Read(ctx)
		if err != nil {
			f.left <- err
			return
		}
		a, err := protocol.DecodeRelayAsk(b)
		if err != nil {
			f.left <- err
			return
		}
		select {
		case f.asks <- a.Number:
		case <-ctx.Done():
			f.left <- ctx.Err()
			return
		}
	}
}

// serve writes changes as they come, and answers. The first frame is written even if
// there are none: it tells that the follower was taken.
func (f *follower) serve(ctx context.Context) error {
	for first := true; ; first = false {
		changed := f.source.mirror.Changed()
		var frame protocol.RelayFrame
		if err := f.fill(&frame); err != nil {
			return err
		}
		if first || len(frame.Runs) > 0 {
			if err := f.write(ctx, &frame); err != nil {
				return err
			}
			continue
		}
		select {
		case <-changed:
		case n := <-f.asks:
			// What came between is written first: an answer speaks of it.
			if err := f.fill(&frame); err != nil {
				return err
			}
			frame.Answer = f.answer(n)
			if err := f.write(ctx, &frame); err != nil {
				return err
			}
		case err := <-f.left:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// frameMost bounds the bytes of values in a frame, well below what one may be long.
const frameMost = protocol.MaxFrameBytes / 2

// fill puts the changes into a frame that the follower does not know. Whoever lacks more
// than a frame holds lists for itself.
func (f *follower) fill(frame *protocol.RelayFrame) error {
	bytes := 0
	for i := range f.known {
		mark := &f.known[i]
		run, ok := f.source.mirror.Since(mark.Kind, mark.At)
		if !ok {
			return errForgotten
		}
		if run.At <= mark.At {
			continue
		}
		out := protocol.RelayRun{Kind: mark.Kind, After: mark.At, At: run.At, Difference: run.Difference}
		for _, c := range run.Changes {
			change, err := f.packer.encode(c)
			if err != nil {
				return err
			}
			out.Changes = append(out.Changes, change)
			bytes += len(change.Value)
		}
		if bytes > frameMost {
			return errForgotten
		}
		frame.Runs = append(frame.Runs, out)
		mark.At = run.At
	}
	return nil
}

// answer says how fresh the knowledge here is.
func (f *follower) answer(number uint64) *protocol.RelayAnswer {
	c := f.source.passedOn().confirmed
	a := &protocol.RelayAnswer{Number: number, ConfirmedMS: -1, Version: c.version}
	if !c.at.IsZero() {
		a.ConfirmedMS = float64(time.Since(c.at)) / float64(time.Millisecond)
	}
	return a
}

func (f *follower) write(ctx context.Context, frame *protocol.RelayFrame) error {
	frame.FailedMS = -1
	if at := f.source.passedOn().failedAt; !at.IsZero() {
		frame.FailedMS = time.Since(at).Milliseconds()
	}
	ctx, cancel := context.WithTimeout(ctx, writeWithin)
	defer cancel()
	f.source.Counters.Add(metric.PeerFrames, 1)
	return write(ctx, f.socket, frame)
}

// errForgotten says that a follower has to list for itself.
var errForgotten = errors.New("the changes since what the follower knows are forgotten; it has to list")
