// Package platform is a stand-in for the platform's key-value service.
//
// It serves the subset of the published etcd v3 protocol that package store
// uses, keeps everything in memory, and injects the faults of the real service:
// outage, slowness, an answer lost after the write took effect, a compacted
// history and expired leases.
//
// # Usage
//
//	server := platform.New(time.Now)
//	platform.Register(grpcServer, server)
//	server.SetFault(platform.Fault{Outage: true})
//
// It is for tests and the demonstration only.
package platform

import (
	"bytes"
	"sort"
	"sync"
	"time"

	"github.com/tanagerweir/tanagerweir/service/api/platform"
)

// Fault says how the stand-in misbehaves. The zero value is healthy.
type Fault struct {
	// Outage refuses every call and ends every watch.
	Outage bool
	// Delay delays every call before it has any effect.
	Delay time.Duration
	// LoseAnswers lets writes take effect and then fails their calls.
	LoseAnswers bool
	// LoseRequests fails writes without any effect.
	LoseRequests bool
	// HoldRequests fails writes, which take effect later at ReleaseRequests.
	HoldRequests bool
	// OutageAfterWrite lets one write take effect and fails its call. An outage
	// begins with it.
	OutageAfterWrite bool
	// MuteWatches keeps watches open without sending them events.
	MuteWatches bool
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	platform.UnimplementedKVServer
	platform.UnimplementedWatchServer
	platform.UnimplementedLeaseServer

	now func() time.Time

	mu           sync.Mutex
	fault        Fault
	revision     int64
	compacted    int64                // revision up to which the history is dropped
	entries      []*platform.KeyValue // sorted by key
	events       []revisionEvents
	leases       []lease
	nextLease    int64
	changed      chan struct{} // closed and replaced to wake the watches
	calls        uint64
	heldRequests []*platform.TxnRequest // by HoldRequests
}

// revisionEvents is the events of one revision, for watches.
type revisionEvents struct {
	revision int64
	events   []*platform.Event
}

// lease is one lease that has not ended.
type lease struct {
	id      int64
	ttl     time.Duration
	expires time.Time
}

// New returns an empty, healthy stand-in. now is the clock of its leases.
func New(now func() time.Time) *Server {
	return &Server{now: now, revision: 1, nextLease: 1, changed: make(chan struct{})}
}

// SetFault sets the fault from now on.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wakeWatches()
}

// Compact drops the history up to now, so that watches from an older revision
// fail.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.events = nil
	s.wakeWatches()
}

// ReleaseRequests runs the transactions that HoldRequests kept, in the order of
// their arrival. Their compares are evaluated now.
func (s *Server) ReleaseRequests() error {
	s.mu.Lock()
	held := s.heldRequests
	s.heldRequests = nil
	s.mu.Unlock()
	for _, r := range held {
		if _, err := s.transact(r); err != nil {
			return err
		}
	}
	return nil
}

// Backup takes a copy of the present entries. The returned function restores them
// at a new revision without history, as an operator does who restores the
// service from a backup.
func (s *Server) Backup() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := append([]*platform.KeyValue(nil), s.entries...)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.entries = append([]*platform.KeyValue(nil), copied...)
		s.revision++
		s.compacted = s.revision
		s.events = nil
		s.wakeWatches()
	}
}

// CallCount returns the number of calls so far. A watch counts as one call,
// however long it stays open.
func (s *Server) CallCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// wakeWatches makes every watch check for events and faults. The caller must
// hold mu.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// countCall counts a call, expires leases and returns the fault that applies to
// the call.
func (s *Server) countCall() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.expireLeases()
	return s.fault
}

// expireLeases ends the leases whose time has passed and deletes their keys.
// The caller must hold mu.
func (s *Server) expireLeases() {
	now := s.now()
	var live []lease
	for _, g := range s.leases {
		if g.expires.After(now) {
			live = append(live, g)
			continue
		}
		s.deleteLeased(g.id)
	}
	s.leases = live
}

// deleteLeased deletes the keys of a lease, each at a revision of its own.
func (s *Server) deleteLeased(id int64) {
	var keys [][]byte
	for _, kv := range s.entries {
		if kv.GetLease() == id {
			keys = append(keys, kv.GetKey())
		}
	}
	for _, key := range keys {
		s.revision++
		s.publish(s.remove(key))
	}
}

// index returns the index of the key in s.entries, or the one at which it would
// be inserted and false.
func (s *Server) index(key []byte) (int, bool) {
	i := sort.Search(len(s.entries), func(i int) bool { return bytes.Compare(s.entries[i].GetKey(), key) >= 0 })
	return i, i < len(s.entries) && bytes.Equal(s.entries[i].GetKey(), key)
}

// store writes an entry at the present revision and returns its event.
func (s *Server) store(key, value []byte, lease int64) *platform.Event {
	next := &platform.KeyValue{
		Key: key, Value: value, Lease: lease,
		CreateRevision: s.revision, ModRevision: s.revision, Version: 1,
	}
	i, found := s.index(key)
	if found {
		next.CreateRevision = s.entries[i].GetCreateRevision()
		next.Version = s.entries[i].GetVersion() + 1
		s.entries[i] = next
	} else {
		s.entries = append(s.entries, nil)
		copy(s.entries[i+1:], s.entries[i:])
		s.entries[i] = next
	}
	return &platform.Event{Type: platform.Event_PUT, Kv: next}
}

// remove deletes an entry and returns its event, nil if there is no entry.
func (s *Server) remove(key []byte) *platform.Event {
	i, found := s.index(key)
	if !found {
		return nil
	}
	s.entries = append(s.entries[:i], s.entries[i+1:]...)
	return &platform.Event{
		Type: platform.Event_DELETE,
		Kv:   &platform.KeyValue{Key: key, ModRevision: s.revision},
	}
}

// publish adds the events of the present revision to the history and wakes the
// watches. Nil events are left out.
func (s *Server) publish(events ...*platform.Event) {
	var published []*platform.Event
	for _, e := range events {
		if e != nil {
			published = append(published, e)
		}
	}
	s.events = append(s.events, revisionEvents{revision: s.revision, events: published})
	s.wakeWatches()
}

func (s *Server) header() *platform.ResponseHeader {
	return &platform.ResponseHeader{Revision: s.revision}
}
