package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"
)

// maxLineBytes is the length of the longest line that Read accepts.
const maxLineBytes = 4 << 20

// headerLine is the line number of the header. Lines are counted from 1.
const headerLine = 1

// LineError is an error in one line of a trace.
type LineError struct {
	// Line is the number of the line in the file, counted from 1.
	Line int
	Err  error
}

// Error returns the line number and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// Write writes a trace. It sets the format, the version and the number of lines
// in the header.
func Write(w io.Writer, t Trace) error {
	t.Header.Format, t.Header.Version, t.Header.Lines = Format, Version, len(t.Lines)
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(t.Header); err != nil {
		return errors.Wrap(err, "write header")
	}
	for i, l := range t.Lines {
		if err := encoder.Encode(l); err != nil {
			return errors.Wrapf(err, "write line %d", i+headerLine+1)
		}
	}
	return buffered.Flush()
}

// Read reads a whole trace. The error is a *LineError if a line cannot be read
// or is invalid, or if the trace is empty or truncated.
func Read(r io.Reader) (Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var t Trace
	number := 0
	for scanner.Scan() {
		number++
		var err error
		if number == headerLine {
			t.Header, err = readHeader(scanner.Bytes())
		} else {
			err = t.addLine(scanner.Bytes())
		}
		if err != nil {
			return Trace{}, &LineError{Line: number, Err: err}
		}
	}
	if err := scanner.Err(); err != nil {
		return Trace{}, &LineError{Line: number + 1, Err: err}
	}
	return t, t.checkComplete(number)
}

// readHeader decodes the header and checks its format and version.
func readHeader(data []byte) (Header, error) {
	var h Header
	if err := decode(data, &h); err != nil {
		return h, err
	}
	if h.Format != Format {
		return h, errors.Errorf("format %q is not %q", h.Format, Format)
	}
	if h.Version != Version {
		return h, errors.Errorf("version %d of the format is not supported, only %d", h.Version, Version)
	}
	return h, nil
}

// addLine decodes a line, checks it and appends it.
func (t *Trace) addLine(data []byte) error {
	var l Line
	if err := decode(data, &l); err != nil {
		return err
	}
	if len(t.Lines) > 0 && l.At < t.Lines[len(t.Lines)-1].At {
		return errors.Errorf("time %d is before that of the line above", l.At)
	}
	t.Lines = append(t.Lines, l)
	return l.check()
}

// checkComplete returns an error if lines are missing at the end. linesRead is the
// number of lines that were read, the header included.
func (t *Trace) checkComplete(linesRead int) error {
	if linesRead == 0 {
		return &LineError{Line: headerLine, Err: errors.New("the file is empty")}
	}
	if len(t.Lines) != t.Header.Lines {
		return &LineError{Line: linesRead, Err: errors.Errorf("the file is truncated: %d of %d lines", len(t.Lines), t.Header.Lines)}
	}
	return nil
}

// decode decodes the only JSON object of a line. Unknown fields are errors.
func decode(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("more than one object on the line")
	}
	return nil
}

// check returns an error if the line lacks a field that its input needs.
func (l Line) check() error {
	needs := func(present bool, field string) error {
		if present {
			return nil
		}
		return errors.Errorf("input %s needs %s", l.Input, field)
	}
	if l.Input != Accepted {
		if err := needs(l.Instance != "", "Instance"); err != nil {
			return err
		}
	}
	switch l.Input {
	case Accepted:
		return needs(l.Catalogue != nil, "Catalogue")
	case Exchange, Spread, Silence:
		return needs(l.Peer != "", "Peer")
	case Configuration:
		return needs(l.Version != 0, "Version")
	case Report:
		return needs(l.Backend != "", "Backend")
	case Packet:
		return needs(l.Source.IsValid() && l.Destination.IsValid(), "Source and Destination")
	case Request:
		return needs(l.Class != "" && l.Ends != "", "Class and Ends")
	case Start, Kill, Leave, Tick, FlowTick, List:
		return nil
	}
	return errors.Errorf("input %q is unknown", l.Input)
}
