package emulation

import (
	"net/http"
	"net/url"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// Platform provides the platform's formats: those that instances use, and those of
// callers, backend servers and the store, which the emulator models.
type Platform interface {
	entry.Format
	// Options returns the options of an instance with the platform's formats and
	// with a store whose calls go through the transport. The caller sets the rest.
	Options(store http.RoundTripper) entry.Options
	// Packet encodes a caller's packet.
	Packet(s segment.Segment, data []byte) []byte
	// Addressee decodes a datagram that an instance forwarded: it returns the number
	// of the backend server that it is meant for, 0 for any, and the caller's packet
	// in it.
	Addressee(datagram []byte) (number uint64, packet []byte)
	// SameButMark reports whether two packets are equal except for their marks.
	SameButMark(a, b []byte) bool
	// ServerEntry, ConfigurationEntry and EvacuationKey return the keys and values
	// that backend servers and operators write to the store.
	ServerEntry(v directory.Server) (key string, value []byte)
	ConfigurationEntry(c directory.Configuration) (key string, value []byte, err error)
	EvacuationKey(dataCentre string) (key string)
	// EraHeader returns the name of the header in which the store sends its era.
	EraHeader() string
	// NewKeys returns the empty contents of a store that lists so many keys a page.
	NewKeys(page int) Keys
}

// Keys models the contents of a store, with its history and leases.
type Keys interface {
	Put(key string, value []byte)
	Delete(key string)
	// Compact drops the history, so that watches from older revisions fail.
	Compact()
	// Revoke ends all leases, and EndLease one.
	Revoke()
	EndLease(lease uint64)
	// Answer executes a call. Waited is how long the call, a watch, has waited
	// already.
	Answer(method string, target *url.URL, body []byte, waited time.Duration) Answer
	// Value returns the value of a key, and whether it exists.
	Value(key string) ([]byte, bool)
	// SetEra sets the era that the store sends, 0 for none.
	SetEra(era uint64)
	// Copy returns a copy of the contents. Restored returns what the store holds once it
	// has returned from an earlier copy, in the next era.
	Copy() Keys
	Restored(from Keys) Keys
	// Leases returns the numbers of all leases with the time that each lasts.
	Leases() map[uint64]time.Duration
}

// Answer is a store's answer to a call.
type Answer struct {
	Status int
	Body   []byte
	// Wait is how much longer a watch without changes to return may wait, 0 if the
	// call is answered.
	Wait time.Duration
	// Wrote says that the call changed keys. Lease is the lease that the call began
	// or renewed, 0 for none, and lasts for LeaseFor.
	Wrote    bool
	Lease    uint64
	LeaseFor time.Duration
	// Era is the era in the answer's header, 0 for no header.
	Era uint64
}
