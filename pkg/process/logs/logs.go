// Package logs sets up the log of an instance.
//
// Every message begins with the name of its part and a colon, such as
// "Keeper: the platform is not answering." Each part has a level of its own.
//
// # Usage
//
//	levels, err := logs.ParseLevels("info,Keeper=debug")
//	if err != nil {
//		return err
//	}
//	logger := logs.New(os.Stderr, levels)
//	logger.Debug("Keeper: the list can't be read.", "Error", err)
package logs

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// partEnd separates the part from the rest of a message.
const partEnd = ": "

// Parts returns the names of the parts that log.
func Parts() []string {
	return []string{
		"Admin", "Archive", "Certificate", "Claims", "Configuration", "Directory", "Entrance", "Exchange", "Flow", "Follower",
		"Inspector", "Instance", "Keeper", "Libraries", "Log", "Metrics", "Packets", "Ready", "Registrar", "Request", "Roster", "Server", "Servers", "Settings", "Spread",
	}
}

// Levels is the least level that is logged, for all parts and for some.
type Levels struct {
	all   slog.Level
	parts map[string]slog.Level
}

// ParseLevels reads "LEVEL" or "LEVEL,Part=LEVEL,..." with the levels debug,
// info, warn and error.
func ParseLevels(text string) (Levels, error) {
	words := strings.Split(text, ",")
	all, err := parseLevel(words[0])
	if err != nil {
		return Levels{}, err
	}
	levels := Levels{all: all, parts: make(map[string]slog.Level)}
	for _, word := range words[1:] {
		part, name, found := strings.Cut(word, "=")
		if !found || !slices.Contains(Parts(), part) {
			return Levels{}, errors.Errorf("%q is not Part=level with one of the parts %s", word, strings.Join(Parts(), ", "))
		}
		if levels.parts[part], err = parseLevel(name); err != nil {
			return Levels{}, err
		}
	}
	return levels, nil
}

func parseLevel(name string) (slog.Level, error) {
	known := map[string]slog.Level{
		"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
	}
	level, ok := known[name]
	if !ok {
		return 0, errors.Errorf("%q is not debug, info, warn or error", name)
	}
	return level, nil
}

// of returns the least level of a part.
func (l Levels) of(part string) slog.Level {
	if level, ok := l.parts[part]; ok {
		return level
	}
	return l.all
}

// least returns the least level of any part.
func (l Levels) least() slog.Level {
	return slices.Min(append(slices.Collect(maps.Values(l.parts)), l.all))
}

// New returns a logger that writes text lines to w.
func New(w io.Writer, l Levels) *slog.Logger {
	text := slog.NewTextHandler(w, &slog.HandlerOptions{Level: l.least()})
	return slog.New(handler{Handler: text, levels: l})
}

// Libraries returns a writer for the standard log, which libraries write to:
// each line becomes a fixed message, since a line may quote what callers sent.
func Libraries(l *slog.Logger) io.Writer { return libraries{logger: l} }

type libraries struct{ logger *slog.Logger }

// Write logs that a library complained, and not what about.
func (l libraries) Write(line []byte) (int, error) {
	l.logger.Debug("Libraries: a library wrote to the standard log.", "Bytes", len(line))
	return len(line), nil
}

// handler leaves out what is below the level of its part.
type handler struct {
	slog.Handler
	levels Levels
}

// Handle writes the record if its part logs at that level.
func (h handler) Handle(ctx context.Context, r slog.Record) error {
	part, _, _ := strings.Cut(r.Message, partEnd)
	if r.Level < h.levels.of(part) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler that adds the attributes.
func (h handler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return handler{Handler: h.Handler.WithAttrs(attributes), levels: h.levels}
}

// WithGroup returns a handler that opens the group.
func (h handler) WithGroup(name string) slog.Handler {
	return handler{Handler: h.Handler.WithGroup(name), levels: h.levels}
}
