// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"time"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/mirror"
)

// follower is one entry that follows this one.
type follower struct {
	source *Source
	name   string
	packer *packer
	socket *websocket.Conn
	known  []protocol.RelayMark // what it was told
	asks   chan protocol.RelayAsk
	left   chan error // why it is not read from any more

	asked    *protocol.RelayAsk // that is not answered yet
	askedAt  time.Time
	heldTill time.Time // when it is answered at the latest
	toldAt   time.Time // the confirmation that was told last
	news     uint64    // number of the last news of losses that it was told
	paces    uint64    // number of the last news of slow endpoints that it was told
	work     uint64    // number of the last news of work that it was told
	ahead    uint64    // version of the confirmed object that an answer told
}

// run reads the follower's questions and news.
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
		f.source.hearAll(a.Losses, f.name)
		f.source.hearPaces(a.Slow, f.name)
		f.source.hearWork(a.Work, f.name)
		if a.Number == 0 {
			continue // it had only news to tell
		}
		select {
		case f.asks <- a:
		case <-ctx.Done():
			f.left <- ctx.Err()
			return
		}
	}
}

// newHeldTimer returns the timer for answers that are held back, which runs once one is. A timer
// that is due at once wakes its follower for nothing, and where many begin at the same time the
// race detector breaks: the runtime keeps one of its thread states for all timers of a test in
// virtual time and takes no lock when two goroutines meet timers that are due (8 of 48 test
// processes beside a load of 60 ended so, none of 48 since; go1.26.8).
func newHeldTimer() *time.Timer {
	t := time.NewTimer(holdMostMS * time.Millisecond)
	t.Stop()
	return t
}

// serve writes changes as they come, and answers. The first frame is written even if
// there are none: it tells that the follower was taken.
func (f *follower) serve(ctx context.Context) error {
	held := newHeldTimer()
	defer held.Stop()
	for first := true; ; first = false {
		changed := f.source.mirror.Changed()
		confirmed := f.source.confirmedChanges()
		news := f.source.news.queue.changed.Awaited()
		paces := f.source.paces.queue.changed.Awaited()
		work := f.source.quarantine.queue.changed.Awaited()
		frame, err := f.nextFrame()
		if err != nil {
			return err
		}
		if first || len(frame.Runs) > 0 || len(frame.Losses) > 0 || len(frame.Slow) > 0 || len(frame.Work) > 0 || frame.Answer != nil {
			if err := f.write(ctx, &frame); err != nil {
				return err
			}
			continue
		}
		select {
		case <-changed:
		case <-confirmed:
		case <-news:
		case <-paces:
		case <-work:
		case <-held.C:
		case a := <-f.asks:
			now := clock.Now()
			f.asked, f.askedAt = &a, now
			f.heldTill = now.Add(time.Duration(min(a.HoldMS, holdMostMS) * float64(time.Millisecond)))
			held.Reset(clock.Until(f.heldTill))
		case err := <-f.left:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// nextFrame returns a frame with all that the follower was not told yet. What came before an
// answer is written with it: the answer speaks of it.
func (f *follower) nextFrame() (protocol.RelayFrame, error) {
	frame := protocol.RelayFrame{Answer: f.answer(clock.Now())}
	if err := f.fill(&frame); err != nil {
		return frame, err
	}
	if err := f.addAhead(frame.Answer); err != nil {
		return frame, err
	}
	frame.Losses, f.news = f.source.news.since(f.news, f.name, clock.Now())
	frame.Slow, f.paces = f.source.paces.since(f.paces, f.name, clock.Now())
	frame.Work, f.work = f.source.quarantine.since(f.work, f.name, clock.Now())
	return frame, nil
}

// frameMost bounds the bytes of values in a frame, well below what one may be long.
const frameMost = protocol.MaxFrameBytes / 2

// fill puts the changes into a frame that the follower does not know, or the whole kind
// if the changes are forgotten. Whoever lacks more than a frame holds lists for itself.
func (f *follower) fill(frame *protocol.RelayFrame) error {
	bytes := 0
	for i := range f.known {
		mark := &f.known[i]
		out, err := f.since(mark)
		if err != nil {
			return err
		}
		if out.At <= mark.At {
			continue
		}
		bytes += length(&out)
		if bytes > frameMost {
			return errForgotten
		}
		frame.Runs = append(frame.Runs, out)
		mark.At = out.At
	}
	return nil
}

// since returns what the follower does not know of a kind, as it is sent.
func (f *follower) since(mark *protocol.RelayMark) (protocol.RelayRun, error) {
	run, ok := f.source.mirror.Since(mark.Kind, mark.At)
	switch {
	case !ok:
		return f.packer.whole(&f.source.mirror, mark.Kind, mark.At)
	case run.To <= mark.At:
		return protocol.RelayRun{At: mark.At}, nil
	default:
		return f.packer.encode(mark.Kind, run)
	}
}

// answer says how fresh the knowledge here is, once that is news to who asked or the
// answer was held back for as long as it may be. It returns nil before, and for none.
func (f *follower) answer(now time.Time) *protocol.RelayAnswer {
	if f.asked == nil {
		return nil
	}
	c := f.source.passedOn().confirmed
	if !c.at.After(f.toldAt) && now.Before(f.heldTill) {
		return nil
	}
	a := &protocol.RelayAnswer{
		Number: f.asked.Number, ConfirmedMS: -1, Version: c.object.Version, HeldMS: milliseconds(now.Sub(f.askedAt)),
	}
	if !c.at.IsZero() {
		a.ConfirmedMS = milliseconds(now.Sub(c.at))
	}
	f.asked = nil
	f.toldAt = c.at
	return a
}

// addAhead puts the confirmed object into an answer that speaks of a version which no run
// has told the follower of.
func (f *follower) addAhead(a *protocol.RelayAnswer) error {
	if a == nil {
		return nil
	}
	s := f.source
	held, _ := s.mirror.Object(s.ConfirmedKind, s.ConfirmedName)
	o := s.passedOn().confirmed.object
	if o.Version != a.Version || o.Version <= max(held.Version, f.ahead) {
		return nil
	}
	run, err := f.packer.encode(s.ConfirmedKind, mirror.Delta{After: held.Version, To: o.Version, Changes: []protocol.Change{{Object: o}}})
	if err != nil {
		return err
	}
	a.Ahead = &run
	f.ahead = o.Version
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (f *follower) write(ctx context.Context, frame *protocol.RelayFrame) error {
	frame.FailedMS = -1
	if at := f.source.passedOn().failedAt; !at.IsZero() {
		frame.FailedMS = clock.Since(at).Milliseconds()
	}
	ctx, cancel := context.WithTimeout(ctx, writeWithin)
	defer cancel()
	f.source.Counters.Add(metric.PeerFrames, 1)
	return write(ctx, f.socket, frame)
}

// errForgotten says that a follower has to list for itself.
var errForgotten = errors.New("the follower lacks more than a frame holds; it has to list")
