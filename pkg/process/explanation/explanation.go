// Package explanation finds, in the logs of several instances, what became of one
// request and why.
//
// # Usage
//
//	log := explanation.NewLog()
//	for _, name := range files {
//		log.Read(name, file)
//	}
//	story, err := log.Explain("3d43d1d16b353858")
//	for _, line := range story.Lines {
//		fmt.Println(line)
//	}
//	fmt.Println(story.Cause)
package explanation

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// beforeFor and afterFor bound the lines beside the flow's own that belong to
	// a story: a backend server's entry lapses after some 4 s.
	beforeFor = 5 * time.Second
	afterFor  = 5 * time.Second
	// maxLineBytes bounds one line of a log.
	maxLineBytes = 1 << 20
)

// Line is one line of a log.
type Line struct {
	At       time.Time
	Instance string
	Message  string
	Fields   map[string]string
}

// String returns the line for a reader, with its fields in order of name.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.At.UTC().Format("15:04:05.000"), l.Instance, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%s", name, l.Fields[name])
	}
	return b.String()
}

// Log is the lines of several files.
type Log struct {
	lines []Line
	// Skipped counts the lines of each file that can't be read.
	Skipped map[string]int
}

// NewLog returns a log without lines.
func NewLog() *Log { return &Log{Skipped: make(map[string]int)} }

// Read adds the lines of a file. What stands before a line's JSON, as a collector
// of several logs puts it there, is left out; lines that are cut short or mixed
// with others are skipped and counted.
func (g *Log) Read(name string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		line, err := parse(scanner.Bytes())
		if err != nil {
			g.Skipped[name]++
			continue
		}
		g.lines = append(g.lines, line)
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrapf(err, "read %q", name)
	}
	return nil
}

func parse(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, errors.New("line holds no JSON")
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, errors.Wrap(err, "read line")
	}
	l := Line{Fields: make(map[string]string)}
	for name, value := range fields {
		word := fmt.Sprint(value)
		switch name {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, word)
			if err != nil {
				return Line{}, errors.Wrap(err, "read time")
			}
			l.At = at
		case "msg":
			l.Message = word
		case "Instance":
			l.Instance = word
		case "level":
		default:
			l.Fields[name] = readable(name, value, word)
		}
	}
	if l.Message == "" || l.At.IsZero() {
		return Line{}, errors.New("line has no message or time")
	}
	return l, nil
}

// durations are the fields that hold nanoseconds.
var durations = []string{"ConfirmedAge", "SilentFor", "ColdLeft", "After", "Grace", "MaxFlow", "Waited"}

func readable(name string, value any, word string) string {
	if n, ok := value.(float64); ok && slices.Contains(durations, name) {
		return time.Duration(n).Round(time.Millisecond).String()
	}
	if n, ok := value.(float64); ok && n == float64(int64(n)) {
		return fmt.Sprint(int64(n))
	}
	return word
}

// Lines returns all lines in order of time.
func (g *Log) Lines() []Line {
	slices.SortStableFunc(g.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return g.lines
}

// Story is what became of a request.
type Story struct {
	// Lines are those of its flow and of what it met, in order of time.
	Lines []Line
	Cause string
}

// ErrUnknown says that no line names the request.
var ErrUnknown = errors.New("no line names the request or the flow's caller")

// Explain tells what became of a request, by its identifier or by the address and
// port of its caller: a request that was refused never showed its identifier.
func (g *Log) Explain(id string) (Story, error) {
	g.Lines()
	own := g.flow(id)
	if len(own) == 0 {
		return Story{}, errors.Wrapf(ErrUnknown, "request %q", id)
	}
	from, to := own[0].At.Add(-beforeFor), own[len(own)-1].At.Add(afterFor)
	servers, instances := make(map[string]bool), make(map[string]bool)
	for _, l := range own {
		servers[l.Fields["Server"]] = true
		instances[l.Instance] = true
	}
	delete(servers, "")
	story := Story{}
	for _, l := range g.lines {
		if l.At.Before(from) || l.At.After(to) {
			continue
		}
		if contains(own, l) || servers[l.Fields["Server"]] && strings.HasPrefix(l.Message, "Server:") && instances[l.Instance] || instances[l.Instance] && ambient(l) {
			story.Lines = append(story.Lines, l)
		}
	}
	story.Cause = cause(own, story.Lines)
	return story, nil
}

// flow returns the lines of the request's flow, from its opening on.
func (g *Log) flow(id string) []Line {
	caller, route := "", ""
	var at time.Time
	for _, l := range g.lines {
		if l.Fields["RequestId"] == id || l.Fields["Caller"] == id {
			caller, route, at = l.Fields["Caller"], l.Fields["Route"], l.At
			break
		}
	}
	if caller == "" {
		return nil
	}
	var own []Line
	for _, l := range g.lines {
		if l.Fields["Caller"] != caller || l.Fields["Route"] != route || l.At.After(at.Add(afterFor)) {
			continue
		}
		if other := l.Fields["RequestId"]; other != "" && other != id && l.Fields["Caller"] != id {
			continue
		}
		own = append(own, l)
	}
	return own
}

func contains(lines []Line, l Line) bool {
	return slices.ContainsFunc(lines, func(o Line) bool {
		return o.At.Equal(l.At) && o.Instance == l.Instance && o.Message == l.Message && maps.Equal(o.Fields, l.Fields)
	})
}

// ambient says whether a line tells of the instance's state rather than of flows
// or backend servers.
func ambient(l Line) bool {
	for _, part := range []string{"Instance:", "Follower:", "Configuration:", "Settings:", "Log:", "Packets:", "Exchange:"} {
		if strings.HasPrefix(l.Message, part) {
			return true
		}
	}
	return false
}
