// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"pinerun.example/pinerun/settings"
)

// idleLimit is how long a kept-alive connection may rest.
const idleLimit = 2 * time.Minute

// listener is one HTTP server of the entry, over TLS when its settings name a
// certificate.
type listener struct {
	server http.Server
	socket net.Listener
	dial   *tls.Config // for calls to the same kind of listener elsewhere
}

func (l *listener) open(address string, h http.Handler, t settings.TLS, s *settings.Entry) error {
	server, dial, err := loadTLS(t)
	if err != nil {
		return err
	}
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.dial = dial
	l.socket = socket
	if server != nil {
		l.socket = tls.NewListener(socket, server)
	}
	l.server = http.Server{
		Handler:           h,
		MaxHeaderBytes:    s.Limits.HeaderBytes,
		ReadHeaderTimeout: time.Until(s.Limits.SlowCaller(time.Now())),
		IdleTimeout:       idleLimit,
	}
	return nil
}

func (l *listener) run() { _ = l.server.Serve(l.socket) }

func (l *listener) close() {
	if l.socket != nil {
		_ = l.socket.Close()
		_ = l.server.Close()
	}
}

// errNoAuthority says that a file of authorities holds no certificate.
var errNoAuthority = errors.New("the TLS authority file holds no certificate; give a PEM file of one or more")

// loadTLS returns the configurations to serve and to dial with, or nil for
// plain TCP. With an authority, both sides must show a certificate of it.
func loadTLS(t settings.TLS) (server, dial *tls.Config, err error) {
	if t.Certificate == "" {
		return nil, nil, nil
	}
	pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}
	dial = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}
	if t.Authority == "" {
		return server, dial, nil
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, nil, err
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, nil, errNoAuthority
	}
	server.ClientCAs = authorities
	server.ClientAuth = tls.RequireAndVerifyClientCert
	dial.RootCAs = authorities
	return server, dial, nil
}
