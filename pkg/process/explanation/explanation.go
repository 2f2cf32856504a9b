// Package explanation reconstructs from the logs of several instances what happened to
// one request, and names the most probable cause.
//
// # Usage
//
//	log := explanation.NewLog()
//	for _, name := range files {
//		log.Read(name, file)
//	}
//	result, err := log.Explain("3d43d1d16b353858")
//	for _, line := range result.Lines {
//		fmt.Println(line)
//	}
//	fmt.Println(result.Cause)
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

// timeFormat shows the time of a line.
const timeFormat = "15:04:05.000"

const (
	// contextBefore and contextAfter bound the time around the flow's lines from which
	// other lines are taken: a backend server's entry expires after some 4 s.
	contextBefore = 5 * time.Second
	contextAfter  = 5 * time.Second
	// maxLineBytes is the length of the longest line that can be read.
	maxLineBytes = 1 << 20
)

// Line is one line of a log.
type Line struct {
	At       time.Time
	Instance string
	Message  string
	// Fields are the other fields of the line, formatted for a reader.
	Fields map[string]string
}

// String formats the line for a reader, with its fields sorted by name.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.At.UTC().Format(timeFormat), l.Instance, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%s", name, l.Fields[name])
	}
	return b.String()
}

// Log holds the lines of several log files. It is not safe for concurrent use.
type Log struct {
	lines []Line
	// Skipped counts the lines that can't be parsed, by file.
	Skipped map[string]int
}

// NewLog returns a log without lines.
func NewLog() *Log { return &Log{Skipped: make(map[string]int)} }

// Read adds the lines of a file; name identifies it in Skipped and in errors. A prefix
// before a line's JSON, as log collectors add it, is ignored. Lines that are truncated
// or mixed with others are skipped and counted.
func (g *Log) Read(name string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		line, err := parseLine(scanner.Bytes())
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

func parseLine(line []byte) (Line, error) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Line{}, errors.New("line contains no JSON")
	}
	var fields map[string]any
	if err := json.Unmarshal(line[start:], &fields); err != nil {
		return Line{}, errors.Wrap(err, "parse JSON of line")
	}
	l := Line{Fields: make(map[string]string)}
	for name, value := range fields {
		text := fmt.Sprint(value)
		switch name {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, text)
			if err != nil {
				return Line{}, errors.Wrap(err, "parse time of line")
			}
			l.At = at
		case "msg":
			l.Message = text
		case "Instance":
			l.Instance = text
		case "level":
		default:
			l.Fields[name] = formatValue(name, value, text)
		}
	}
	if l.Message == "" || l.At.IsZero() {
		return Line{}, errors.New("line has no message or time")
	}
	return l, nil
}

// durationFields are the fields whose values are durations in nanoseconds.
var durationFields = []string{"ConfirmedAge", "ReadAge", "SilentFor", "SignAge", "ColdLeft", "After", "Grace", "MaxFlow", "Waited", "Wait", "Limit", "Lasted"}

// formatValue formats a field's value: durations with a unit, whole numbers without an
// exponent, and other values as text.
func formatValue(name string, value any, text string) string {
	if n, ok := value.(float64); ok && slices.Contains(durationFields, name) {
		return time.Duration(n).Round(time.Millisecond).String()
	}
	if n, ok := value.(float64); ok && n == float64(int64(n)) {
		return fmt.Sprint(int64(n))
	}
	return text
}

// Lines returns all lines in order of time. The slice belongs to the Log.
func (g *Log) Lines() []Line {
	slices.SortStableFunc(g.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return g.lines
}

// Result is what the logs show about a request.
type Result struct {
	// Lines are those of the request's flow, and those around it about its backend
	// servers and instances, in order of time.
	Lines []Line
	// Cause is one sentence about the most probable cause of its outcome.
	Cause string
}

// ErrUnknown is returned if no line names the request or the caller.
var ErrUnknown = errors.New("no line names the request or the flow's caller")

// Explain returns what happened to a request. It finds the request by its identifier,
// or by the address and port of its caller, since instances never see the identifier
// of a request whose flow they refuse.
func (g *Log) Explain(id string) (Result, error) {
	g.Lines()
	flow := g.flowLines(id)
	if len(flow) == 0 {
		return Result{}, errors.Wrapf(ErrUnknown, "request %q", id)
	}
	from, to := flow[0].At.Add(-contextBefore), flow[len(flow)-1].At.Add(contextAfter)
	servers, instances := make(map[string]bool), make(map[string]bool)
	for _, l := range flow {
		servers[l.Fields["Server"]] = true
		instances[l.Instance] = true
	}
	delete(servers, "")
	result := Result{}
	for _, l := range g.lines {
		if l.At.After(to) {
			continue
		}
		if isShortageLine(l, flow) {
			result.Lines = append(result.Lines, l)
			continue
		}
		if l.At.Before(from) {
			continue
		}
		if contains(flow, l) || servers[l.Fields["Server"]] && strings.HasPrefix(l.Message, "Server:") && instances[l.Instance] || instances[l.Instance] && isInstanceLine(l) {
			result.Lines = append(result.Lines, l)
		}
	}
	result.Cause = findCause(flow, result.Lines)
	return result, nil
}

// flowLines returns the lines of the request's flow, from its opening on.
func (g *Log) flowLines(id string) []Line {
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
	var flow []Line
	for _, l := range g.lines {
		if l.Fields["Caller"] != caller || l.Fields["Route"] != route || l.At.After(at.Add(contextAfter)) {
			continue
		}
		if other := l.Fields["RequestId"]; other != "" && other != id && l.Fields["Caller"] != id {
			continue
		}
		flow = append(flow, l)
	}
	return flow
}

// isShortageLine reports whether a line is about a shortage of the service of the flow's last
// line, at its instance. A shortage may have begun long before.
func isShortageLine(l Line, flow []Line) bool {
	last := flow[len(flow)-1]
	return strings.HasPrefix(l.Message, "Service:") && l.Instance == last.Instance && l.Fields["Service"] == last.Fields["Service"]
}

func contains(lines []Line, l Line) bool {
	return slices.ContainsFunc(lines, func(o Line) bool {
		return o.At.Equal(l.At) && o.Instance == l.Instance && o.Message == l.Message && maps.Equal(o.Fields, l.Fields)
	})
}

// isInstanceLine reports whether a line is about the state of its instance rather than
// about flows or backend servers.
func isInstanceLine(l Line) bool {
	for _, part := range []string{"Instance:", "Follower:", "Configuration:", "DataCentre:", "Settings:", "Log:", "Packets:", "Exchange:"} {
		if strings.HasPrefix(l.Message, part) {
			return true
		}
	}
	return false
}
