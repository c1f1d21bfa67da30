// SPDX-License-Identifier: Apache-2.0

package protocol_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

func TestEveryKindHasAStatusAndARemedy(t *testing.T) {
	for _, k := range protocol.Kinds() {
		r := protocol.Refuse(k, "m")
		require.GreaterOrEqual(t, r.Status(), 400, k)
		require.NotEmpty(t, r.Remedy(), k)
		require.Contains(t, r.Error(), r.Remedy())
	}
}

func TestUnexpectedErrorMayHaveRun(t *testing.T) {
	r := protocol.AsRefusal(errors.New("surprise"))
	require.Equal(t, protocol.MayHaveRun, r.Outcome())
	require.Equal(t, protocol.Internal, r.Kind())
}

func TestRequestIDRoundTrip(t *testing.T) {
	id := protocol.NewRequestID()
	got, err := protocol.ParseRequestID(id.String())
	require.NoError(t, err)
	require.Equal(t, id, got)
	for _, bad := range []string{"", "r-", "r-zz", "00c0ffee", "r-0000000000000000"} {
		_, err := protocol.ParseRequestID(bad)
		require.Error(t, err, bad)
	}
}

func FuzzDecodeSteps(f *testing.F) {
	good, err := protocol.EncodeSteps(protocol.StepFrame{
		Steps:   []protocol.Step{{Request: 1, Attempt: 1, Count: 2, Span: protocol.Span{To: 3}, Tokens: []int32{1, 2}}},
		Cancels: []protocol.Cancel{{Request: 1, Attempt: 1}},
	})
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := protocol.DecodeSteps(b)
		if err != nil {
			return
		}
		for _, s := range frame.Steps {
			if s.Count <= 0 || s.Span.Layers() <= 0 || s.Span.From == 0 && len(s.Tokens) != s.Count {
				t.Fatalf("a malformed step was accepted: %+v", s)
			}
		}
		again, err := protocol.EncodeSteps(frame)
		require.NoError(t, err)
		_, err = protocol.DecodeSteps(again)
		require.NoError(t, err)
	})
}

func FuzzDecodeReplies(f *testing.F) {
	good, err := protocol.EncodeReplies(protocol.ReplyFrame{
		Replies: []protocol.Reply{{Request: 1, Attempt: 1, Count: 1, Span: protocol.Span{To: 3}, Hidden: make([]byte, 8)}},
		Report:  &protocol.LoadReport{Runner: "a"},
	})
	require.NoError(f, err)
	f.Add(good)
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := protocol.DecodeReplies(b)
		if err != nil {
			return
		}
		for _, r := range frame.Replies {
			if r.Fault == protocol.FaultNone && len(r.Hidden) != 0 && len(r.Hidden) != r.Count*protocol.HiddenStateBytes {
				t.Fatalf("a malformed reply was accepted: %+v", r)
			}
		}
	})
}

func FuzzDecodeClaims(f *testing.F) {
	good, err := protocol.EncodeClaims(protocol.ClaimBatch{Sequence: 3, Records: []protocol.ClaimRecord{{Claimant: 1}}})
	require.NoError(f, err)
	f.Add(good)
	f.Fuzz(func(t *testing.T, b []byte) {
		batch, err := protocol.DecodeClaims(b)
		if err != nil {
			return
		}
		for _, r := range batch.Records {
			if r.Kind > protocol.ClaimUncertain {
				t.Fatalf("an unknown record was accepted: %+v", r)
			}
		}
	})
}

func FuzzDecodeRelay(f *testing.F) {
	for _, m := range []protocol.RelayMessage{
		&protocol.RelayHello{Name: "e1", Known: []protocol.KindRevision{{Kind: "k", Revision: protocol.Revision{Number: 3}}}},
		&protocol.RelayRequest{Number: 7, HoldMS: 400},
		&protocol.RelayRequest{Losses: []protocol.LossReport{{Endpoint: "e", Observer: "w", Observation: protocol.LossSilent, AgoMS: 3}}},
		&protocol.RelayFrame{
			Deltas: []protocol.RelayDelta{{Kind: "k", After: protocol.Revision{Number: 3}, Revision: protocol.Revision{Number: 9}, Changes: []protocol.RelayChange{{Name: "o", Version: 4, Value: []byte("{}")}}}},
			Answer: &protocol.RelayAnswer{Number: 7, ConfirmedMS: 3.5, HeldMS: 120, Version: protocol.Revision{Number: 4}}, FailedMS: -1,
		},
	} {
		for _, form := range []protocol.RelayForm{protocol.RelayArrays, protocol.RelayMaps} {
			good, err := form.Encode(m)
			require.NoError(f, err)
			f.Add(good)
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		decodeRelay(t, protocol.RelayArrays, b)
		decodeRelay(t, protocol.RelayMaps, b)
	})
}

// decodeRelay decodes arbitrary bytes as each message and checks what is accepted.
func decodeRelay(t *testing.T, form protocol.RelayForm, b []byte) {
	if h, err := form.DecodeHello(b); err == nil && (h.Name == "" || len(h.Known) == 0) {
		t.Fatalf("a hello without a name or kinds was accepted: %+v", h)
	}
	if a, err := form.DecodeRequest(b); err == nil && !(a.HoldMS >= 0) {
		t.Fatalf("a delay of %v ms was accepted", a.HoldMS)
	}
	frame, err := form.DecodeFrame(b)
	if err != nil {
		return
	}
	for _, r := range frame.Deltas {
		if r.Kind == "" || !r.After.Before(r.Revision) {
			t.Fatalf("a delta that does not advance the revision was accepted: %+v", r)
		}
	}
	if a := frame.Answer; a != nil && (a.ConfirmedMS < 0 && a.ConfirmedMS != -1 || !(a.HeldMS >= 0)) {
		t.Fatalf("a confirmation in the future was accepted: %+v", a)
	}
}

func FuzzDecodePeer(f *testing.F) {
	good, err := protocol.EncodePeer(protocol.PeerFrame{
		Hello:         &protocol.Member{Name: "e1", Address: "127.0.0.1:1"},
		Heartbeat:     &protocol.PeerHeartbeat{Version: 3, LeavingVMs: []string{"v"}, VMListAgeMS: 1},
		Change:        &protocol.ConfigChange{Base: 1, Version: 2, Contents: map[string][]byte{"h": {1}}},
		ClaimRequests: []protocol.ClaimRequest{{ID: 1}},
		Work:          []protocol.WorkReport{{Work: protocol.Fingerprint{1}, Endpoint: "r", Observer: "e2", Observation: protocol.WorkBroke, AgoMS: 2}},
	})
	require.NoError(f, err)
	f.Add(good)
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := protocol.DecodePeer(b)
		if err != nil {
			return
		}
		if frame.Hello != nil && frame.Hello.Name == "" || frame.Change != nil && frame.Change.Base >= frame.Change.Version {
			t.Fatalf("a malformed frame was accepted: %+v", frame)
		}
		for _, w := range frame.Work {
			if w.Work.IsZero() || w.Endpoint == "" || w.Observer == "" || !w.Observation.Known() || !(w.AgoMS >= 0) {
				t.Fatalf("an invalid work report was accepted: %+v", w)
			}
		}
	})
}

// TestPeerFrameRejectsInvalidWorkReport invalidates one field of a report at a time.
func TestPeerFrameRejectsInvalidWorkReport(t *testing.T) {
	good := protocol.WorkReport{Work: protocol.Fingerprint{1}, Endpoint: "r", Observer: "e2", Observation: protocol.WorkBroke, AgoMS: 2}
	decode := func(w protocol.WorkReport) error {
		b, err := protocol.EncodePeer(protocol.PeerFrame{Work: []protocol.WorkReport{w}})
		require.NoError(t, err)
		_, err = protocol.DecodePeer(b)
		return err
	}
	require.NoError(t, decode(good))
	for _, change := range []func(*protocol.WorkReport){
		func(w *protocol.WorkReport) { w.Work = protocol.Fingerprint{} },
		func(w *protocol.WorkReport) { w.Endpoint = "" },
		func(w *protocol.WorkReport) { w.Observer = "" },
		func(w *protocol.WorkReport) { w.Observation = 0 },
		func(w *protocol.WorkReport) { w.Observation = 200 },
		func(w *protocol.WorkReport) { w.Incarnation = -1 },
		func(w *protocol.WorkReport) { w.AgoMS = -1 },
	} {
		w := good
		change(&w)
		require.Error(t, decode(w), "%+v", w)
	}
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := protocol.ParseChat(b)
		if err != nil {
			require.Equal(t, protocol.NotRun, protocol.AsRefusal(err).Outcome())
			return
		}
		if r.TokenLimit() <= 0 || len(r.Prompt()) == 0 {
			t.Fatalf("an empty request was accepted: %+v", r)
		}
	})
}

// BenchmarkBeat measures one heartbeat: its encoded size, and the time to encode and decode it.
func BenchmarkBeat(b *testing.B) {
	beat := protocol.PeerFrame{Heartbeat: &protocol.PeerHeartbeat{Version: 123456, Leaving: []string{"runner-17", "runner-4711"}}}
	size := 0
	for b.Loop() {
		frame, err := protocol.EncodePeer(beat)
		if err == nil {
			_, err = protocol.DecodePeer(frame)
		}
		if err != nil {
			b.Fatal(err)
		}
		size = len(frame)
	}
	b.ReportMetric(float64(size), "B")
}

func FuzzDecodeTunnel(f *testing.F) {
	request, _ := protocol.EncodeTunnelRequest(&protocol.TunnelRequest{Name: "one", Address: "10.0.0.1:80"})
	answer, _ := protocol.EncodeTunnelAnswer(&protocol.TunnelAnswer{Outcome: protocol.TunnelCutOff, Peer: "two"})
	f.Add(request)
	f.Add(answer)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := protocol.DecodeTunnelRequest(b); err == nil && (r.Name == "" || r.Address == "") {
			t.Fatal("accepted a request without name or address")
		}
		if a, err := protocol.DecodeTunnelAnswer(b); err == nil && a.Outcome.String() == "invalid" {
			t.Fatal("accepted an outcome without meaning")
		}
	})
}
