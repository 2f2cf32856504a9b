package certificate

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// reloadPeriod is how old the contents of the files may be at a handshake.
const reloadPeriod = 10 * time.Second

// Files names the PEM files of a certificate, its key and the authorities.
type Files struct {
	Certificate string
	Key         string
	// Authority may have several certificates, as while one authority is
	// replaced by another.
	Authority string
}

// Material holds the contents of Files, in PEM.
type Material struct {
	Certificate []byte
	Key         []byte
	Authority   []byte
}

// Options are the optional parameters of a Source.
type Options struct {
	Logger *slog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Source holds the current certificate, key and authorities.
type Source struct {
	log  *slog.Logger
	now  func() time.Time
	read func() (Material, error)

	mu sync.Mutex
	// material is what pair and pool were parsed from; lastRead is when the
	// files were last read.
	material Material
	pair     tls.Certificate
	pool     *x509.CertPool
	lastRead time.Time
}

// Load returns a source that reads the files again as they change.
func Load(f Files, o Options) (*Source, error) {
	return newSource(f.read, o)
}

// FromMaterial returns a source whose contents never change.
func FromMaterial(m Material, o Options) (*Source, error) {
	return newSource(func() (Material, error) { return m, nil }, o)
}

func newSource(read func() (Material, error), o Options) (*Source, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Source{log: o.Logger, now: o.Now, read: read}
	if _, err := s.reload(); err != nil {
		return nil, err
	}
	s.lastRead = s.now()
	return s, nil
}

func (f Files) read() (Material, error) {
	certificate, err := os.ReadFile(f.Certificate)
	if err != nil {
		return Material{}, errors.Wrap(err, "[Security] Certificate")
	}
	key, err := os.ReadFile(f.Key)
	if err != nil {
		return Material{}, errors.Wrap(err, "[Security] Key")
	}
	authority, err := os.ReadFile(f.Authority)
	if err != nil {
		return Material{}, errors.Wrap(err, "[Security] Authority")
	}
	return Material{Certificate: certificate, Key: key, Authority: authority}, nil
}

// Write writes the material to files in the directory and creates the
// directory if it doesn't exist. Only the owner may read the files.
func (m Material) Write(directory string) (Files, error) {
	f := Files{
		Certificate: filepath.Join(directory, "certificate.pem"),
		Key:         filepath.Join(directory, "key.pem"),
		Authority:   filepath.Join(directory, "authority.pem"),
	}
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return f, errors.Wrap(err, "write certificates")
	}
	err := errors.Join(
		os.WriteFile(f.Certificate, m.Certificate, 0o600),
		os.WriteFile(f.Key, m.Key, 0o600),
		os.WriteFile(f.Authority, m.Authority, 0o600),
	)
	return f, err
}

func (m Material) equal(other Material) bool {
	return bytes.Equal(m.Certificate, other.Certificate) &&
		bytes.Equal(m.Key, other.Key) && bytes.Equal(m.Authority, other.Authority)
}

// reload reads the material and replaces all of it or, on an error, nothing.
// It reports whether anything changed.
func (s *Source) reload() (bool, error) {
	m, err := s.read()
	if err != nil {
		return false, err
	}
	if s.pool != nil && m.equal(s.material) {
		return false, nil
	}
	pair, err := tls.X509KeyPair(m.Certificate, m.Key)
	if err != nil {
		return false, errors.Wrap(err, "parse certificate and key")
	}
	if _, err := IdentityOf(pair.Leaf); err != nil {
		return false, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(m.Authority) {
		return false, errors.New("the authority file has no certificate")
	}
	s.material, s.pair, s.pool = m, pair, pool
	return true, nil
}

// current returns the certificate and authorities in force. It first reads
// the files again if reloadPeriod has passed.
func (s *Source) current() (tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.now(); now.Sub(s.lastRead) >= reloadPeriod {
		s.lastRead = now
		changed, err := s.reload()
		if err != nil {
			s.log.Error("Certificate: the new certificate files can't be used; the old ones stay in force.", "Error", err)
		}
		if changed {
			s.log.Info("Certificate: certificates replaced.", "Name", s.pair.Leaf.Subject.CommonName)
		}
	}
	return s.pair, s.pool
}
