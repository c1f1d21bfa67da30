// SPDX-License-Identifier: Apache-2.0

// Package serving ends HTTP servers without cutting off answers.
package serving

import (
	"context"
	"net/http"
	"time"

	"pinerun.example/pinerun/internal/clock"
)

// FlushTimeout is how long the end of an answer may take once its handler has returned: it is
// written at once, but a busy machine may let it wait for the processor.
const FlushTimeout = 500 * time.Millisecond

// Shutdown takes no further connections and waits until every answer is written whose handler has
// returned, until a time at most. A server writes the end of an answer after its handler: closed at
// that moment, an entry cut the last chunk of a stream off that it had counted as answered, in
// 1 of 80 stops with 20 streams each, ten test processes side by side.
func Shutdown(s *http.Server, till time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), clock.TimerDeadline(till))
	defer cancel()
	_ = s.Shutdown(ctx) // what is not written by then is cut off by whoever closes the server
}
