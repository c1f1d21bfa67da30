// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"crypto/sha256"
	"encoding/hex"
)

// fingerprintBytes is the length of a Fingerprint. With 128 bits, no team can craft a
// request whose fingerprint equals that of another request.
const fingerprintBytes = 16

// Fingerprint identifies the content of a request, independent of the entry that receives it
// and of the ID of the attempt, or a part of its prompt. It is a hash of the team, method, host,
// target and body, or of the name of the part. The zero value stands for no request.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request. The team is "" where callers have no keys.
// The target is the path with its query as the caller sent it.
func FingerprintOf(team, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{team, method, host, target} {
		h.Write([]byte(part))
		h.Write([]byte{0}) // a separator that occurs in none of the fields
	}
	h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// FingerprintOfPart returns the fingerprint of a part of a prompt, which is the same whatever else a
// request holds.
func FingerprintOfPart(id string) Fingerprint {
	var f Fingerprint
	sum := sha256.Sum256([]byte("\xffpart\x00" + id)) // no team's name begins with that byte
	copy(f[:], sum[:])
	return f
}

// ParseFingerprint parses the output of String and reports whether the text is valid.
func ParseFingerprint(text string) (Fingerprint, bool) {
	var f Fingerprint
	if hex.DecodedLen(len(text)) != len(f) {
		return Fingerprint{}, false
	}
	if _, err := hex.Decode(f[:], []byte(text)); err != nil {
		return Fingerprint{}, false
	}
	return f, !f.IsZero()
}

// IsZero reports whether f is the zero fingerprint.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
