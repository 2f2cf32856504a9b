package platform

import (
	"bytes"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/service/api/platform"
)

// Watch serves one watch on each stream, as package store opens no more.
func (s *Server) Watch(stream platform.Watch_WatchServer) error {
	request, err := stream.Recv()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	if _, err := s.admit(stream.Context()); err != nil {
		return err
	}
	create := request.GetCreateRequest()
	if err := stream.Send(&platform.WatchResponse{Created: true}); err != nil {
		return err
	}
	return s.serveWatch(stream, create)
}

// serveWatch sends events to the watch until the stream ends, the watch is
// cancelled or an outage begins.
func (s *Server) serveWatch(stream platform.Watch_WatchServer, create *platform.WatchCreateRequest) error {
	next := create.GetStartRevision()
	for {
		answer, changed, err := s.nextEvents(create, &next)
		if err != nil {
			return err
		}
		if answer != nil {
			if err := stream.Send(answer); err != nil {
				return err
			}
			if answer.GetCanceled() {
				return nil
			}
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-changed:
		}
	}
}

// nextEvents returns the answer to send to the watch, nil if there is none, and
// the channel that is closed when to call it again. next is the revision that
// the watch continues from; zero stands for the next one.
func (s *Server) nextEvents(create *platform.WatchCreateRequest, next *int64) (*platform.WatchResponse, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Outage {
		return nil, nil, errOutage
	}
	if *next == 0 {
		*next = s.revision + 1
	}
	if *next <= s.compacted {
		return &platform.WatchResponse{Header: s.header(), CompactRevision: s.compacted, Canceled: true}, s.changed, nil
	}
	if s.fault.MuteWatches {
		return nil, s.changed, nil
	}
	events := s.eventsSince(create, *next)
	*next = s.revision + 1
	if len(events) == 0 {
		return nil, s.changed, nil
	}
	return &platform.WatchResponse{Header: s.header(), Events: events}, s.changed, nil
}

// eventsSince returns the events of the watch from the revision on.
func (s *Server) eventsSince(create *platform.WatchCreateRequest, revision int64) []*platform.Event {
	var result []*platform.Event
	for _, r := range s.events {
		if r.revision < revision {
			continue
		}
		for _, e := range r.events {
			if watchCovers(create, e.GetKv().GetKey()) {
				result = append(result, e)
			}
		}
	}
	return result
}

// watchCovers reports whether the watch includes the key.
func watchCovers(create *platform.WatchCreateRequest, key []byte) bool {
	if len(create.GetRangeEnd()) == 0 {
		return bytes.Equal(key, create.GetKey())
	}
	return bytes.Compare(key, create.GetKey()) >= 0 && bytes.Compare(key, create.GetRangeEnd()) < 0
}

// ExpireLeases ends every lease at once, as if its holders had paused for longer
// than its time to live.
func (s *Server) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.leases {
		s.leases[i].expires = time.Time{}
	}
	s.expireLeases()
}
