// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"crypto/sha256"
	"encoding/hex"
)

// fingerprintBytes is the length of a Fingerprint: 128 bits, so that no team can make a request
// whose fingerprint is that of another one.
const fingerprintBytes = 16

// Fingerprint tells the same work from other work, whichever entry it comes to and whatever ID
// its try has: it is a hash of who asks, for what, and with which body. The zero value is of no
// request.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request. The team is "" where callers have no keys;
// the target is the path with its query as the caller sent it.
func FingerprintOf(team, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{team, method, host, target} {
		h.Write([]byte(part))
		h.Write([]byte{0}) // none of them holds one
	}
	h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// ParseFingerprint returns the fingerprint that String wrote, and whether the text is one.
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

// IsZero reports whether it is of no request.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// String returns it in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
