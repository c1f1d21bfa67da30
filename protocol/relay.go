// SPDX-License-Identifier: Apache-2.0

package protocol

// EntryRecord is what an entry writes of itself in the platform, under its name. Key
// is what an entry shows that wants to follow it. The entry keeps it over restarts, so
// that others which know an older record can follow at once.
type EntryRecord struct {
	Name          string `json:"-"`
	DataCenter    string `json:"data_center"`
	CallerAddress string `json:"callers"`         // IP:port
	PeerAddress   string `json:"peers,omitempty"` // IP:port, empty when it serves no peers
	Key           string `json:"key,omitempty"`
	// MemoryMB is the memory of the entry's VM. Larger VMs have faster links too, and
	// are followed first.
	MemoryMB  float64 `json:"memory_mb,omitempty"`
	Heartbeat uint64  `json:"beat"` // rises each time it is written
}

// SeedEntries are the records of the entries that all others try to follow, as the one that
// calls the platform for all keeps them there: who starts reads them in place of all records.
type SeedEntries struct {
	Entries []NamedEntry `json:"entries"`
}

// NamedEntry is the record of an entry with its name.
type NamedEntry struct {
	Name   string      `json:"name"`
	Record EntryRecord `json:"record"`
}

// RelayHello is the first frame of an entry that follows another one: who it is and
// up to which revision it knows each kind. NewsOnly says that it does not reach the platform
// either: it follows for what entries tell each other, also where what the platform holds is not
// known any better.
type RelayHello struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Known       []KindRevision
	ReportsOnly bool
}

// KindRevision is a revision of a kind.
type KindRevision struct {
	_        struct{} `cbor:",toarray"`
	Kind     string
	Revision uint64
}

// RelayRequest asks how fresh the answering entry's knowledge is. The answer may wait for
// news of that, up to HoldMS milliseconds. Losses are what the asking entry has to tell;
// with the number 0 that is all, and nothing is asked. Slow is news of slow endpoints, Work of work
// that endpoints may have ended under.
type RelayRequest struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	HoldMS float64
	Losses []LossReport
	Slow   []SlownessReport
	Work   []WorkReport
}

// RelayFrame is what the followed entry sends: changes as they come, and an answer
// when it was asked.
type RelayFrame struct {
	_      struct{} `cbor:",toarray"`
	Deltas []RelayDelta
	Answer *RelayAnswer
	// FailedMS is how long ago the platform last failed to answer the sender, in
	// milliseconds, or -1 when it never did.
	FailedMS int64
	Losses   []LossReport
	Slow     []SlownessReport
	Work     []WorkReport
}

// RelayDelta takes whoever knows a kind as it was at After to At; if it is the
// difference between two lists, only who knows exactly that. Whole says that it holds
// every object there was at At, for who knows none of them or something else. Long runs
// have Packed in place of Changes: their encoding, compressed (raw DEFLATE).
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

// RelayChange is a changed object, or one that went.
type RelayChange struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version uint64
	Deleted bool
	Value   []byte
}

// RelayAnswer says how many milliseconds before it was written the platform was last
// asked for the object that both confirm, -1 when never, and which version it had. The
// answer was held back for HeldMS milliseconds.
type RelayAnswer struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64
	ConfirmedMS float64
	HeldMS      float64
	Version     uint64
	// Unsent is the object itself if no run has told of that version yet: a watch of the
	// platform may be deaf.
	Unsent *RelayDelta
}

// EncodeRelay returns the bytes of a hello, an ask, a frame or the changes of a run.
func EncodeRelay(message any) ([]byte, error) { return encoder.Marshal(message) }

// DecodeRelayChanges reads the changes of a run.
func DecodeRelayChanges(b []byte) ([]RelayChange, error) {
	var c []RelayChange
	if err := decoder.Unmarshal(b, &c); err != nil {
		return nil, &FrameError{what: "relay changes"}
	}
	return c, nil
}

// DecodeRelayHello reads a hello and checks its shape.
func DecodeRelayHello(b []byte) (RelayHello, error) {
	var h RelayHello
	if err := decodeFrame("relay hello", b, &h); err != nil {
		return RelayHello{}, err
	}
	if h.Name == "" || len(h.Known) == 0 {
		return RelayHello{}, &FrameError{what: "relay hello"}
	}
	return h, nil
}

// DecodeRelayRequest reads an ask.
func DecodeRelayRequest(b []byte) (RelayRequest, error) {
	var a RelayRequest
	if err := decodeFrame("relay ask", b, &a); err != nil {
		return RelayRequest{}, err
	}
	if !(a.HoldMS >= 0) || !soundLosses(a.Losses) || !soundSlow(a.Slow) || !soundWork(a.Work) {
		return RelayRequest{}, &FrameError{what: "relay ask"}
	}
	return a, nil
}

// DecodeRelayFrame reads a frame and checks its shape: runs go forward, and no
// answer claims to be of the future.
func DecodeRelayFrame(b []byte) (RelayFrame, error) {
	var f RelayFrame
	if err := decodeFrame("relay", b, &f); err != nil {
		return RelayFrame{}, err
	}
	for i := range f.Deltas {
		if r := &f.Deltas[i]; r.Kind == "" || r.After >= r.Revision {
			return RelayFrame{}, &FrameError{what: "relay"}
		}
	}
	if !soundLosses(f.Losses) || !soundSlow(f.Slow) || !soundWork(f.Work) {
		return RelayFrame{}, &FrameError{what: "relay"}
	}
	if a := f.Answer; a != nil && (!(a.ConfirmedMS >= 0 || a.ConfirmedMS == -1) || !(a.HeldMS >= 0)) {
		return RelayFrame{}, &FrameError{what: "relay"}
	}
	return f, nil
}
