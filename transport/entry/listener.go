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

// idleTimeout is how long a keep-alive connection may stay idle.
const idleTimeout = 2 * time.Minute

// listener is one HTTP server of the entry. It uses TLS if its settings name a
// certificate.
type listener struct {
	server    http.Server
	socket    net.Listener
	clientTLS *tls.Config // for calls to the same listener of other entries
}

// open starts listening on the address. The server accepts connections once serve
// runs.
func (l *listener) open(address string, h http.Handler, t settings.TLS, s *settings.Entry) error {
	serverTLS, clientTLS, err := loadTLS(t)
	if err != nil {
		return err
	}
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.clientTLS = clientTLS
	l.socket = socket
	if serverTLS != nil {
		l.socket = tls.NewListener(socket, serverTLS)
	}
	l.server = http.Server{
		Handler:           h,
		MaxHeaderBytes:    s.Limits.HeaderBytes,
		ReadHeaderTimeout: time.Until(s.Limits.WriteDeadline(time.Now())),
		IdleTimeout:       idleTimeout,
	}
	return nil
}

func (l *listener) serve() { _ = l.server.Serve(l.socket) }

func (l *listener) close() {
	if l.socket != nil {
		_ = l.socket.Close()
		_ = l.server.Close()
	}
}

// errNoAuthority reports a CA file that contains no certificate.
var errNoAuthority = errors.New("the TLS authority file holds no certificate; it must be a PEM file with at least one")

// loadTLS returns the TLS configurations for the server and for clients, or nil
// for plain TCP. If an authority is set, both sides must present a certificate
// that it signed.
func loadTLS(t settings.TLS) (server, client *tls.Config, err error) {
	if t.Certificate == "" {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}}
	client = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}}
	if t.Authority == "" {
		return server, client, nil
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, nil, errNoAuthority
	}
	server.ClientCAs = roots
	server.ClientAuth = tls.RequireAndVerifyClientCert
	client.RootCAs = roots
	return server, client, nil
}
