// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"

	"pinerun.example/pinerun/protocol"
)

// Content is what requests that crash endpoints may have in common: the whole work, and each part of its prompt
// that other requests may share.
type Content struct {
	whole protocol.Fingerprint
	parts []protocol.Fingerprint
}

// NewContent returns the content of a request with the fingerprint of the whole work and those of the parts
// that other requests may share.
func NewContent(whole protocol.Fingerprint, parts []protocol.Fingerprint) Content {
	return Content{whole: whole, parts: parts}
}

// Whole returns the fingerprint of the whole work.
func (c *Content) Whole() protocol.Fingerprint { return c.whole }

// Parts returns the fingerprints of the parts that other requests may share.
func (c *Content) Parts() []protocol.Fingerprint { return c.parts }

// Has reports whether a suspect is the whole work or one of the parts.
func (c *Content) Has(f protocol.Fingerprint) bool {
	return f == c.whole || slices.Contains(c.parts, f)
}

// suspects returns the fingerprints that a failure of the content accuses: the whole work first, then its parts.
func (c *Content) suspects() []protocol.Fingerprint {
	return append([]protocol.Fingerprint{c.whole}, c.parts...)
}
