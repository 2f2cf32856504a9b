package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/go-faster/errors"
)

// clockSkew is how far the clocks of two instances may differ without a new
// certificate being refused.
const clockSkew = 5 * time.Minute

// Authority signs certificates with a key in memory, for the demonstration
// and tests. It may be used from one goroutine only.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	encoded     []byte
	serial      int64
}

// NewAuthority returns an authority whose certificate is valid from now for
// the given time.
func NewAuthority(now time.Time, valid time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate authority key")
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "tanagerweir authority"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(valid),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign authority certificate")
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse authority certificate")
	}
	encoded := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return &Authority{certificate: parsed, key: key, encoded: encoded, serial: 1}, nil
}

// Issue returns a new key and a certificate for i that is valid as long as
// the authority itself.
func (a *Authority) Issue(i Identity) (Material, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Material{}, errors.Wrap(err, "generate key")
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: i.Name, OrganizationalUnit: []string{string(i.Role)}},
		NotBefore:    a.certificate.NotBefore,
		NotAfter:     a.certificate.NotAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Material{}, errors.Wrap(err, "sign certificate")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Material{}, errors.Wrap(err, "encode key")
	}
	return Material{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}),
		Authority:   a.encoded,
	}, nil
}
