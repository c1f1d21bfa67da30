// SPDX-License-Identifier: Apache-2.0

package protocol

// TunnelSubprotocol is the WebSocket subprotocol of a tunnel. An entry that does not offer tunnels has no
// such path.
const TunnelSubprotocol = "pinerun-tunnel-1"

// MaxTunnelChunk bounds the bytes of one message of a tunnel.
const MaxTunnelChunk = 16 << 10

// TunnelRequest is the first message of a tunnel: the entry Name asks another one to connect to an
// endpoint and to pass bytes in both directions, because it can't connect itself. All further messages are
// those bytes.
type TunnelRequest struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"` // IP:port of the endpoint
}

// TunnelAnswer answers a TunnelRequest. Only TunnelOpen is followed by anything.
type TunnelAnswer struct {
	Outcome TunnelOutcome `cbor:"1,keyasint"`
	// Peer is the name of an entry that recently connected to an endpoint for the answering one, "" for
	// none.
	Peer string `cbor:"2,keyasint,omitempty"`
}

// TunnelOutcome says what became of a TunnelRequest.
type TunnelOutcome uint8

// The outcomes. TunnelRefused and TunnelSilent are the endpoint's: it refused the connection or did not
// accept it in time, although the answering entry reaches another endpoint. With all others nothing is
// known of the endpoint.
const (
	TunnelOpen      TunnelOutcome = iota + 1 // connected
	TunnelRefused                            // the endpoint refused the connection
	TunnelSilent                             // the endpoint did not accept the connection in time
	TunnelCutOff                             // the answering entry does not reach endpoints itself
	TunnelBusy                               // it has no room for another tunnel
	TunnelNotServed                          // it is starting or stopping
	TunnelUnknown                            // it knows no endpoint at the address
)

// String returns the outcome as it appears in logs and metrics.
func (o TunnelOutcome) String() string {
	switch o {
	case TunnelOpen:
		return "open"
	case TunnelRefused:
		return "refused"
	case TunnelSilent:
		return "silent"
	case TunnelCutOff:
		return "cut_off"
	case TunnelBusy:
		return "busy"
	case TunnelNotServed:
		return "not_served"
	case TunnelUnknown:
		return "unknown_endpoint"
	default:
		return "invalid"
	}
}

// EncodeTunnelRequest encodes a TunnelRequest.
func EncodeTunnelRequest(r *TunnelRequest) ([]byte, error) { return encoder.Marshal(r) }

// DecodeTunnelRequest decodes and validates a TunnelRequest.
func DecodeTunnelRequest(b []byte) (TunnelRequest, error) {
	var r TunnelRequest
	if err := decodeFrame("tunnel request", b, &r); err != nil {
		return TunnelRequest{}, err
	}
	if r.Name == "" || r.Address == "" {
		return TunnelRequest{}, &FrameError{kind: "tunnel request"}
	}
	return r, nil
}

// EncodeTunnelAnswer encodes a TunnelAnswer.
func EncodeTunnelAnswer(a *TunnelAnswer) ([]byte, error) { return encoder.Marshal(a) }

// DecodeTunnelAnswer decodes and validates a TunnelAnswer.
func DecodeTunnelAnswer(b []byte) (TunnelAnswer, error) {
	var a TunnelAnswer
	if err := decodeFrame("tunnel answer", b, &a); err != nil {
		return TunnelAnswer{}, err
	}
	if a.Outcome < TunnelOpen || a.Outcome > TunnelUnknown {
		return TunnelAnswer{}, &FrameError{kind: "tunnel answer"}
	}
	return a, nil
}
