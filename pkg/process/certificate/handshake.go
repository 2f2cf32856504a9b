package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Times of a caller's connections.
const (
	handshakeTimeout = 5 * time.Second
	idleTimeout      = 90 * time.Second
)

// protocols returns the protocols offered in every handshake.
func protocols() []string { return []string{"h2", "http/1.1"} }

// Server returns the TLS configuration of a listener that requires client
// certificates.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols(),
		GetConfigForClient: s.serverConfig,
	}
}

// serverConfig returns the configuration for one handshake, with the current
// certificate and authorities.
func (s *Source) serverConfig(*tls.ClientHelloInfo) (*tls.Config, error) {
	pair, pool := s.current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             protocols(),
		Certificates:           []tls.Certificate{pair},
		ClientCAs:              pool,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
		Time:                   s.now,
	}, nil
}

// Client returns the TLS configuration of a connection to an instance. The
// library's own verification is disabled because it requires addresses in the
// certificate and a fixed set of authorities; verifyInstance replaces it.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols(),
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyInstance,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := s.current()
			return &pair, nil
		},
		Time: s.now,
	}
}

// verifyInstance checks that the peer is an instance whose certificate a
// current authority signed.
func (s *Source) verifyInstance(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the instance sent no certificate")
	}
	_, pool := s.current()
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	leaf := state.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		CurrentTime:   s.now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return errors.Wrap(err, "verify the instance's certificate")
	}
	i, err := IdentityOf(leaf)
	if err != nil {
		return err
	}
	if !i.May(Instance) {
		return errors.Errorf("the certificate of %q has the role %s, not Instance", i.Name, i.Role)
	}
	return nil
}

// Caller sends requests to the HTTP ports of instances.
type Caller struct {
	client *http.Client
	scheme string
	err    error
}

// FailingCaller returns a caller whose every request fails with err.
func FailingCaller(err error) Caller { return Caller{scheme: "https://", err: err} }

// PlainCaller returns a caller that uses plain HTTP.
func PlainCaller() Caller { return Caller{client: http.DefaultClient, scheme: "http://"} }

// Caller returns a caller that authenticates with the certificate of s.
func (s *Source) Caller() Caller {
	transport := &http.Transport{
		TLSClientConfig:     s.Client(),
		TLSHandshakeTimeout: handshakeTimeout,
		IdleConnTimeout:     idleTimeout,
		ForceAttemptHTTP2:   true,
	}
	return Caller{client: &http.Client{Transport: transport}, scheme: "https://"}
}

// Do sends one request. It implements connect.HTTPClient.
func (c Caller) Do(r *http.Request) (*http.Response, error) {
	if c.err != nil {
		return nil, c.err
	}
	return c.client.Do(r)
}

// URL returns the base URL of an endpoint, an IP address with a port.
func (c Caller) URL(endpoint string) string { return c.scheme + endpoint }
