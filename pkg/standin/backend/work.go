package backend

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/service/api"
)

// coldSlots is how many concurrent requests the stand-in accepts while it is
// cold.
const coldSlots = 1

// Handle runs one request and answers with the server's name and the body of
// the request. It implements the Worker service.
func (s *Server) Handle(ctx context.Context, r *connect.Request[api.HandleRequest]) (*connect.Response[api.HandleResponse], error) {
	if r.Msg.GetBodyHash() != xxhash.Sum64(r.Msg.GetBody()) {
		return nil, connect.NewError(connect.CodeDataLoss, nil)
	}
	work, refusal := s.acquireSlot(r.Msg)
	if refusal != nil {
		return connect.NewResponse(refusal), nil
	}
	defer s.releaseSlot()
	s.waitForRelease(ctx)
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	if ctx.Err() != nil {
		s.countCancelled()
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	s.countRun(r.Msg.GetTicket())
	body := append([]byte(s.name+": "), r.Msg.GetBody()...)
	return connect.NewResponse(&api.HandleResponse{
		Ticket:   s.answerTicket(r.Msg.GetTicket()),
		Body:     body,
		BodyHash: xxhash.Sum64(body),
	}), nil
}

// acquireSlot takes a slot for the request and returns how long its work takes,
// or returns a refusal if no slot is free, the server is leaving or the
// deadline has passed.
func (s *Server) acquireSlot(r *api.HandleRequest) (time.Duration, *api.HandleResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := s.slots
	if s.cold {
		slots = min(slots, coldSlots)
	}
	expired := r.GetDeadlineUnixMilliseconds() != 0 && time.Now().UnixMilli() > r.GetDeadlineUnixMilliseconds()
	if s.leaving || expired || s.busy >= slots {
		s.refused++
		return 0, &api.HandleResponse{
			Ticket:                 r.GetTicket(),
			Refused:                true,
			Cold:                   s.cold,
			RetryAfterMilliseconds: retryAfter.Milliseconds(),
			BodyHash:               xxhash.Sum64(nil),
		}
	}
	s.busy++
	s.peak = max(s.peak, s.busy)
	return s.work, nil
}

// releaseSlot frees the slot of a request that has ended.
func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

func (s *Server) countRun(ticket string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[ticket]++
}

func (s *Server) countCancelled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled++
}

// Cancelled returns how many requests their callers cancelled before they had
// run.
func (s *Server) Cancelled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// Runs returns how many times the request with the ticket has run.
func (s *Server) Runs(ticket string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[ticket]
}

// TotalRuns returns how many times requests have run, over all tickets.
func (s *Server) TotalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.runs {
		total += n
	}
	return total
}

// Refused returns how many requests were refused so far.
func (s *Server) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}
