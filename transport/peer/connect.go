// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"crypto/subtle"
	"net/http"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/internal/limited"
)

// ServeHTTP accepts a connection from a peer.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	expected := keyPrefix + m.Key
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(keyHeader)), []byte(expected)) != 1 {
		http.Error(w, "not a peer of this entry; set the same peer_key at all entries", http.StatusUnauthorized)
		return
	}
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	l := newLink(m, "")
	l.serve(socket)
}

// dialer opens one link to a peer.
type dialer struct {
	link    *link
	address string
}

// run dials the peer and serves the link until it breaks.
func (d *dialer) run() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	scheme, client := "ws://", limited.Client
	m := d.link.mesh
	if m.TLS != nil {
		scheme = "wss://"
		client = &http.Client{Transport: limited.Transport(&http.Transport{TLSClientConfig: m.TLS})}
	}
	socket, res, err := websocket.Dial(ctx, scheme+d.address+Path, &websocket.DialOptions{
		HTTPClient: client, HTTPHeader: http.Header{keyHeader: {keyPrefix + m.Key}},
	})
	cancel()
	if res != nil && res.Body != nil {
		_ = res.Body.Close()
	}
	if err != nil {
		m.removeLink(d.link, err)
		return
	}
	d.link.serve(socket)
}
