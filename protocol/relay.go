// SPDX-License-Identifier: Apache-2.0

package protocol

// EntryRecord is what an entry writes of itself in the platform, under its name. Key
// is what an entry shows that wants to follow it.
type EntryRecord struct {
	Name       string `json:"-"`
	DataCenter string `json:"data_center"`
	Callers    string `json:"callers"`         // IP:port
	Peers      string `json:"peers,omitempty"` // IP:port, empty when it serves no peers
	Key        string `json:"key,omitempty"`
	Beat       uint64 `json:"beat"` // rises each time it is written
}

// RelayHello is the first frame of an entry that follows another one: who it is and
// up to which revision it knows each kind.
type RelayHello struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Known []RelayMark
}

// RelayMark is a revision of a kind.
type RelayMark struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	At   uint64
}

// RelayAsk asks how fresh the answering entry's knowledge is.
type RelayAsk struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// RelayFrame is what the followed entry sends: changes as they come, and an answer
// when it was asked.
type RelayFrame struct {
	_      struct{} `cbor:",toarray"`
	Runs   []RelayRun
	Answer *RelayAnswer
	// FailedMS is how long ago the platform last failed to answer the sender, in
	// milliseconds, or -1 when it never did.
	FailedMS int64
}

// RelayRun takes whoever knows a kind as it was at After to At; if it is the
// difference between two lists, only who knows exactly that.
type RelayRun struct {
	_          struct{} `cbor:",toarray"`
	Kind       string
	After      uint64
	At         uint64
	Difference bool
	Changes    []RelayChange
}

// RelayChange is a changed object, or one that went. Packed says that the value is
// compressed (raw DEFLATE).
type RelayChange struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version uint64
	Gone    bool
	Packed  bool
	Value   []byte
}

// RelayAnswer says how many milliseconds before it was written the sender last
// asked the platform for the object that both confirm, -1 when never, and which
// version it has; all changes up to it were sent before.
type RelayAnswer struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64
	ConfirmedMS float64
	Version     uint64
}

// EncodeRelay returns the bytes of a hello, an ask or a frame.
func EncodeRelay(message any) ([]byte, error) { return encoder.Marshal(message) }

// DecodeRelayHello reads a hello and checks its shape.
func DecodeRelayHello(b []byte) (RelayHello, error) {
	var h RelayHello
	if err := decodeFrame("relay hello", b, &h); err != nil {
		return RelayHello{}, err
	}
	if h.Name == "" || len(h.Known) == 0 {
		return RelayHello{}, &BrokenFrame{what: "relay hello"}
	}
	return h, nil
}

// DecodeRelayAsk reads an ask.
func DecodeRelayAsk(b []byte) (RelayAsk, error) {
	var a RelayAsk
	if err := decodeFrame("relay ask", b, &a); err != nil {
		return RelayAsk{}, err
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
	for i := range f.Runs {
		if r := &f.Runs[i]; r.Kind == "" || r.After >= r.At {
			return RelayFrame{}, &BrokenFrame{what: "relay"}
		}
	}
	if a := f.Answer; a != nil && !(a.ConfirmedMS >= 0 || a.ConfirmedMS == -1) {
		return RelayFrame{}, &BrokenFrame{what: "relay"}
	}
	return f, nil
}
