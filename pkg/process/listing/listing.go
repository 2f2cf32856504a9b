// Package listing reads the platform's list of instances.
//
// The list contains the entry instances of the system and the backend servers,
// with their addresses and whether they are leaving. It lags: an entry may be gone
// already, and a new one may be missing. Operators configure a backend server by
// name only; its addresses come from the list.
//
// # Usage
//
//	entries, err := listing.Read(ctx, client)
//	own, ok := listing.Find(entries, "entry-1")
package listing

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/store"
)

// Prefix is the prefix of the list's keys in the platform's store.
const Prefix = "/platform/instances/"

// Kind says whether an entry is an entry instance or a backend server.
type Kind string

// Kinds of entries.
const (
	EntryInstance Kind = "Entry"
	BackendServer Kind = "Backend"
)

// State says whether an entry is live or leaving.
type State string

// States of entries.
const (
	Live    State = "Live"
	Leaving State = "Leaving"
)

// Entry is one entry of the list, stored as a JSON object by the platform.
type Entry struct {
	Name       string
	Kind       Kind
	DataCentre string
	State      State
	// Packets receives encapsulated packets over UDP.
	Packets netip.AddrPort
	// Passed receives packets that other instances pass on, over UDP.
	Passed netip.AddrPort
	// Requests receives requests over TCP.
	Requests netip.AddrPort
	// Admin receives calls of operators over TCP.
	Admin netip.AddrPort
	// Peer receives calls of other instances over TCP.
	Peer netip.AddrPort
	// Slots is how many requests a backend server reports that it can run at once.
	Slots uint32
}

type rangeReader interface {
	Range(ctx context.Context, prefix string) ([]store.Entry, int64, error)
}

// Read returns the whole list. An entry that can't be decoded is left out.
func Read(ctx context.Context, r rangeReader) ([]Entry, error) {
	rows, _, err := r.Range(ctx, Prefix)
	if err != nil {
		return nil, errors.Wrap(err, "read the platform's list")
	}
	entries := make([]Entry, 0, len(rows))
	for _, row := range rows {
		var e Entry
		if err := json.Unmarshal(row.Value, &e); err != nil {
			continue
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// Encode returns the entry as the platform stores it.
func (e Entry) Encode() ([]byte, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return nil, errors.Wrap(err, "encode list entry")
	}
	return data, nil
}

// Find returns the entry of that name.
func Find(entries []Entry, name string) (Entry, bool) {
	for _, e := range entries {
		if e.Name == name {
			return e, true
		}
	}
	return Entry{}, false
}
