// Package logs creates the loggers of an instance.
//
// Every message begins with the name of the part that logs it and a colon, such as
// "Keeper: the platform is not answering." A level can be set for each part.
//
// # Usage
//
//	levels, err := logs.ParseLevels("info,Keeper=debug")
//	if err != nil {
//		return err
//	}
//	logger := logs.New(os.Stderr, levels)
//	logger.Debug("Keeper: the platform's list can't be read.", "Error", err)
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

// partEnd separates the part's name from the rest of a message.
const partEnd = ": "

// Parts returns the names of all parts that log, sorted.
func Parts() []string {
	return []string{
		"Admin", "Archive", "Certificate", "Claims", "Configuration", "Directory", "Entrance", "Exchange", "Flow", "Follower",
		"Inspector", "Instance", "Keeper", "Libraries", "Log", "Metrics", "Packets", "Ready", "Registrar", "Request", "Roster", "Server", "Servers", "Settings", "Spread",
	}
}

// Levels holds the lowest level that each part logs.
type Levels struct {
	// fallback is the level of parts that aren't in the map.
	fallback slog.Level
	parts    map[string]slog.Level
}

// ParseLevels parses "LEVEL" or "LEVEL,Part=LEVEL,...", where LEVEL is debug, info,
// warn or error. The first level is that of all parts that aren't named.
func ParseLevels(text string) (Levels, error) {
	items := strings.Split(text, ",")
	fallback, err := parseLevel(items[0])
	if err != nil {
		return Levels{}, err
	}
	levels := Levels{fallback: fallback, parts: make(map[string]slog.Level)}
	for _, item := range items[1:] {
		part, name, found := strings.Cut(item, "=")
		if !found || !slices.Contains(Parts(), part) {
			return Levels{}, errors.Errorf("%q is not Part=level with one of the parts %s", item, strings.Join(Parts(), ", "))
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

// level returns the lowest level that a part logs.
func (l Levels) level(part string) slog.Level {
	if level, ok := l.parts[part]; ok {
		return level
	}
	return l.fallback
}

// lowest returns the lowest level that any part logs.
func (l Levels) lowest() slog.Level {
	return slices.Min(append(slices.Collect(maps.Values(l.parts)), l.fallback))
}

// New returns a logger that writes lines of text to w in the calling goroutine.
func New(w io.Writer, l Levels) *slog.Logger {
	text := slog.NewTextHandler(w, &slog.HandlerOptions{Level: l.lowest()})
	return slog.New(levelHandler{Handler: text, levels: l})
}

// Libraries returns a writer for the standard log, which libraries write to. It logs a
// fixed message with the length of each line instead of the line itself, since a line
// may quote data of callers.
func Libraries(l *slog.Logger) io.Writer { return libraryWriter{logger: l} }

type libraryWriter struct{ logger *slog.Logger }

// Write logs that a library wrote a line, and its length.
func (l libraryWriter) Write(line []byte) (int, error) {
	l.logger.Debug("Libraries: a library wrote to the standard log.", "Bytes", len(line))
	return len(line), nil
}

// levelHandler drops records below the level of their part.
type levelHandler struct {
	slog.Handler
	levels Levels
}

// Handle passes the record on if its part logs at its level.
func (h levelHandler) Handle(ctx context.Context, r slog.Record) error {
	part, _, _ := strings.Cut(r.Message, partEnd)
	if r.Level < h.levels.level(part) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler that adds the attributes.
func (h levelHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return levelHandler{Handler: h.Handler.WithAttrs(attributes), levels: h.levels}
}

// WithGroup returns a handler that opens the group.
func (h levelHandler) WithGroup(name string) slog.Handler {
	return levelHandler{Handler: h.Handler.WithGroup(name), levels: h.levels}
}
