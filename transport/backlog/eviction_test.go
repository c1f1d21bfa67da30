// SPDX-License-Identifier: Apache-2.0

package backlog

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEvictionDoesNotEndTheNextRequestOfAConnection lets the abort of an evicted connection begin only after its caller has
// read the whole answer and sent its next request.
func TestEvictionDoesNotEndTheNextRequestOfAConnection(t *testing.T) {
	b := &Budget{}
	b.SetLimit(8 << 20)
	victim, caller := connectedPair(t, b)
	want := numberedText(4 << 20)
	_, err := victim.Write(want)
	require.NoError(t, err)
	require.NotZero(t, victim.Held())
	other, _ := connectedPair(t, b)
	b.mutex.Lock()
	evicted, ok := b.accounts.Reserve(&other.account, 6<<20, time.Now().Add(time.Minute))
	delete(b.conns, &victim.account)
	b.mutex.Unlock()
	require.True(t, ok)
	require.Len(t, evicted, 1)
	require.Same(t, &victim.account, evicted[0], "the victim gives way")

	require.NoError(t, caller.SetDeadline(time.Now().Add(waitLimit)))
	_, err = io.ReadFull(caller, make([]byte, len(want)))
	require.NoError(t, err, "the answer is whole")
	require.Eventually(t, func() bool {
		victim.mutex.Lock()
		defer victim.mutex.Unlock()
		return !victim.flushing
	}, waitLimit, time.Millisecond)
	_, err = caller.Write([]byte("next"))
	require.NoError(t, err)
	n, err := victim.Read(make([]byte, 8))
	require.NoError(t, err)
	require.Equal(t, 4, n, "the next request is read")
	(&abortTask{conn: victim}).run()
	_, err = victim.Write([]byte("its answer"))
	require.NoError(t, err)
	got := make([]byte, 10)
	_, err = io.ReadFull(caller, got)
	require.NoError(t, err)
	require.Equal(t, "its answer", string(got))
}
