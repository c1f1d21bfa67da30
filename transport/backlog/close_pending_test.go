// SPDX-License-Identifier: Apache-2.0

package backlog

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClosingAWaitingConnectionKeepsItsPendingBytes closes a connection whose caller has not read its answer yet, lets the
// caller send its next request, and closes once more, as the HTTP server does when it can't read that request.
func TestClosingAWaitingConnectionKeepsItsPendingBytes(t *testing.T) {
	entry, caller := connectedPair(t, &Budget{})
	require.NoError(t, entry.SetWriteDeadline(time.Now().Add(waitLimit)))
	results := make(chan readResult, 1)
	go func() {
		n, err := entry.Read(make([]byte, 8))
		results <- readResult{n, err}
	}()
	require.Eventually(t, func() bool {
		entry.reader.mutex.Lock()
		defer entry.reader.mutex.Unlock()
		return entry.reader.waiting
	}, waitLimit, time.Millisecond)
	want := numberedText(2 << 20)
	_, err := entry.Write(want)
	require.NoError(t, err)
	require.NotZero(t, entry.Held())
	closed := entry.CloseWaiting()
	_, err = caller.Write([]byte("next"))
	require.NoError(t, err)
	r := <-results
	if closed {
		require.Error(t, r.err)
		_ = entry.Close()
	}
	require.NoError(t, caller.SetReadDeadline(time.Now().Add(waitLimit)))
	got := make([]byte, len(want))
	n, err := io.ReadFull(caller, got)
	require.NoError(t, err, "the caller got %d of %d bytes of the answer", n, len(want))
	require.True(t, bytes.Equal(want, got))
}
