package logs

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"time"
)

const (
	// ringLines is how many lines can wait for a slow reader of the log: some seconds
	// of the heaviest load.
	ringLines = 2048
	// maxLine is the longest line in bytes: one with a stack has some 5 KB. Longer ones hold
	// what others wrote, and would fill the memory while they wait.
	maxLine = 16 << 10
	// linesPerSecond and burstLines limit the lines with the same message. An instance
	// of a small deployment forwards up to a hundred requests a second, and one of the
	// design size places 45 flows a second.
	linesPerSecond = 150
	burstLines     = 300
	// omissionPeriod is the shortest time between two reports of omitted lines.
	omissionPeriod = time.Second
)

// Stream is a JSON log that never blocks its writers and whose size is bounded under
// load. The lines with the same message have a rate limit, except those logged with
// the context Always. Omitted lines are counted, and their number is logged instead.
type Stream struct {
	writer io.Writer
	levels Levels
	now    func() time.Time
	ring   chan []byte
	quit   chan struct{}
	done   chan struct{}

	mu sync.Mutex
	// rates holds the rate of each message.
	rates map[string]*rate
	// lastOmissions is when omitted lines were last reported.
	lastOmissions time.Time
	// dropped counts lines that didn't fit into the ring since then, and tooLong those that
	// were longer than maxLine.
	dropped, tooLong int
}

// rate is the token bucket of one message.
type rate struct {
	tokens     float64
	refilledAt time.Time
	// omitted counts lines without a token since the last report.
	omitted int
}

// alwaysKey is the context key of records without a rate limit.
type alwaysKey struct{}

// Always returns a context for lines that have no rate limit: starts, stops, reloads,
// and dependencies lost and regained. A full ring still drops them.
func Always() context.Context { return context.WithValue(context.Background(), alwaysKey{}, true) }

// NewStream returns a logger that writes JSON lines to w in a goroutine of its own, and
// a function that writes the waiting lines and ends the goroutine.
func NewStream(w io.Writer, l Levels, now func() time.Time) (*slog.Logger, func()) {
	s := &Stream{
		writer: w, levels: l, now: now,
		ring: make(chan []byte, ringLines), quit: make(chan struct{}), done: make(chan struct{}),
		rates: make(map[string]*rate), lastOmissions: now(),
	}
	json := slog.NewJSONHandler(ringWriter{s}, &slog.HandlerOptions{Level: l.lowest()})
	go s.run()
	return slog.New(limitedHandler{Handler: json, stream: s}), s.close
}

// run writes lines until the stream is closed, and then those that still wait.
func (s *Stream) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.ring:
			s.write(line)
		case <-s.quit:
			for {
				select {
				case line := <-s.ring:
					s.write(line)
				default:
					return
				}
			}
		}
	}
}

func (s *Stream) write(line []byte) {
	// A failure to write the log can't be logged.
	_, _ = s.writer.Write(line)
}

func (s *Stream) close() {
	close(s.quit)
	<-s.done
}

// takeToken returns false if a line with this message exceeds its rate limit, and
// counts it as omitted.
func (s *Stream) takeToken(message string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	r, ok := s.rates[message]
	if !ok {
		r = &rate{tokens: burstLines, refilledAt: now}
		s.rates[message] = r
	}
	r.tokens = min(r.tokens+now.Sub(r.refilledAt).Seconds()*linesPerSecond, burstLines)
	r.refilledAt = now
	if r.tokens < 1 {
		r.omitted++
		return false
	}
	r.tokens--
	return true
}

// omission is the number of omitted lines with one message.
type omission struct {
	message string
	lines   int
}

// takeOmissions returns the lines omitted since its last result and resets the counts.
// Within omissionPeriod of that it returns nothing.
func (s *Stream) takeOmissions() []omission {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.lastOmissions) < omissionPeriod {
		return nil
	}
	s.lastOmissions = now
	var omissions []omission
	for message, r := range s.rates {
		if r.omitted > 0 {
			omissions = append(omissions, omission{message: message, lines: r.omitted})
			r.omitted = 0
		}
	}
	if s.dropped > 0 {
		omissions = append(omissions, omission{message: "any message: the reader is slow", lines: s.dropped})
		s.dropped = 0
	}
	if s.tooLong > 0 {
		omissions = append(omissions, omission{message: "any message: the line is too long", lines: s.tooLong})
		s.tooLong = 0
	}
	return omissions
}

// ringWriter puts formatted lines into the stream's ring.
type ringWriter struct{ stream *Stream }

// Write queues a copy of one line, or drops and counts it if the ring is full or the line is
// too long.
func (l ringWriter) Write(line []byte) (int, error) {
	if len(line) > maxLine {
		l.stream.mu.Lock()
		l.stream.tooLong++
		l.stream.mu.Unlock()
		return len(line), nil
	}
	select {
	case l.stream.ring <- append([]byte(nil), line...):
	default:
		l.stream.mu.Lock()
		l.stream.dropped++
		l.stream.mu.Unlock()
	}
	return len(line), nil
}

// limitedHandler drops records below the level of their part or beyond the rate limit
// of their message.
type limitedHandler struct {
	slog.Handler
	stream *Stream
}

// Enabled reports whether any part logs at the level.
func (h limitedHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= h.stream.levels.lowest()
}

// Handle passes the record on if level and rate limit allow it, after a report of
// omitted lines if one is due.
func (h limitedHandler) Handle(ctx context.Context, r slog.Record) error {
	part, _, _ := strings.Cut(r.Message, partEnd)
	if r.Level < h.stream.levels.level(part) {
		return nil
	}
	for _, o := range h.stream.takeOmissions() {
		report := slog.NewRecord(r.Time, slog.LevelWarn, "Log: lines were left out.", 0)
		report.AddAttrs(slog.String("Message", o.message), slog.Int("Lines", o.lines))
		if err := h.Handler.Handle(ctx, report); err != nil {
			return err
		}
	}
	if ctx.Value(alwaysKey{}) == nil && !h.stream.takeToken(r.Message) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler that adds the attributes.
func (h limitedHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return limitedHandler{Handler: h.Handler.WithAttrs(attributes), stream: h.stream}
}

// WithGroup returns a handler that opens the group.
func (h limitedHandler) WithGroup(name string) slog.Handler {
	return limitedHandler{Handler: h.Handler.WithGroup(name), stream: h.stream}
}
