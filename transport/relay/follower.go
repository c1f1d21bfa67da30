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

// follower is the connection of one entry that follows this one.
type follower struct {
	source   *Source
	name     string
	encoder  *deltaEncoder
	socket   *websocket.Conn
	form     protocol.RelayForm
	known    []protocol.KindRevision // revisions that were sent
	requests chan protocol.RelayRequest
	readErr  chan error // receives the error that ended the reading

	request          *protocol.RelayRequest // not answered yet, nil for none
	askedAt          time.Time
	holdUntil        time.Time         // when the request is answered at the latest
	sentConfirmation time.Time         // time of the last confirmation that was sent
	lossesSent       uint64            // number of the last loss report that was sent
	slownessSent     uint64            // number of the last slowness report that was sent
	workSent         uint64            // number of the last work report that was sent
	ratesSent        uint64            // number of the last rate limit report that was sent
	lostSent         uint64            // version of the lost table that was last sent
	aheadVersion     protocol.Revision // version of the confirmed object that was last sent in an answer
}

// readLoop reads the follower's requests and reports.
func (f *follower) readLoop(ctx context.Context) {
	for {
		_, b, err := f.socket.Read(ctx)
		if err != nil {
			f.readErr <- err
			return
		}
		request, err := f.form.DecodeRequest(b)
		if err != nil {
			f.readErr <- err
			return
		}
		f.source.receiveLosses(request.Losses, f.name)
		f.source.receiveSlowness(request.Slow, f.name)
		f.source.receiveWork(request.Work, f.name)
		f.source.rateLimits.Receive(request.Rates, f.name)
		f.source.receiveTable(request.LostTable, f.name)
		if request.Number == 0 {
			continue // the message had reports only
		}
		select {
		case f.requests <- request:
		case <-ctx.Done():
			f.readErr <- ctx.Err()
			return
		}
	}
}

// newHoldTimer returns a stopped timer for delayed answers. A timer that is already due wakes its
// follower for nothing. It also crashes the race detector when many followers start at the same
// time: in virtual time the runtime keeps one thread state for all timers of a test and takes no
// lock when two goroutines meet due timers (8 of 48 test processes under a load of 60 crashed,
// none of 48 with a stopped timer; go1.26.8).
func newHoldTimer() *time.Timer {
	t := time.NewTimer(maxHoldMS * time.Millisecond)
	t.Stop()
	return t
}

// serve writes changes as they come, and answers. It writes the first frame even if it is empty, to
// signal to the follower that it was accepted.
func (f *follower) serve(ctx context.Context) error {
	holdTimer := newHoldTimer()
	defer holdTimer.Stop()
	for first := true; ; first = false {
		changed := f.source.mirror.Changed()
		confirmed := f.source.confirmationChanged()
		losses := f.source.losses.log.changed.Changed()
		slowness := f.source.slowness.log.changed.Changed()
		work := f.source.quarantine.log.changed.Changed()
		rates := f.source.rateLimits.log.changed.Changed()
		lost := f.source.lost.changed.Changed()
		frame, err := f.nextFrame()
		if err != nil {
			return err
		}
		if first || len(frame.Deltas) > 0 || len(frame.Losses) > 0 || len(frame.Slow) > 0 || len(frame.Work) > 0 || len(frame.Rates) > 0 || frame.LostTable != nil || frame.Answer != nil {
			if err := f.write(ctx, &frame); err != nil {
				return err
			}
			continue
		}
		select {
		case <-changed:
		case <-confirmed:
		case <-losses:
		case <-slowness:
		case <-work:
		case <-rates:
		case <-lost:
		case <-holdTimer.C:
		case a := <-f.requests:
			now := clock.Now()
			f.request, f.askedAt = &a, now
			f.holdUntil = now.Add(time.Duration(min(a.HoldMS, maxHoldMS) * float64(time.Millisecond)))
			holdTimer.Reset(clock.Until(f.holdUntil))
		case err := <-f.readErr:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// nextFrame returns a frame with everything that was not sent yet. An answer goes into the same
// frame as the changes that it refers to.
func (f *follower) nextFrame() (protocol.RelayFrame, error) {
	frame := protocol.RelayFrame{Answer: f.dueAnswer(clock.Now())}
	if err := f.addDeltas(&frame); err != nil {
		return frame, err
	}
	if err := f.addConfirmedObject(frame.Answer); err != nil {
		return frame, err
	}
	frame.Losses, f.lossesSent = f.source.losses.since(f.lossesSent, f.name, clock.Now())
	frame.Slow, f.slownessSent = f.source.slowness.since(f.slownessSent, f.name, clock.Now())
	frame.Work, f.workSent = f.source.quarantine.messagesFor(f.workSent, f.name, clock.Now())
	frame.Rates, f.ratesSent = f.source.rateLimits.ReportsSince(f.ratesSent, f.name, clock.Now())
	if f.form.HasEras() {
		if frame.LostTable = f.source.lost.since(f.lostSent); frame.LostTable != nil {
			f.lostSent = frame.LostTable.Version
		}
	}
	return frame, nil
}

// maxFrameValueBytes bounds the bytes of values in a frame, well below the longest frame.
const maxFrameValueBytes = protocol.MaxFrameBytes / 2

// addDeltas adds the changes that the follower lacks to a frame, or a snapshot of a kind if the
// changes are no longer in the history. A follower that lacks more than fits into a frame must list
// again.
func (f *follower) addDeltas(frame *protocol.RelayFrame) error {
	bytes := 0
	for i := range f.known {
		mark := &f.known[i]
		if err := f.checkEra(mark); err != nil {
			return err
		}
		delta, err := f.deltaFor(mark)
		if err != nil {
			return err
		}
		if !mark.Revision.Before(delta.Revision) {
			continue
		}
		bytes += valueBytes(&delta)
		if bytes > maxFrameValueBytes {
			return errExceedsFrame
		}
		frame.Deltas = append(frame.Deltas, delta)
		mark.Revision = delta.Revision
	}
	return nil
}

// assumeEras takes the revisions of a follower that knows no eras as those of the current ones.
func (f *follower) assumeEras() {
	if f.form.HasEras() {
		return
	}
	for i := range f.known {
		mark := &f.known[i]
		if !mark.Revision.IsZero() {
			mark.Revision.Era = f.source.mirror.Revision(mark.Kind).Era
		}
	}
}

// checkEra makes a follower that knows no eras list again after a restore of the platform: to such a
// follower the changes since would look older than what it has.
func (f *follower) checkEra(mark *protocol.KindRevision) error {
	if f.form.HasEras() || mark.Revision.IsZero() || mark.Revision.Era == f.source.mirror.Revision(mark.Kind).Era {
		return nil
	}
	return errEraUnknown
}

// deltaFor returns the changes of a kind that the follower lacks, in wire form.
func (f *follower) deltaFor(mark *protocol.KindRevision) (protocol.RelayDelta, error) {
	delta, ok := f.source.mirror.Since(mark.Kind, mark.Revision)
	switch {
	case !ok:
		return f.encoder.snapshot(&f.source.mirror, mark.Kind, mark.Revision)
	case !mark.Revision.Before(delta.To):
		return protocol.RelayDelta{Revision: mark.Revision}, nil
	default:
		return f.encoder.encode(mark.Kind, delta)
	}
}

// dueAnswer returns the answer to the open request once there is a newer confirmation than the
// follower knows, or holdUntil has passed. It returns nil before that and without a request.
func (f *follower) dueAnswer(now time.Time) *protocol.RelayAnswer {
	if f.request == nil {
		return nil
	}
	c := f.source.vouched(now)
	if !c.at.After(f.sentConfirmation) && now.Before(f.holdUntil) {
		return nil
	}
	a := &protocol.RelayAnswer{
		Number: f.request.Number, ConfirmedMS: -1, Version: c.object.Version, HeldMS: milliseconds(now.Sub(f.askedAt)),
	}
	if !c.at.IsZero() {
		a.ConfirmedMS = milliseconds(now.Sub(c.at))
	}
	f.request = nil
	f.sentConfirmation = c.at
	return a
}

// addConfirmedObject adds the confirmed object to an answer if its version was not sent to the
// follower yet.
func (f *follower) addConfirmedObject(a *protocol.RelayAnswer) error {
	if a == nil {
		return nil
	}
	s := f.source
	mirrored, _ := s.mirror.Object(s.ConfirmedKind, s.ConfirmedName)
	o := s.platformStatus().confirmed.object
	if o.Version.IsZero() || o.Version != a.Version || !protocol.LaterRevision(mirrored.Version, f.aheadVersion).Before(o.Version) {
		return nil
	}
	delta, err := f.encoder.encode(s.ConfirmedKind, mirror.Delta{After: mirrored.Version, To: o.Version, Changes: []protocol.Change{{Object: o}}})
	if err != nil {
		return err
	}
	a.Unsent = &delta
	f.aheadVersion = o.Version
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (f *follower) write(ctx context.Context, frame *protocol.RelayFrame) error {
	frame.FailedMS = -1
	if at := f.source.platformStatus().failedAt; !at.IsZero() {
		frame.FailedMS = clock.Since(at).Milliseconds()
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	f.source.Counters.Add(metric.PeerFrames, 1)
	return write(ctx, f.socket, f.form, frame)
}

// errEraUnknown says that the platform was restored and the follower knows no eras.
var errEraUnknown = errors.New("the platform was restored and the follower knows no eras; it has to list")

// errExceedsFrame says that the changes which a follower lacks do not fit into one frame.
var errExceedsFrame = errors.New("the follower lacks more than a frame holds; it has to list")
