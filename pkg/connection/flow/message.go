package flow

import (
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// Envelope is a message to one peer.
type Envelope struct {
	To      string
	Message Message
}

// Message is sent from one instance's core to another's. Losing one delays the
// receiver or costs a copy of a record, but never sends a flow to a wrong service.
type Message struct {
	Progress Progress
	// Records are flows whose backend server the receiver can't compute.
	Records []Record
	// RequestsHistory requests the receiver's History.
	RequestsHistory bool
	// History answers RequestsHistory; it is nil if the receiver requested none.
	History *History
}

// Progress is how far an instance has come in the changes that all instances
// make together: of catalogue versions, of the base and of the member view.
type Progress struct {
	// Unsynchronised is true while the instance doesn't know the disputed buckets
	// yet.
	Unsynchronised bool
	// Received is the newest catalogue version that it has received.
	Received catalogue.Order
	// Reported is the version up to which it has reported the old flows that it
	// knew to their owners.
	Reported catalogue.Order
	// BaseVersion is its base version, which unrecorded flows follow.
	BaseVersion catalogue.Order
	// CopiedView is the hash of the member view to whose new owners it has sent
	// copies of its records.
	CopiedView uint64
	// View is the hash of the member view by which it finds owners.
	View uint64
	// ViewNumber orders views: members follow the one with the higher number.
	ViewNumber uint64
	// Digest is a hash of the epochs of all services; it differs between
	// instances that know different disputed buckets.
	Digest uint64
}

// ahead reports whether the view of p replaces the view with that number and hash.
func (p Progress) ahead(number, hash uint64) bool {
	return p.ViewNumber > number || p.ViewNumber == number && p.View > hash
}

// Record assigns one flow to its backend server.
type Record struct {
	// Fingerprint is the flow's fingerprint in the highest 48 bits.
	Fingerprint uint64
	// Server identifies the backend server, with the same number on all instances.
	Server uint64
}

// History is everything that an instance knows about disputed buckets, without
// records of single flows.
type History struct {
	// Version is the newest catalogue version that the sender has received.
	Version catalogue.Order
	// BaseVersion is the sender's base version.
	BaseVersion catalogue.Order
	// Services are ordered by name; those without disputed buckets are left out.
	Services []ServiceHistory
	// View holds the members of the view by which the sender finds owners.
	View       []string
	ViewNumber uint64
}

// ServiceHistory is what an instance knows about the disputed buckets of one
// service.
type ServiceHistory struct {
	Service string
	// Base holds the seeds of the backend servers that unrecorded flows follow.
	Base []uint64
	// Epochs are the sets of backend servers whose differences make buckets
	// disputed.
	Epochs []Epoch
	// AllDisputed is true if there were too many epochs: every bucket is disputed.
	AllDisputed bool
}

// Epoch is a set of backend servers of one service, as sorted seeds.
type Epoch []uint64
