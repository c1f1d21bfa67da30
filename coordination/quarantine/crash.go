// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"

	"pinerun.example/pinerun/protocol"
)

// maxWorksPerSuspect limits the works that are remembered for a suspect at one crash. An endpoint runs a few
// dozen requests.
const maxWorksPerSuspect = 32

// crash is a confirmed or possible crash. For each suspect it holds the works in which the suspect was there:
// for a whole work the work itself, for a part the works that have it.
type crash map[protocol.Fingerprint][]protocol.Fingerprint

// accuse adds a suspect that failed as part of a work.
func (c crash) accuse(f, work protocol.Fingerprint) {
	if works := c[f]; len(works) < maxWorksPerSuspect && !slices.Contains(works, work) {
		c[f] = append(works, work)
	}
}

// inseparable reports whether a suspect was only in requests that also had another.
func (c crash) inseparable(f, from protocol.Fingerprint) bool {
	return !slices.ContainsFunc(c[f], func(work protocol.Fingerprint) bool { return !slices.Contains(c[from], work) })
}

// explains reports whether a suspect that is refused explains the crash, so that it no longer counts against
// another. A part explains it for all that was also in requests without the part. A whole work does not
// explain it for its own parts, since one of them may be what crashes endpoints.
func (c crash) explains(refused, other protocol.Fingerprint, refusedIsPart bool) bool {
	if refusedIsPart {
		return !c.inseparable(other, refused)
	}
	return !slices.Contains(c[other], refused)
}

// hasOthers reports whether there were requests without a part.
func (c crash) hasOthers(part protocol.Fingerprint) bool {
	for _, works := range c {
		if slices.ContainsFunc(works, func(work protocol.Fingerprint) bool { return !slices.Contains(c[part], work) }) {
			return true
		}
	}
	return false
}
