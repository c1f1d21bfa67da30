// SPDX-License-Identifier: Apache-2.0

package protocol

// EntryRecord is the record that an entry writes to the platform under its own name. An
// entry presents its Key to an entry that it wants to follow. The key survives restarts, so
// that entries which know an older record can still be followed at once.
type EntryRecord struct {
	Name          string `json:"-"`
	DataCenter    string `json:"data_center"`
	CallerAddress string `json:"callers"`         // IP:port
	PeerAddress   string `json:"peers,omitempty"` // IP:port, empty when the entry serves no peers
	Key           string `json:"key,omitempty"`
	// MemoryMB is the memory of the entry's VM. Larger VMs also have faster links, so
	// they are followed first.
	MemoryMB  float64 `json:"memory_mb,omitempty"`
	Heartbeat uint64  `json:"beat"` // increases with each write
}

// SeedEntries holds the records of the entries that all others try to follow. The entry that
// calls the platform for all others maintains it. A starting entry reads it instead of all
// records.
type SeedEntries struct {
	Entries []NamedEntry `json:"entries"`
}

// NamedEntry is the name and the record of an entry.
type NamedEntry struct {
	Name   string      `json:"name"`
	Record EntryRecord `json:"record"`
}

// RelayHello is the first frame of a follower. It has the follower's name and the revision of
// each kind that it knows. ReportsOnly means that the follower does not reach the platform
// either: it follows to receive the reports that entries exchange, even from an entry whose
// platform data is no more recent than its own.
type RelayHello struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Known       []KindRevision
	ReportsOnly bool
}

// KindRevision is the revision of a kind.
type KindRevision struct {
	_        struct{} `cbor:",toarray"`
	Kind     string
	Revision uint64
}

// RelayRequest asks how recent the data of the followed entry is. The answer may be delayed by up
// to HoldMS milliseconds until that changes. A frame with Number 0 carries only reports and
// asks nothing. Losses, Slow, Work and Rates are the reports of the requesting entry about lost endpoints,
// slow endpoints, work under which endpoints may have crashed, and rate limits.
type RelayRequest struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	HoldMS float64
	Losses []LossReport
	Slow   []SlownessReport
	Work   []WorkReport
	Rates  []RateReport
}

// RelayFrame is what the followed entry sends: changes as they arrive, and the answer to a
// RelayRequest.
type RelayFrame struct {
	_      struct{} `cbor:",toarray"`
	Deltas []RelayDelta
	Answer *RelayAnswer
	// FailedMS is the time since the platform last failed to answer the sender, in
	// milliseconds, or -1 if it never failed.
	FailedMS int64
	Losses   []LossReport
	Slow     []SlownessReport
	Work     []WorkReport
	Rates    []RateReport
}

// RelayDelta takes a follower that knows a kind at revision After to Revision. A ListDiff is
// the difference between two lists and applies only at exactly After. A Snapshot holds every
// object that existed at Revision, for a follower that knows none of them or other ones.
// A large delta has Packed, the compressed encoding (raw DEFLATE) of its changes, instead of
// Changes.
type RelayDelta struct {
	_        struct{} `cbor:",toarray"`
	Kind     string
	After    uint64
	Revision uint64
	ListDiff bool
	Snapshot bool
	Changes  []RelayChange
	Packed   []byte
}

// RelayChange is a changed or deleted object.
type RelayChange struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version uint64
	Deleted bool
	Value   []byte
}

// RelayAnswer answers a RelayRequest. ConfirmedMS is the time between the last read of the object
// that both entries use for confirmation and the writing of the answer, in milliseconds, or
// -1 if the object was never read. Version is the version that was read. The answer was
// delayed by HeldMS milliseconds.
type RelayAnswer struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64
	ConfirmedMS float64
	HeldMS      float64
	Version     uint64
	// Unsent holds the object itself if no delta has carried that version yet, because the
	// watch of the platform may have stalled.
	Unsent *RelayDelta
}

// EncodeRelay encodes a RelayHello, a RelayRequest, a RelayFrame or the changes of a delta.
func EncodeRelay(message any) ([]byte, error) {
	switch m := message.(type) {
	case RelayRequest:
		return EncodeRelay(&m)
	case *RelayRequest:
		if len(m.Rates) == 0 {
			message = m.withoutRates()
		}
	case RelayFrame:
		return EncodeRelay(&m)
	case *RelayFrame:
		if len(m.Rates) == 0 {
			message = m.withoutRates()
		}
	}
	return encoder.Marshal(message)
}

// relayRequestWithoutRates is a RelayRequest without reports of rate limits. Entries of earlier
// versions know no other, and an array of CBOR can't be read with more elements than expected.
type relayRequestWithoutRates struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	HoldMS float64
	Losses []LossReport
	Slow   []SlownessReport
	Work   []WorkReport
}

func (r *RelayRequest) withoutRates() *relayRequestWithoutRates {
	return &relayRequestWithoutRates{Number: r.Number, HoldMS: r.HoldMS, Losses: r.Losses, Slow: r.Slow, Work: r.Work}
}

// relayFrameWithoutRates is a RelayFrame without reports of rate limits, for the same reason.
type relayFrameWithoutRates struct {
	_        struct{} `cbor:",toarray"`
	Deltas   []RelayDelta
	Answer   *RelayAnswer
	FailedMS int64
	Losses   []LossReport
	Slow     []SlownessReport
	Work     []WorkReport
}

func (f *RelayFrame) withoutRates() *relayFrameWithoutRates {
	return &relayFrameWithoutRates{Deltas: f.Deltas, Answer: f.Answer, FailedMS: f.FailedMS, Losses: f.Losses, Slow: f.Slow, Work: f.Work}
}

// DecodeRelayChanges decodes the changes of a delta.
func DecodeRelayChanges(b []byte) ([]RelayChange, error) {
	var c []RelayChange
	if err := decoder.Unmarshal(b, &c); err != nil {
		return nil, &FrameError{kind: "relay changes"}
	}
	return c, nil
}

// DecodeRelayHello decodes and validates a RelayHello.
func DecodeRelayHello(b []byte) (RelayHello, error) {
	var h RelayHello
	if err := decodeFrame("relay hello", b, &h); err != nil {
		return RelayHello{}, err
	}
	if h.Name == "" || len(h.Known) == 0 {
		return RelayHello{}, &FrameError{kind: "relay hello"}
	}
	return h, nil
}

// DecodeRelayRequest decodes and validates a RelayRequest.
func DecodeRelayRequest(b []byte) (RelayRequest, error) {
	var a RelayRequest
	var plain relayRequestWithoutRates
	if err := decodeFrame("relay ask", b, &plain); err == nil {
		a = RelayRequest{Number: plain.Number, HoldMS: plain.HoldMS, Losses: plain.Losses, Slow: plain.Slow, Work: plain.Work}
	} else if err := decodeFrame("relay ask", b, &a); err != nil {
		return RelayRequest{}, err
	}
	if !(a.HoldMS >= 0) || !validLosses(a.Losses) || !validSlowness(a.Slow) || !validWork(a.Work) || !validRates(a.Rates) {
		return RelayRequest{}, &FrameError{kind: "relay ask"}
	}
	return a, nil
}

// DecodeRelayFrame decodes and validates a RelayFrame. Each delta must advance the revision,
// and an answer must not lie in the future.
func DecodeRelayFrame(b []byte) (RelayFrame, error) {
	var f RelayFrame
	var plain relayFrameWithoutRates
	if err := decodeFrame("relay", b, &plain); err == nil {
		f = RelayFrame{Deltas: plain.Deltas, Answer: plain.Answer, FailedMS: plain.FailedMS, Losses: plain.Losses, Slow: plain.Slow, Work: plain.Work}
	} else if err := decodeFrame("relay", b, &f); err != nil {
		return RelayFrame{}, err
	}
	for i := range f.Deltas {
		if r := &f.Deltas[i]; r.Kind == "" || r.After >= r.Revision {
			return RelayFrame{}, &FrameError{kind: "relay"}
		}
	}
	if !validLosses(f.Losses) || !validSlowness(f.Slow) || !validWork(f.Work) || !validRates(f.Rates) {
		return RelayFrame{}, &FrameError{kind: "relay"}
	}
	if a := f.Answer; a != nil && (!(a.ConfirmedMS >= 0 || a.ConfirmedMS == -1) || !(a.HeldMS >= 0)) {
		return RelayFrame{}, &FrameError{kind: "relay"}
	}
	return f, nil
}
