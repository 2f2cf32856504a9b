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
	// ringLines is how many lines wait for a slow reader of the log: some
	// seconds of the heaviest load.
	ringLines = 2048
	// linesASecond and burstLines bound the lines of one message. An instance of a
	// small deployment forwards up to a hundred requests a second, and at the
	// design size it places 45 flows.
	linesASecond = 150
	burstLines   = 300
	// tellEvery is how often the log says what was left out.
	tellEvery = time.Second
)

// Stream is a JSON log that neither blocks its writers nor grows with the load.
// Each message has a rate of its own, but warnings and what is marked as Always;
// the number of lines left out is logged in their place.
type Stream struct {
	writer io.Writer
	levels Levels
	now    func() time.Time
	ring   chan []byte
	quit   chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	rates   map[string]*rate
	told    time.Time
	dropped int
}

// rate is the allowance of one message.
type rate struct {
	left    float64
	at      time.Time
	leftOut int
}

// always marks records without a rate.
type always struct{}

// Always returns a context for lines that must not be left out: starts, stops,
// reloads, and dependencies lost and regained.
func Always() context.Context { return context.WithValue(context.Background(), always{}, true) }

// NewStream returns a logger and a function that writes what still waits.
func NewStream(w io.Writer, l Levels, now func() time.Time) (*slog.Logger, func()) {
	s := &Stream{
		writer: w, levels: l, now: now,
		ring: make(chan []byte, ringLines), quit: make(chan struct{}), done: make(chan struct{}),
		rates: make(map[string]*rate), told: now(),
	}
	json := slog.NewJSONHandler(lines{s}, &slog.HandlerOptions{Level: l.least()})
	go s.run()
	return slog.New(limited{Handler: json, stream: s}), s.close
}

// run writes lines until the stream is closed.
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
	// There is nowhere to report that the log can't be written.
	_, _ = s.writer.Write(line)
}

func (s *Stream) close() {
	close(s.quit)
	<-s.done
}

// allows says whether a message may be logged now.
func (s *Stream) allows(message string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	r, ok := s.rates[message]
	if !ok {
		r = &rate{left: burstLines, at: now}
		s.rates[message] = r
	}
	r.left = min(r.left+now.Sub(r.at).Seconds()*linesASecond, burstLines)
	r.at = now
	if r.left < 1 {
		r.leftOut++
		return false
	}
	r.left--
	return true
}

// omission is how many lines of one message were left out.
type omission struct {
	message string
	lines   int
}

// omitted returns what was left out since the last time, once a second.
func (s *Stream) omitted() []omission {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.told) < tellEvery {
		return nil
	}
	s.told = now
	var all []omission
	for message, r := range s.rates {
		if r.leftOut > 0 {
			all = append(all, omission{message: message, lines: r.leftOut})
			r.leftOut = 0
		}
	}
	if s.dropped > 0 {
		all = append(all, omission{message: "any message: the reader is slow", lines: s.dropped})
		s.dropped = 0
	}
	return all
}

// lines puts formatted lines into the ring.
type lines struct{ stream *Stream }

// Write takes one line. A full ring drops it.
func (l lines) Write(line []byte) (int, error) {
	select {
	case l.stream.ring <- append([]byte(nil), line...):
	default:
		l.stream.mu.Lock()
		l.stream.dropped++
		l.stream.mu.Unlock()
	}
	return len(line), nil
}

// limited leaves out what is below its part's level or beyond its rate.
type limited struct {
	slog.Handler
	stream *Stream
}

// Enabled says whether any part logs at that level.
func (h limited) Enabled(_ context.Context, level slog.Level) bool {
	return level >= h.stream.levels.least()
}

// Handle writes the record if level and rate allow it.
func (h limited) Handle(ctx context.Context, r slog.Record) error {
	part, _, _ := strings.Cut(r.Message, partEnd)
	if r.Level < h.stream.levels.of(part) {
		return nil
	}
	for _, o := range h.stream.omitted() {
		left := slog.NewRecord(r.Time, slog.LevelWarn, "Log: lines were left out.", 0)
		left.AddAttrs(slog.String("Message", o.message), slog.Int("Lines", o.lines))
		if err := h.Handler.Handle(ctx, left); err != nil {
			return err
		}
	}
	if ctx.Value(always{}) == nil && !h.stream.allows(r.Message) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler that adds the attributes.
func (h limited) WithAttrs(attributes []slog.Attr) slog.Handler {
	return limited{Handler: h.Handler.WithAttrs(attributes), stream: h.stream}
}

// WithGroup returns a handler that opens the group.
func (h limited) WithGroup(name string) slog.Handler {
	return limited{Handler: h.Handler.WithGroup(name), stream: h.stream}
}
