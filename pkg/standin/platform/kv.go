package platform

import (
	"bytes"
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/tanagerweir/tanagerweir/service/api/platform"
)

// Register registers the services of s at a gRPC server.
func Register(r grpc.ServiceRegistrar, s *Server) {
	platform.RegisterKVServer(r, s)
	platform.RegisterWatchServer(r, s)
	platform.RegisterLeaseServer(r, s)
}

// errOutage is the status of every call during an outage.
var errOutage = status.Error(codes.Unavailable, "the platform is down")

// admit counts a call and applies the faults that occur before it has any
// effect. It returns the present fault.
func (s *Server) admit(ctx context.Context) (Fault, error) {
	f := s.countCall()
	if f.Delay > 0 {
		if err := wait(ctx, f.Delay); err != nil {
			return f, err
		}
	}
	if f.Outage {
		return f, errOutage
	}
	return f, nil
}

// wait waits for d, or returns the status of ctx if that ends first.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	case <-timer.C:
		return nil
	}
}

// Range returns the entries in the range.
func (s *Server) Range(ctx context.Context, r *platform.RangeRequest) (*platform.RangeResponse, error) {
	if _, err := s.admit(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rangeResponse(r), nil
}

// rangeResponse returns the answer to a range request. The caller must hold mu.
func (s *Server) rangeResponse(r *platform.RangeRequest) *platform.RangeResponse {
	found := s.entriesIn(r.GetKey(), r.GetRangeEnd())
	answer := &platform.RangeResponse{Header: s.header(), Count: int64(len(found)), Kvs: selectEntries(r, found)}
	if limit := r.GetLimit(); limit > 0 && int64(len(answer.GetKvs())) > limit {
		answer.Kvs = answer.GetKvs()[:limit]
		answer.More = true
	}
	return answer
}

// selectEntries leaves out the entries, and with KeysOnly the values, that the
// request does not ask for.
func selectEntries(r *platform.RangeRequest, found []*platform.KeyValue) []*platform.KeyValue {
	var selected []*platform.KeyValue
	for _, kv := range found {
		if kv.GetModRevision() < r.GetMinModRevision() {
			continue
		}
		if r.GetKeysOnly() {
			kv = &platform.KeyValue{
				Key: kv.GetKey(), CreateRevision: kv.GetCreateRevision(),
				ModRevision: kv.GetModRevision(), Version: kv.GetVersion(), Lease: kv.GetLease(),
			}
		}
		selected = append(selected, kv)
	}
	return selected
}

// entriesIn returns the entries from key up to end, exclusive. An empty end
// means only key, and a single zero byte means all keys from key on, as in
// etcd.
func (s *Server) entriesIn(key, end []byte) []*platform.KeyValue {
	i, found := s.index(key)
	if len(end) == 0 {
		if !found {
			return nil
		}
		return []*platform.KeyValue{s.entries[i]}
	}
	var result []*platform.KeyValue
	for ; i < len(s.entries); i++ {
		if !bytes.Equal(end, []byte{0}) && bytes.Compare(s.entries[i].GetKey(), end) >= 0 {
			break
		}
		result = append(result, s.entries[i])
	}
	return result
}

// Put writes one entry, as a transaction of one operation.
func (s *Server) Put(ctx context.Context, r *platform.PutRequest) (*platform.PutResponse, error) {
	op := &platform.RequestOp{Request: &platform.RequestOp_RequestPut{RequestPut: r}}
	answer, err := s.Txn(ctx, &platform.TxnRequest{Success: []*platform.RequestOp{op}})
	if err != nil {
		return nil, err
	}
	return &platform.PutResponse{Header: answer.GetHeader()}, nil
}

// DeleteRange removes the entries in the range, as a transaction of one
// operation.
func (s *Server) DeleteRange(ctx context.Context, r *platform.DeleteRangeRequest) (*platform.DeleteRangeResponse, error) {
	op := &platform.RequestOp{Request: &platform.RequestOp_RequestDeleteRange{RequestDeleteRange: r}}
	answer, err := s.Txn(ctx, &platform.TxnRequest{Success: []*platform.RequestOp{op}})
	if err != nil {
		return nil, err
	}
	return answer.GetResponses()[0].GetResponseDeleteRange(), nil
}

// Txn runs a transaction: one list of operations if all compares hold,
// otherwise the other. The faults of writes apply to every transaction.
func (s *Server) Txn(ctx context.Context, r *platform.TxnRequest) (*platform.TxnResponse, error) {
	f, err := s.admit(ctx)
	if err != nil {
		return nil, err
	}
	if f.LoseRequests || f.HoldRequests {
		s.keepRequest(r, f.HoldRequests)
		return nil, status.Error(codes.Unavailable, "the request was lost")
	}
	answer, err := s.transact(r)
	if err != nil {
		return nil, err
	}
	if f.OutageAfterWrite {
		s.SetFault(Fault{Outage: true})
	}
	if f.LoseAnswers || f.OutageAfterWrite {
		return nil, status.Error(codes.Unavailable, "the answer was lost")
	}
	return answer, nil
}

// keepRequest keeps a transaction for ReleaseRequests if keep is true.
func (s *Server) keepRequest(r *platform.TxnRequest, keep bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if keep {
		s.heldRequests = append(s.heldRequests, r)
	}
}

// transact runs a transaction in one revision and publishes its events.
func (s *Server) transact(r *platform.TxnRequest) (*platform.TxnResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	operations := r.GetSuccess()
	succeeded := s.allHold(r.GetCompare())
	if !succeeded {
		operations = r.GetFailure()
	}
	if err := s.leasesLive(operations); err != nil {
		return nil, err
	}
	answer := &platform.TxnResponse{Succeeded: succeeded}
	if writes(operations) {
		s.revision++
	}
	var events []*platform.Event
	for _, op := range operations {
		response, changes := s.runOperation(op)
		answer.Responses = append(answer.Responses, response)
		events = append(events, changes...)
	}
	if writes(operations) {
		s.publish(events...)
	}
	answer.Header = s.header()
	return answer, nil
}

// writes reports whether any of the operations is a write.
func writes(operations []*platform.RequestOp) bool {
	for _, op := range operations {
		if op.GetRequestRange() == nil {
			return true
		}
	}
	return false
}

// leasesLive returns an error if a put names a lease that has ended.
func (s *Server) leasesLive(operations []*platform.RequestOp) error {
	for _, op := range operations {
		id := op.GetRequestPut().GetLease()
		if id != 0 && s.leaseIndex(id) < 0 {
			return status.Error(codes.NotFound, "etcdserver: requested lease not found")
		}
	}
	return nil
}

// runOperation runs one operation and returns its response and events. The
// caller must hold mu.
func (s *Server) runOperation(op *platform.RequestOp) (*platform.ResponseOp, []*platform.Event) {
	switch request := op.GetRequest().(type) {
	case *platform.RequestOp_RequestPut:
		p := request.RequestPut
		event := s.store(p.GetKey(), p.GetValue(), p.GetLease())
		response := &platform.ResponseOp_ResponsePut{ResponsePut: &platform.PutResponse{Header: s.header()}}
		return &platform.ResponseOp{Response: response}, []*platform.Event{event}
	case *platform.RequestOp_RequestDeleteRange:
		var events []*platform.Event
		for _, kv := range s.entriesIn(request.RequestDeleteRange.GetKey(), request.RequestDeleteRange.GetRangeEnd()) {
			events = append(events, s.remove(kv.GetKey()))
		}
		answer := &platform.DeleteRangeResponse{Header: s.header(), Deleted: int64(len(events))}
		return &platform.ResponseOp{Response: &platform.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: answer}}, events
	}
	answer := s.rangeResponse(op.GetRequestRange())
	return &platform.ResponseOp{Response: &platform.ResponseOp_ResponseRange{ResponseRange: answer}}, nil
}

// allHold reports whether all compares hold.
func (s *Server) allHold(compares []*platform.Compare) bool {
	for _, c := range compares {
		if !s.compareHolds(c) {
			return false
		}
	}
	return true
}

func (s *Server) compareHolds(c *platform.Compare) bool {
	kv := &platform.KeyValue{}
	if i, found := s.index(c.GetKey()); found {
		kv = s.entries[i]
	}
	order := compareOrder(kv, c)
	switch c.GetResult() {
	case platform.Compare_GREATER:
		return order > 0
	case platform.Compare_LESS:
		return order < 0
	case platform.Compare_NOT_EQUAL:
		return order != 0
	}
	return order == 0
}

// compareOrder compares the field of the entry that c names with the value in
// c: negative if it is less, positive if it is greater.
func compareOrder(kv *platform.KeyValue, c *platform.Compare) int {
	switch c.GetTarget() {
	case platform.Compare_VERSION:
		return compareInts(kv.GetVersion(), c.GetVersion())
	case platform.Compare_CREATE:
		return compareInts(kv.GetCreateRevision(), c.GetCreateRevision())
	case platform.Compare_LEASE:
		return compareInts(kv.GetLease(), c.GetLease())
	case platform.Compare_VALUE:
		return bytes.Compare(kv.GetValue(), c.GetValue())
	}
	return compareInts(kv.GetModRevision(), c.GetModRevision())
}

func compareInts(a, b int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
