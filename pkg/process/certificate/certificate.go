// Package certificate authenticates operators and instances by X.509
// certificates of one authority.
//
// The common name of a certificate's subject is the holder's name, and the
// organisational unit is its role: Reader, Operator or Instance. Certificates
// name no addresses, since instances move; a caller checks instead that it
// reached an instance whose certificate its own authority signed.
//
// A Source holds the current certificate, key and authorities. It reads the
// files again at the first handshake after reloadPeriod, so that keys are
// replaced without a restart. If the new files can't be used, the old
// contents stay in force. Open connections keep the certificates that they
// were opened with.
//
// # Usage
//
//	source, err := certificate.Load(files, certificate.Options{Logger: logger})
//	if err != nil {
//		return err
//	}
//	server := &http.Server{TLSConfig: source.Server(), Handler: certificate.Identify(mux)}
//	caller := source.Caller()
//	admin := apiconnect.NewAdminClient(caller, caller.URL(endpoint))
//
// A Source is safe for use from several goroutines.
package certificate

import (
	"context"
	"crypto/x509"

	"github.com/go-faster/errors"
)

// Role determines what the holder of a certificate may do.
type Role string

// Roles, as the organisational unit of a certificate names them.
const (
	// Reader may read the configuration, reports and decisions.
	Reader Role = "Reader"
	// Operator may also change the configuration.
	Operator Role = "Operator"
	// Instance may exchange messages with other instances, and nothing else.
	Instance Role = "Instance"
)

// ErrRole means that a certificate has none of the roles.
var ErrRole = errors.New("the certificate's organisational unit is not Reader, Operator or Instance")

// Identity is the name and the role of a certificate's holder.
type Identity struct {
	Name string
	Role Role
}

// May reports whether i may do what requires the role. An operator may do
// what a reader may.
func (i Identity) May(needed Role) bool {
	return i.Role == needed || i.Role == Operator && needed == Reader
}

// IdentityOf returns the identity in a verified certificate. Without a role the error
// wraps ErrRole, and the identity has only a name.
func IdentityOf(leaf *x509.Certificate) (Identity, error) {
	i := Identity{Name: leaf.Subject.CommonName}
	for _, unit := range leaf.Subject.OrganizationalUnit {
		switch r := Role(unit); r {
		case Reader, Operator, Instance:
			i.Role = r
			return i, nil
		}
	}
	return i, errors.Wrapf(ErrRole, "certificate of %q", i.Name)
}

type identityKey struct{}

// WithIdentity returns a context that carries the caller's identity.
func WithIdentity(ctx context.Context, i Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, i)
}

// IdentityFrom returns the caller's identity, or false if the connection had no
// certificate.
func IdentityFrom(ctx context.Context) (Identity, bool) {
	i, ok := ctx.Value(identityKey{}).(Identity)
	return i, ok
}
