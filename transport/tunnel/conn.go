// SPDX-License-Identifier: Apache-2.0

package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/protocol"
)

// Close codes of a tunnel, by how the connection to the endpoint ended.
const (
	closeEnded websocket.StatusCode = 4010 // the endpoint closed it
	closeReset websocket.StatusCode = 4011 // the endpoint reset it
)

// Conn is a connection to an endpoint through another entry.
type Conn struct {
	net.Conn

	socket *websocket.Conn
	peer   string
}

func newConn(socket *websocket.Conn, peer string) *Conn {
	return &Conn{Conn: websocket.NetConn(context.Background(), socket, websocket.MessageBinary), socket: socket, peer: peer}
}

// Peer returns the name of the entry that a connection goes through, "" for a connection of one's own.
func Peer(c net.Conn) string {
	if t, ok := c.(*Conn); ok {
		return t.peer
	}
	return ""
}

// Read reads what the endpoint sent. It returns io.EOF only if the endpoint closed the connection.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	return n, c.translate(err)
}

// translate returns the error of a connection of one's own for the way in which a tunnel ended.
func (c *Conn) translate(err error) error {
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case websocket.CloseStatus(err) == closeEnded:
		return io.EOF
	case websocket.CloseStatus(err) == closeReset:
		return os.NewSyscallError("read", syscall.ECONNRESET)
	default:
		return &PeerLost{peer: c.peer, cause: err}
	}
}

// Write sends bytes to the endpoint. After an error all of them may have reached it.
func (c *Conn) Write(b []byte) (int, error) {
	for sent := 0; sent < len(b); {
		end := min(len(b), sent+protocol.MaxTunnelChunk)
		if _, err := c.Conn.Write(b[sent:end]); err != nil {
			return end, c.translate(err)
		}
		sent = end
	}
	return len(b), nil
}

// Close closes the connection at once.
func (c *Conn) Close() error { return c.socket.CloseNow() }
