package platform

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/tanagerweir/tanagerweir/service/api/platform"
)

// leaseIndex returns the index of a lease in s.leases, -1 if it has ended. The
// caller must hold mu.
func (s *Server) leaseIndex(id int64) int {
	for i, g := range s.leases {
		if g.id == id {
			return i
		}
	}
	return -1
}

// LeaseGrant grants a lease.
func (s *Server) LeaseGrant(ctx context.Context, r *platform.LeaseGrantRequest) (*platform.LeaseGrantResponse, error) {
	if _, err := s.admit(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := time.Duration(r.GetTTL()) * time.Second
	g := lease{id: s.nextLease, ttl: ttl, expires: s.now().Add(ttl)}
	s.nextLease++
	s.leases = append(s.leases, g)
	return &platform.LeaseGrantResponse{Header: s.header(), ID: g.id, TTL: r.GetTTL()}, nil
}

// LeaseRevoke ends a lease and deletes its keys.
func (s *Server) LeaseRevoke(ctx context.Context, r *platform.LeaseRevokeRequest) (*platform.LeaseRevokeResponse, error) {
	if _, err := s.admit(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.leaseIndex(r.GetID())
	if i < 0 {
		return nil, status.Error(codes.NotFound, "etcdserver: requested lease not found")
	}
	s.leases = append(s.leases[:i], s.leases[i+1:]...)
	s.deleteLeased(r.GetID())
	return &platform.LeaseRevokeResponse{Header: s.header()}, nil
}

// LeaseKeepAlive renews leases until the stream ends. For a lease that has
// ended it answers with a TTL of zero, as etcd does.
func (s *Server) LeaseKeepAlive(stream platform.Lease_LeaseKeepAliveServer) error {
	for {
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
		if err := stream.Send(s.renew(request.GetID())); err != nil {
			return err
		}
	}
}

func (s *Server) renew(id int64) *platform.LeaseKeepAliveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := &platform.LeaseKeepAliveResponse{Header: s.header(), ID: id}
	if i := s.leaseIndex(id); i >= 0 {
		g := &s.leases[i]
		g.expires = s.now().Add(g.ttl)
		answer.TTL = int64(g.ttl / time.Second)
	}
	return answer
}
