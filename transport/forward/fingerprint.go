// SPDX-License-Identifier: Apache-2.0

package forward

import "pinerun.example/pinerun/protocol"

// workFingerprint returns the fingerprint of the requested work. It is computed on first use: most
// requests succeed without it, and hashing a large body takes milliseconds.
func (x *exchange) workFingerprint() protocol.Fingerprint {
	if x.fingerprint.IsZero() {
		x.fingerprint = protocol.FingerprintOf(x.teamName(), x.request.Method, x.request.Host, x.request.RequestURI, x.body)
	}
	return x.fingerprint
}
