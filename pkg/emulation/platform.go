package emulation

import (
	"net/http"
	"net/url"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// Platform is what the emulator takes of the platform's formats: those that
// instances speak, and those of the other ends.
type Platform interface {
	entry.Format
	// Options returns options of an instance with the platform's formats in place,
	// and a store whose calls go by the transport.
	Options(store http.RoundTripper) entry.Options
	// Packet returns a packet of a caller.
	Packet(s segment.Segment, data []byte) []byte
	// Addressee returns the number of the backend server that a datagram is meant
	// for, and its packet.
	Addressee(datagram []byte) (number uint64, packet []byte)
	// SameButMark says whether two packets differ in nothing but their marks.
	SameButMark(a, b []byte) bool
	// Server, Configuration and Evacuation return what is written to the store.
	Server(v directory.Server) (key string, value []byte)
	Configuration(c directory.Configuration) (key string, value []byte, err error)
	Evacuation(dataCentre string) (key string)
	// NewKeys returns a store's contents, with pages of that many keys.
	NewKeys(page int) Keys
}

// Keys is what a store holds.
type Keys interface {
	Put(key string, value []byte)
	Delete(key string)
	// Compact drops the history.
	Compact()
	// Revoke ends all leases, and EndLease one.
	Revoke()
	EndLease(lease uint64)
	// Answer carries a call out. Waited is how long a watch has waited already.
	Answer(method string, target *url.URL, body []byte, waited time.Duration) Answer
}

// Answer is what a store answers to a call.
type Answer struct {
	Status int
	Body   []byte
	// Wait is how much longer a watch that has nothing to tell may wait, 0 if the
	// call is answered.
	Wait time.Duration
	// Wrote says that the call changed keys, Lease that it began or renewed a
	// lease, which lasts for LeaseFor.
	Wrote    bool
	Lease    uint64
	LeaseFor time.Duration
}
