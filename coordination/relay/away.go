// SPDX-License-Identifier: Apache-2.0

package relay

import "time"

const (
	// MaxPeerSearch is how long an entry without a peer looks for another one before it asks the
	// platform itself.
	MaxPeerSearch = 300 * time.Millisecond
	// MaxPeerAttempt bounds connecting to a peer and the wait for its first frame, before which the
	// peer may call the platform.
	MaxPeerAttempt = 300*time.Millisecond + MaxHealthyCall
	// MaxServedAge is the largest age of the last confirmation at an entry that the platform serves,
	// although its peer can't confirm: it stops trusting the peer, fails to follow two others,
	// and learns of the platform's state from the next.
	MaxServedAge = MaxConfirmationAge + MaxTrustExtension + 2*MaxPeerAttempt
)

// Away reports whether the platform was away for all entries, as far as an entry can tell whose last
// confirmation, its own or a peer's, is from confirmedAt. A peer whose calls fail proves nothing: the
// platform may turn away that peer alone.
func Away(confirmedAt, now time.Time) bool {
	return confirmedAt.IsZero() || now.Sub(confirmedAt) > MaxServedAge
}
