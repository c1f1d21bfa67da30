// SPDX-License-Identifier: Apache-2.0

package protocol

// Member is an entry as known to its peers. Incarnation is random for each start, so that
// a restarted entry is distinguished from its predecessor.
type Member struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	DataCenter  string
	Region      string
	Address     string // IP:port for peers
	Incarnation uint64
}

// PeerHeartbeat is what an entry sends to each peer once a second.
type PeerHeartbeat struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64   // of the configuration in force
	Leaving     []string // runners known to be leaving
	LeavingVMs  []string // VMs that the platform lists as leaving
	VMListAgeMS int64    // milliseconds since the VM list was read, 0 if never
	Stopping    bool     // the sender accepts no new work
}

// ConfigChange updates a configuration from version Base to Version. A change with
// Base 0 holds the complete configuration. Contents has the parts that the receiver may
// not know, by hash.
type ConfigChange struct {
	_        struct{} `cbor:",toarray"`
	Base     uint64
	Version  uint64
	Plan     string
	Author   string
	Set      []PartRef
	Removed  []PartRef
	Sum      string // HashPart of the JSON of the complete manifest
	Contents map[string][]byte
}

// ClaimRequest asks the entry that writes a shard to make a record durable.
type ClaimRequest struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Record ClaimRecord
}

// ClaimAnswer answers a ClaimRequest. Verdict is one of those in coordination/claim.
type ClaimAnswer struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Failed  bool // no verdict: the requesting entry must determine the result itself
	Verdict uint8
	Held    ClaimRecord
}

// PeerFrame is a message between entries. Any of its fields may be empty.
type PeerFrame struct {
	_             struct{} `cbor:",toarray"`
	Hello         *Member
	Heartbeat     *PeerHeartbeat
	Change        *ConfigChange
	WantConfig    bool // request for the receiver's complete configuration
	ClaimRequests []ClaimRequest
	ClaimAnswers  []ClaimAnswer
	Members       []Member
	Work          []WorkReport // observations of work that may crash runners
}

// peerFrameWithParts is a PeerFrame whose reports of work have parts. Entries of earlier versions can't read
// more elements than they know, so other frames have the form before.
type peerFrameWithParts struct {
	_             struct{} `cbor:",toarray"`
	Hello         *Member
	Heartbeat     *PeerHeartbeat
	Change        *ConfigChange
	WantConfig    bool
	ClaimRequests []ClaimRequest
	ClaimAnswers  []ClaimAnswer
	Members       []Member
	Work          []WorkReport
	WorkParts     []ReportParts
}

// peerFrameWithPartsHead begins each encoded peerFrameWithParts: an array of nine elements.
const peerFrameWithPartsHead = 0x89

// EncodePeer encodes a frame.
func EncodePeer(f PeerFrame) ([]byte, error) {
	parts := partsOf(f.Work)
	if len(parts) == 0 {
		return encoder.Marshal(f)
	}
	return encoder.Marshal(peerFrameWithParts{
		Hello: f.Hello, Heartbeat: f.Heartbeat, Change: f.Change, WantConfig: f.WantConfig, ClaimRequests: f.ClaimRequests,
		ClaimAnswers: f.ClaimAnswers, Members: f.Members, Work: f.Work, WorkParts: parts,
	})
}

// decodePeerForm decodes a frame of either form.
func decodePeerForm(b []byte) (PeerFrame, error) {
	if len(b) == 0 || b[0] != peerFrameWithPartsHead {
		var f PeerFrame
		err := decodeFrame("peer", b, &f)
		return f, err
	}
	var f peerFrameWithParts
	if err := decodeFrame("peer", b, &f); err != nil {
		return PeerFrame{}, err
	}
	if !setParts(f.Work, f.WorkParts) {
		return PeerFrame{}, &FrameError{kind: "peer"}
	}
	return PeerFrame{
		Hello: f.Hello, Heartbeat: f.Heartbeat, Change: f.Change, WantConfig: f.WantConfig, ClaimRequests: f.ClaimRequests,
		ClaimAnswers: f.ClaimAnswers, Members: f.Members, Work: f.Work,
	}, nil
}

// DecodePeer decodes and validates a frame.
func DecodePeer(b []byte) (PeerFrame, error) {
	f, err := decodePeerForm(b)
	if err != nil {
		return PeerFrame{}, err
	}
	if f.Hello != nil && (f.Hello.Name == "" || f.Hello.Address == "") {
		return PeerFrame{}, &FrameError{kind: "peer"}
	}
	if !validWork(f.Work) {
		return PeerFrame{}, &FrameError{kind: "peer"}
	}
	if f.Change != nil && (f.Change.Version == 0 || f.Change.Base >= f.Change.Version) {
		return PeerFrame{}, &FrameError{kind: "peer"}
	}
	for i := range f.ClaimRequests {
		if f.ClaimRequests[i].Record.Kind > ClaimUncertain {
			return PeerFrame{}, &FrameError{kind: "peer"}
		}
	}
	return f, nil
}
