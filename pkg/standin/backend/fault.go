package backend

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
)

// Fault is a way in which the stand-in misbehaves towards requests.
type Fault uint8

// The faults. Each ends the connection at another moment or corrupts the answer.
const (
	NoFault Fault = iota
	// CutBeforeRun closes the connection on arrival.
	CutBeforeRun
	// CutAfterRun runs the request and closes the connection.
	CutAfterRun
	// CutMidAnswer runs the request and closes the connection after half of the
	// answer.
	CutMidAnswer
	// WrongTicketAnswer runs the request and answers with the ticket of another
	// one.
	WrongTicketAnswer
	// DoubleAnswer runs the request and sends the answer twice.
	DoubleAnswer
	// CorruptAnswer runs the request and changes a byte of the body of the answer.
	CorruptAnswer
	// ClosingAnswer runs the request, answers and closes the connection without
	// a Connection header that announces it.
	ClosingAnswer
	// Gone closes the listener and all connections, for good.
	Gone
)

// SetFault sets the fault from now on. Gone cannot be undone.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	if f == Gone {
		// Close fails only if the listener is closed already.
		_ = s.httpServer.Close()
	}
}

func (s *Server) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// answerTicket returns the ticket to answer with.
func (s *Server) answerTicket(ticket string) string {
	if s.currentFault() == WrongTicketAnswer {
		return ticket + "-foreign"
	}
	return ticket
}

// injectFaults returns a handler that causes the faults of the connection
// around next.
func (s *Server) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := s.currentFault()
		if f == NoFault || f == WrongTicketAnswer || !strings.HasSuffix(r.URL.Path, "/Handle") {
			next.ServeHTTP(w, r)
			return
		}
		if f == CutBeforeRun {
			panic(http.ErrAbortHandler)
		}
		recorder := httptest.NewRecorder()
		next.ServeHTTP(recorder, r)
		if f == CutAfterRun {
			panic(http.ErrAbortHandler)
		}
		writeRaw(w, rawAnswer(f, recorder))
	})
}

// rawAnswer returns the recorded answer as bytes of an HTTP/1.1 connection,
// changed as the fault demands.
func rawAnswer(f Fault, recorder *httptest.ResponseRecorder) []byte {
	body := recorder.Body.Bytes()
	if f == CorruptAnswer {
		body = bytes.Replace(body, []byte(": "), []byte("; "), 1)
	}
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "HTTP/1.1 %d OK\r\n", recorder.Code)
	// Writing to a bytes.Buffer never fails.
	_ = recorder.Header().Write(&raw)
	fmt.Fprintf(&raw, "Content-Length: %d\r\n\r\n", len(body))
	if f == CutMidAnswer {
		body = body[:len(body)/2]
	}
	raw.Write(body)
	if f == DoubleAnswer {
		raw.Write(bytes.Clone(raw.Bytes()))
	}
	return raw.Bytes()
}

// writeRaw writes the bytes to the connection, closes only its sending half and
// waits for the other end to close, so that all bytes arrive.
func writeRaw(w http.ResponseWriter, raw []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	// The connection is not used again, so an error makes no difference.
	defer func() { _ = c.Close() }()
	if _, err := c.Write(raw); err != nil {
		return
	}
	if closer, ok := c.(interface{ CloseWrite() error }); ok && closer.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}
