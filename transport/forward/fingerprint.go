// SPDX-License-Identifier: Apache-2.0

package forward

import "pinerun.example/pinerun/protocol"

// workFingerprint returns the fingerprint of what the caller asks for. It is worked out when it is first
// needed: most requests end well, and a hash of a large body takes milliseconds.
func (x *exchange) workFingerprint() protocol.Fingerprint {
	if x.fingerprint.IsZero() {
		x.fingerprint = protocol.FingerprintOf(x.teamName(), x.request.Method, x.request.Host, x.request.RequestURI, x.body)
	}
	return x.fingerprint
}
