// SPDX-License-Identifier: Apache-2.0

package protocol

// Member is one entry as the others know it. Incarnation is drawn anew at each
// start, so that a replaced entry is told from the one before it.
type Member struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	DataCenter  string
	Region      string
	Address     string // IP:port for peers
	Incarnation uint64
}

// PeerHeartbeat is what an entry tells each peer once a second.
type PeerHeartbeat struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64   // of the configuration in force
	Leaving     []string // runners known to be leaving
	LeavingVMs  []string // VMs that the platform lists as leaving
	VMListAgeMS int64    // milliseconds since that list was read, 0 when it never was
	Stopping    bool     // the sender takes no new work any more
}

// ConfigChange takes a configuration from version Base to Version. A change
// whose Base is 0 holds everything. Contents has the parts that the receiver may
// not know, by hash.
type ConfigChange struct {
	_        struct{} `cbor:",toarray"`
	Base     uint64
	Version  uint64
	Plan     string
	Author   string
	Set      []PartRef
	Removed  []PartRef
	Sum      string // HashPart of the whole manifest's JSON
	Contents map[string][]byte
}

// ClaimRequest asks the entry that writes a shard to make a record durable.
type ClaimRequest struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Record ClaimRecord
}

// ClaimAnswer answers an ask. Verdict is one of coordination/claim.
type ClaimAnswer struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Failed  bool // no verdict: the asker must find out by itself
	Verdict uint8
	Held    ClaimRecord
}

// PeerFrame is one message between entries; any of its parts may be absent.
type PeerFrame struct {
	_             struct{} `cbor:",toarray"`
	Hello         *Member
	Heartbeat     *PeerHeartbeat
	Change        *ConfigChange
	WantConfig    bool // the receiver's whole configuration is wanted
	ClaimRequests []ClaimRequest
	ClaimAnswers  []ClaimAnswer
	Members       []Member
	Work          []WorkReport // what entries met of work that may end runners
}

// EncodePeer returns the frame's bytes.
func EncodePeer(f PeerFrame) ([]byte, error) { return encoder.Marshal(f) }

// DecodePeer reads a frame and checks its shape.
func DecodePeer(b []byte) (PeerFrame, error) {
	var f PeerFrame
	if err := decodeFrame("peer", b, &f); err != nil {
		return PeerFrame{}, err
	}
	if f.Hello != nil && (f.Hello.Name == "" || f.Hello.Address == "") {
		return PeerFrame{}, &FrameError{what: "peer"}
	}
	if !soundWork(f.Work) {
		return PeerFrame{}, &FrameError{what: "peer"}
	}
	if f.Change != nil && (f.Change.Version == 0 || f.Change.Base >= f.Change.Version) {
		return PeerFrame{}, &FrameError{what: "peer"}
	}
	for i := range f.ClaimRequests {
		if f.ClaimRequests[i].Record.Kind > ClaimUncertain {
			return PeerFrame{}, &FrameError{what: "peer"}
		}
	}
	return f, nil
}
