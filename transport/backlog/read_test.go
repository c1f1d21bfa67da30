// SPDX-License-Identifier: Apache-2.0

package backlog

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// readResult is the result of a read in the background.
type readResult struct {
	n   int
	err error
}

func TestNothingIsReadFromAConnectionThatWasClosedWaiting(t *testing.T) {
	const rounds = 2000
	read, closed := 0, 0
	for range rounds {
		entry, caller := connectedPair(t, &Budget{})
		results := make(chan readResult, 1)
		var wait sync.WaitGroup
		wait.Go(func() {
			n, err := entry.Read(make([]byte, 8))
			results <- readResult{n, err}
		})
		wait.Go(func() { _, _ = caller.Write([]byte("request")) })
		wasClosed := entry.CloseWaiting()
		r := <-results
		wait.Wait()
		require.Equal(t, wasClosed, r.n == 0, "read %d bytes, closed: %v", r.n, wasClosed)
		if wasClosed {
			require.ErrorIs(t, r.err, net.ErrClosed)
			closed++
		} else {
			read++
		}
		_ = entry.Close()
		_ = caller.Close()
	}
	t.Logf("%d were read, %d closed", read, closed)
}

func TestConnectionWithArrivedBytesIsNotClosedWaiting(t *testing.T) {
	entry, caller := connectedPair(t, &Budget{})
	_, err := caller.Write([]byte("request"))
	require.NoError(t, err)
	require.Eventually(t, entry.hasArrived, waitLimit, time.Millisecond)
	require.False(t, entry.CloseWaiting())
	b := make([]byte, 8)
	n, err := entry.Read(b)
	require.NoError(t, err)
	require.Equal(t, "request", string(b[:n]))
	require.False(t, entry.FirstByteAt().IsZero())
	require.False(t, entry.CloseWaiting(), "what was read is being served")
	require.False(t, entry.CloseUnread())
}

// dropsRead is a connection that is no socket and whose read ends after a signal.
type dropsRead struct {
	net.Conn
	reading, release chan struct{}
}

func (c *dropsRead) Read(p []byte) (int, error) {
	close(c.reading)
	<-c.release
	return copy(p, "request"), nil
}

func TestBytesReadWhileAConnectionWasClosedAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		raw := &dropsRead{Conn: near, reading: make(chan struct{}), release: make(chan struct{})}
		c := newConn(raw, &Budget{})
		results := make(chan readResult, 1)
		go func() {
			n, err := c.Read(make([]byte, 8))
			results <- readResult{n, err}
		}()
		<-raw.reading
		require.True(t, c.CloseWaiting())
		close(raw.release)
		r := <-results
		require.Zero(t, r.n)
		require.ErrorIs(t, r.err, net.ErrClosed)
	})
}

func TestReadErrorsAreThoseOfASocket(t *testing.T) {
	entry, caller := connectedPair(t, &Budget{})
	require.NoError(t, entry.SetReadDeadline(time.Now().Add(-time.Second)))
	_, err := entry.Read(make([]byte, 8))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	var n net.Error
	require.True(t, errors.As(err, &n) && n.Timeout())
	require.NoError(t, entry.ReadErr(), "a deadline says nothing about the caller")
	require.NoError(t, entry.SetReadDeadline(time.Time{}))

	require.NoError(t, caller.CloseWrite())
	_, err = entry.Read(make([]byte, 8))
	require.Equal(t, io.EOF, err)
	require.Equal(t, io.EOF, entry.ReadErr())

	entry, caller = connectedPair(t, &Budget{})
	require.NoError(t, caller.SetLinger(0))
	require.NoError(t, caller.Close())
	_, err = entry.Read(make([]byte, 8))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	var op *net.OpError
	require.ErrorAs(t, err, &op)
	require.Equal(t, "read", op.Op)
}
