// SPDX-License-Identifier: Apache-2.0

package backlog

import (
	"net"
	"testing"
)

// BenchmarkRead reads requests of 200 bytes that have arrived, as a caller's connection and as a plain socket.
func BenchmarkRead(b *testing.B) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	n, err := (&Budget{}).NewListener(l).Accept()
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = n.Close() }()
	for name, c := range map[string]net.Conn{"caller": n, "socket": n.(*Conn).Conn} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			request, into := make([]byte, 200), make([]byte, 4096)
			for b.Loop() {
				_, _ = caller.Write(request)
				if _, err := c.Read(into); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
