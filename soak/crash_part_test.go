// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"fmt"
	"strings"
)

const (
	// crashPart is the part of prompts that crashes every engine that begins to write on it.
	crashPart = "badbad00"
	// sharedParts is how many second parts the sound requests share.
	sharedParts = 5
)

// soundParts returns the parts of the prompt of a request: one that all share, one of a few, and its own.
func soundParts(content string) string {
	return fmt.Sprintf("aa00:40,5b%02x:300,%x:100", len(content)%sharedParts, content)
}

// crashingParts returns the same parts with crashPart between them.
func crashingParts(content string) string {
	first, others, _ := strings.Cut(soundParts(content), ",")
	return first + "," + crashPart + ":200," + others
}

// crashPartRuns returns how often a prompt with crashPart ran, which is the number of crashes it caused.
func (tb *testbed) crashPartRuns() int {
	n := 0
	for _, e := range tb.allEndpoints() {
		n += e.CrashesOnPart()
	}
	return n
}

// sendCrashPart sends a request with crashPart that no other request is like.
func (r *recovery) sendCrashPart(e *entry) *call {
	return r.send(func(id string) *call {
		return &call{id: id, parts: crashingParts(id), kind: stream, key: permanentKey, entry: e}
	})
}

// checkCrashPart sends requests with crashPart, no two alike, to every entry until all refuse them. After that none
// may run, and sound requests with the other parts are served.
func (r *recovery) checkCrashPart() {
	tb := r.testbed
	before := tb.crashPartRuns()
	refused := func() bool {
		all := true
		for _, e := range tb.entries {
			all = all && strings.Contains(r.sendCrashPart(e).body, crashRefusal)
		}
		return all
	}
	if !r.within(recoveryBound, "every entry refuses prompts with a part that crashes engines", refused) {
		return
	}
	ran := tb.crashPartRuns()
	if ran > before+maxCrashPartRuns {
		tb.reportProblem("prompts with a part that crashes engines ran %d times after the fault injection", ran-before)
	}
	for range 3 {
		if !refused() {
			tb.reportProblem("an entry accepted a prompt with a refused part again")
		}
	}
	if repeated := tb.crashPartRuns(); repeated != ran {
		tb.reportProblem("prompts with a refused part ran %d more times", repeated-ran)
	}
	r.within(recoveryBound, "every entry serves again after the last crash", r.allServe)
}

// maxCrashPartRuns is how often prompts with crashPart may run after the fault injection: five crashes before entries
// have to know the part, and three attempts of entries that know it.
const maxCrashPartRuns = 5 + 3
