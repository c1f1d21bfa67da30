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

// An entry presents the key of another one's record in the header KeyHeader, after KeyPrefix.
const (
	KeyHeader = "Authorization"
	KeyPrefix = "Bearer "
)

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

// RelayHello is the first message of a follower. It has the follower's name and the revision of
// each kind that it knows. ReportsOnly means that the follower does not reach the platform
// either: it follows to receive the reports that entries exchange, even from an entry whose
// platform data is no more recent than its own.
type RelayHello struct {
	Name        string         `cbor:"1,keyasint"`
	Known       []KindRevision `cbor:"2,keyasint"`
	ReportsOnly bool           `cbor:"3,keyasint,omitempty"`
}

// KindRevision is the revision of a kind.
type KindRevision struct {
	Kind     string   `cbor:"1,keyasint"`
	Revision Revision `cbor:"2,keyasint"`
}

// RelayRequest asks how recent the data of the followed entry is. The answer may be delayed by up
// to HoldMS milliseconds until that changes. A message with Number 0 carries only reports and
// asks nothing. Losses, Slow, Work and Rates are the reports of the requesting entry about lost endpoints,
// slow endpoints, work under which endpoints may have crashed, and rate limits.
type RelayRequest struct {
	Number uint64           `cbor:"1,keyasint"`
	HoldMS float64          `cbor:"2,keyasint,omitempty"`
	Losses []LossReport     `cbor:"3,keyasint,omitempty"`
	Slow   []SlownessReport `cbor:"4,keyasint,omitempty"`
	Work   []WorkReport     `cbor:"5,keyasint,omitempty"`
	Rates  []RateReport     `cbor:"6,keyasint,omitempty"`
	// LostTable and WorkParts are not part of the form RelayArrays.
	LostTable *TableReport  `cbor:"7,keyasint,omitempty"`
	WorkParts []ReportParts `cbor:"8,keyasint,omitempty"` // set by Encode and applied by DecodeRequest
}

// RelayFrame is what the followed entry sends: changes as they arrive, and the answer to a
// RelayRequest.
type RelayFrame struct {
	Deltas []RelayDelta `cbor:"1,keyasint,omitempty"`
	Answer *RelayAnswer `cbor:"2,keyasint,omitempty"`
	// FailedMS is the time since the platform last failed to answer the sender, in
	// milliseconds, or -1 if it never failed.
	FailedMS int64            `cbor:"3,keyasint"`
	Losses   []LossReport     `cbor:"4,keyasint,omitempty"`
	Slow     []SlownessReport `cbor:"5,keyasint,omitempty"`
	Work     []WorkReport     `cbor:"6,keyasint,omitempty"`
	Rates    []RateReport     `cbor:"7,keyasint,omitempty"`
	// LostTable and WorkParts are not part of the form RelayArrays.
	LostTable *TableReport  `cbor:"8,keyasint,omitempty"`
	WorkParts []ReportParts `cbor:"9,keyasint,omitempty"` // set by Encode and applied by DecodeFrame
}

// TableReport is a routing table that the platform accepted and lost: it came back from a copy that
// lacks it. Version is the operator's version of the table, Packed the compressed (raw DEFLATE) object.
type TableReport struct {
	Version uint64 `cbor:"1,keyasint"`
	Packed  []byte `cbor:"2,keyasint"`
}

// EncodeTableReport encodes a TableReport.
func EncodeTableReport(r *TableReport) ([]byte, error) { return encoder.Marshal(r) }

// DecodeTableReport decodes a TableReport.
func DecodeTableReport(b []byte) (*TableReport, error) {
	var r TableReport
	if err := decodeFrame("table report", b, &r); err != nil {
		return nil, err
	}
	return &r, nil
}

// RelayDelta takes a follower that knows a kind at revision After to Revision. A ListDiff is
// the difference between two lists and applies only at exactly After. A Snapshot holds every
// object that existed at Revision, for a follower that knows none of them or other ones.
// A large delta has Packed, the compressed encoding (raw DEFLATE) of its changes, instead of
// Changes.
type RelayDelta struct {
	Kind     string        `cbor:"1,keyasint"`
	After    Revision      `cbor:"2,keyasint"`
	Revision Revision      `cbor:"3,keyasint"`
	ListDiff bool          `cbor:"4,keyasint,omitempty"`
	Snapshot bool          `cbor:"5,keyasint,omitempty"`
	Changes  []RelayChange `cbor:"6,keyasint,omitempty"`
	Packed   []byte        `cbor:"7,keyasint,omitempty"`
}

// RelayChange is a changed or deleted object. Its version is of the era of the delta's Revision.
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
	Number      uint64   `cbor:"1,keyasint"`
	ConfirmedMS float64  `cbor:"2,keyasint"`
	HeldMS      float64  `cbor:"3,keyasint,omitempty"`
	Version     Revision `cbor:"4,keyasint"`
	// Unsent holds the object itself if no delta has carried that version yet, because the
	// watch of the platform may have stalled.
	Unsent *RelayDelta `cbor:"5,keyasint,omitempty"`
}

// RelayForm is the encoding of the messages between an entry and its follower.
type RelayForm uint8

const (
	// RelayArrays encodes messages as arrays, without eras. Entries of earlier versions know no
	// other form.
	RelayArrays RelayForm = iota
	// RelayMaps encodes messages as maps with numbered fields. A reader skips the fields that it
	// does not know, so fields can be added.
	RelayMaps
)

// relayMapsProtocol is the WebSocket subprotocol of RelayMaps.
const relayMapsProtocol = "pinerun.relay.maps"

// RelaySubprotocols returns the WebSocket subprotocols that an entry offers and accepts.
func RelaySubprotocols() []string { return []string{relayMapsProtocol} }

// RelayFormOf returns the form of a connection with the negotiated subprotocol, "" for none.
func RelayFormOf(subprotocol string) RelayForm {
	if subprotocol == relayMapsProtocol {
		return RelayMaps
	}
	return RelayArrays
}

// HasEras reports whether messages of this form tell the era of a revision.
func (f RelayForm) HasEras() bool { return f == RelayMaps }

// RelayMessage is a message between an entry and its follower: a *RelayHello, *RelayRequest or
// *RelayFrame, or one of them as an array.
type RelayMessage interface {
	// array returns the message as an array.
	array() any
}

// Encode encodes a message.
func (f RelayForm) Encode(m RelayMessage) ([]byte, error) {
	if f == RelayArrays {
		return encoder.Marshal(m.array())
	}
	switch m := m.(type) {
	case *RelayRequest:
		r := *m
		r.WorkParts = partsOf(r.Work)
		return encoder.Marshal(&r)
	case *RelayFrame:
		frame := *m
		frame.WorkParts = partsOf(frame.Work)
		return encoder.Marshal(&frame)
	default:
		return encoder.Marshal(m)
	}
}

// EncodeRelayChanges encodes the changes of a delta, in the same way for every form.
func EncodeRelayChanges(c []RelayChange) ([]byte, error) { return encoder.Marshal(c) }

// DecodeRelayChanges decodes the changes of a delta.
func DecodeRelayChanges(b []byte) ([]RelayChange, error) {
	var c []RelayChange
	if err := decoder.Unmarshal(b, &c); err != nil {
		return nil, &FrameError{kind: "relay changes"}
	}
	return c, nil
}

// DecodeHello decodes and validates a RelayHello.
func (f RelayForm) DecodeHello(b []byte) (RelayHello, error) {
	var h RelayHello
	var err error
	if f == RelayArrays {
		h, err = decodeHelloArray(b)
	} else {
		err = decodeFrame("relay hello", b, &h)
	}
	if err != nil {
		return RelayHello{}, err
	}
	if h.Name == "" || len(h.Known) == 0 {
		return RelayHello{}, &FrameError{kind: "relay hello"}
	}
	return h, nil
}

// DecodeRequest decodes and validates a RelayRequest.
func (f RelayForm) DecodeRequest(b []byte) (RelayRequest, error) {
	var r RelayRequest
	var err error
	if f == RelayArrays {
		r, err = decodeRequestArray(b)
	} else {
		err = decodeFrame("relay ask", b, &r)
	}
	if err != nil {
		return RelayRequest{}, err
	}
	if !(r.HoldMS >= 0) || !validLosses(r.Losses) || !validSlowness(r.Slow) || !validWork(r.Work) || !setParts(r.Work, r.WorkParts) || !validRates(r.Rates) {
		return RelayRequest{}, &FrameError{kind: "relay ask"}
	}
	r.WorkParts = nil
	return r, nil
}

// DecodeFrame decodes and validates a RelayFrame. Each delta must advance the revision, and an answer
// must not lie in the future.
func (f RelayForm) DecodeFrame(b []byte) (RelayFrame, error) {
	var frame RelayFrame
	var err error
	if f == RelayArrays {
		frame, err = decodeFrameArray(b)
	} else {
		err = decodeFrame("relay", b, &frame)
	}
	if err != nil {
		return RelayFrame{}, err
	}
	for i := range frame.Deltas {
		if d := &frame.Deltas[i]; d.Kind == "" || !d.After.Before(d.Revision) {
			return RelayFrame{}, &FrameError{kind: "relay"}
		}
	}
	if !validLosses(frame.Losses) || !validSlowness(frame.Slow) || !validWork(frame.Work) || !setParts(frame.Work, frame.WorkParts) || !validRates(frame.Rates) {
		return RelayFrame{}, &FrameError{kind: "relay"}
	}
	if a := frame.Answer; a != nil && (!(a.ConfirmedMS >= 0 || a.ConfirmedMS == -1) || !(a.HeldMS >= 0)) {
		return RelayFrame{}, &FrameError{kind: "relay"}
	}
	frame.WorkParts = nil
	return frame, nil
}
