// SPDX-License-Identifier: Apache-2.0

package protocol

// The types in this file are the messages of the form RelayArrays, for entries of earlier versions. An
// array can't be read with more elements than expected, so none of them gets another field. They name no
// eras: their revisions are read as of era 0.

// RelayHelloArray is a RelayHello as an array.
type RelayHelloArray struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Known       []KindRevisionArray
	ReportsOnly bool
}

// KindRevisionArray is a KindRevision as an array.
type KindRevisionArray struct {
	_        struct{} `cbor:",toarray"`
	Kind     string
	Revision uint64
}

// RelayRequestArray is a RelayRequest as an array.
type RelayRequestArray struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	HoldMS float64
	Losses []LossReport
	Slow   []SlownessReport
	Work   []WorkReport
	Rates  []RateReport
}

// RelayFrameArray is a RelayFrame as an array.
type RelayFrameArray struct {
	_        struct{} `cbor:",toarray"`
	Deltas   []RelayDeltaArray
	Answer   *RelayAnswerArray
	FailedMS int64
	Losses   []LossReport
	Slow     []SlownessReport
	Work     []WorkReport
	Rates    []RateReport
}

// RelayDeltaArray is a RelayDelta as an array.
type RelayDeltaArray struct {
	_        struct{} `cbor:",toarray"`
	Kind     string
	After    uint64
	Revision uint64
	ListDiff bool
	Snapshot bool
	Changes  []RelayChange
	Packed   []byte
}

// RelayAnswerArray is a RelayAnswer as an array.
type RelayAnswerArray struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64
	ConfirmedMS float64
	HeldMS      float64
	Version     uint64
	Unsent      *RelayDeltaArray
}

// relayRequestWithoutRates is a RelayRequestArray without reports of rate limits. The entries of still
// earlier versions know no other.
type relayRequestWithoutRates struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	HoldMS float64
	Losses []LossReport
	Slow   []SlownessReport
	Work   []WorkReport
}

// relayFrameWithoutRates is a RelayFrameArray without reports of rate limits, for the same reason.
type relayFrameWithoutRates struct {
	_        struct{} `cbor:",toarray"`
	Deltas   []RelayDeltaArray
	Answer   *RelayAnswerArray
	FailedMS int64
	Losses   []LossReport
	Slow     []SlownessReport
	Work     []WorkReport
}

func (h *RelayHelloArray) array() any { return h }

// array leaves out the reports of rate limits if there are none.
func (r *RelayRequestArray) array() any {
	if len(r.Rates) > 0 {
		return r
	}
	return &relayRequestWithoutRates{Number: r.Number, HoldMS: r.HoldMS, Losses: r.Losses, Slow: r.Slow, Work: r.Work}
}

// array leaves out the reports of rate limits if there are none.
func (f *RelayFrameArray) array() any {
	if len(f.Rates) > 0 {
		return f
	}
	return &relayFrameWithoutRates{Deltas: f.Deltas, Answer: f.Answer, FailedMS: f.FailedMS, Losses: f.Losses, Slow: f.Slow, Work: f.Work}
}

func (h *RelayHello) array() any {
	a := &RelayHelloArray{Name: h.Name, ReportsOnly: h.ReportsOnly}
	for _, k := range h.Known {
		a.Known = append(a.Known, KindRevisionArray{Kind: k.Kind, Revision: k.Revision.Number})
	}
	return a
}

func (r *RelayRequest) array() any {
	a := &RelayRequestArray{Number: r.Number, HoldMS: r.HoldMS, Losses: r.Losses, Slow: r.Slow, Work: r.Work, Rates: r.Rates}
	return a.array()
}

func (f *RelayFrame) array() any {
	var deltas []RelayDeltaArray
	for i := range f.Deltas {
		deltas = append(deltas, *f.Deltas[i].array())
	}
	a := &RelayFrameArray{
		Deltas: deltas, Answer: f.Answer.array(), FailedMS: f.FailedMS, Losses: f.Losses, Slow: f.Slow, Work: f.Work, Rates: f.Rates,
	}
	return a.array()
}

func (d *RelayDelta) array() *RelayDeltaArray {
	if d == nil {
		return nil
	}
	return &RelayDeltaArray{
		Kind: d.Kind, After: d.After.Number, Revision: d.Revision.Number, ListDiff: d.ListDiff, Snapshot: d.Snapshot, Changes: d.Changes, Packed: d.Packed,
	}
}

func (d *RelayDeltaArray) delta() *RelayDelta {
	if d == nil {
		return nil
	}
	return &RelayDelta{
		Kind: d.Kind, After: Revision{Number: d.After}, Revision: Revision{Number: d.Revision},
		ListDiff: d.ListDiff, Snapshot: d.Snapshot, Changes: d.Changes, Packed: d.Packed,
	}
}

func (a *RelayAnswer) array() *RelayAnswerArray {
	if a == nil {
		return nil
	}
	return &RelayAnswerArray{Number: a.Number, ConfirmedMS: a.ConfirmedMS, HeldMS: a.HeldMS, Version: a.Version.Number, Unsent: a.Unsent.array()}
}

func (a *RelayAnswerArray) answer() *RelayAnswer {
	if a == nil {
		return nil
	}
	return &RelayAnswer{Number: a.Number, ConfirmedMS: a.ConfirmedMS, HeldMS: a.HeldMS, Version: Revision{Number: a.Version}, Unsent: a.Unsent.delta()}
}

func decodeHelloArray(b []byte) (RelayHello, error) {
	var a RelayHelloArray
	if err := decodeFrame("relay hello", b, &a); err != nil {
		return RelayHello{}, err
	}
	h := RelayHello{Name: a.Name, ReportsOnly: a.ReportsOnly}
	for _, k := range a.Known {
		h.Known = append(h.Known, KindRevision{Kind: k.Kind, Revision: Revision{Number: k.Revision}})
	}
	return h, nil
}

func decodeRequestArray(b []byte) (RelayRequest, error) {
	var plain relayRequestWithoutRates
	if err := decodeFrame("relay ask", b, &plain); err == nil {
		return RelayRequest{Number: plain.Number, HoldMS: plain.HoldMS, Losses: plain.Losses, Slow: plain.Slow, Work: plain.Work}, nil
	}
	var a RelayRequestArray
	if err := decodeFrame("relay ask", b, &a); err != nil {
		return RelayRequest{}, err
	}
	return RelayRequest{Number: a.Number, HoldMS: a.HoldMS, Losses: a.Losses, Slow: a.Slow, Work: a.Work, Rates: a.Rates}, nil
}

func decodeFrameArray(b []byte) (RelayFrame, error) {
	var a RelayFrameArray
	var plain relayFrameWithoutRates
	if err := decodeFrame("relay", b, &plain); err == nil {
		a = RelayFrameArray{Deltas: plain.Deltas, Answer: plain.Answer, FailedMS: plain.FailedMS, Losses: plain.Losses, Slow: plain.Slow, Work: plain.Work}
	} else if err := decodeFrame("relay", b, &a); err != nil {
		return RelayFrame{}, err
	}
	f := RelayFrame{Answer: a.Answer.answer(), FailedMS: a.FailedMS, Losses: a.Losses, Slow: a.Slow, Work: a.Work, Rates: a.Rates}
	for i := range a.Deltas {
		f.Deltas = append(f.Deltas, *a.Deltas[i].delta())
	}
	return f, nil
}
