package logs_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
)

// recorder is a log file. Writes block until unblock is closed, if it isn't nil.
type recorder struct {
	mu      sync.Mutex
	unblock chan struct{}
	text    bytes.Buffer
}

func (r *recorder) Write(line []byte) (int, error) {
	if r.unblock != nil {
		<-r.unblock
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(line)
}

// count returns the number of lines with a message.
func (r *recorder) count(t *testing.T, message string) int {
	t.Helper()
	n := 0
	for line := range strings.Lines(r.text.String()) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		if fields["msg"] == message {
			n++
		}
	}
	return n
}

func levels(t *testing.T, text string) logs.Levels {
	t.Helper()
	l, err := logs.ParseLevels(text)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// A flood of one message must not grow the log beyond the message's rate limit, nor
// suppress other messages, and the log must say that lines are missing.
func TestFloodOfOneMessageStaysBelowItsRateAndIsCounted(t *testing.T) {
	var r recorder
	now := time.Unix(0, 0)
	log, closeLog := logs.NewStream(&r, levels(t, "info"), func() time.Time { return now })
	for range 10 {
		for range 10_000 {
			log.Info("Packets: dropped.")
		}
		log.Info("Exchange: another message.")
		now = now.Add(time.Second)
	}
	closeLog()
	if got := r.count(t, "Packets: dropped."); got > 300+10*150 || got < 300 {
		t.Errorf("%d lines of 100,000 in ten seconds", got)
	}
	if got := r.count(t, "Exchange: another message."); got != 10 {
		t.Errorf("%d of 10 lines of another message", got)
	}
	if r.count(t, "Log: lines were left out.") == 0 {
		t.Error("nothing says that lines were left out")
	}
}

// Lines logged with the context Always must not fall under the rate limit.
func TestStartsStopsAndDependenciesAreNeverLeftOut(t *testing.T) {
	var r recorder
	log, closeLog := logs.NewStream(&r, levels(t, "info"), func() time.Time { return time.Unix(0, 0) })
	for range 1000 {
		log.InfoContext(logs.Always(), "Follower: the store answers again.")
	}
	closeLog()
	if got := r.count(t, "Follower: the store answers again."); got != 1000 {
		t.Errorf("%d of 1000 lines", got)
	}
}

// While the log can't be written, logging must go on without waiting: lines that don't
// fit into the ring are dropped.
func TestSlowReaderNeverBlocksWriters(t *testing.T) {
	r := recorder{unblock: make(chan struct{})}
	log, closeLog := logs.NewStream(&r, levels(t, "info"), func() time.Time { return time.Unix(0, 0) })
	for range 5000 {
		log.InfoContext(logs.Always(), "Instance: ready.")
	}
	close(r.unblock)
	closeLog()
	if got := r.count(t, "Instance: ready."); got >= 5000 || got < 2000 {
		t.Errorf("%d of 5000 lines were kept", got)
	}
}

// A level set for one part must hold in a Stream too.
func TestPartsHaveLevelsOfTheirOwn(t *testing.T) {
	var r recorder
	log, closeLog := logs.NewStream(&r, levels(t, "info,Flow=warn"), func() time.Time { return time.Unix(0, 0) })
	log.Info("Flow: placed.")
	log.Info("Server: described.")
	closeLog()
	if r.count(t, "Flow: placed.") != 0 || r.count(t, "Server: described.") != 1 {
		t.Errorf("log: %s", r.text.String())
	}
}

// Guards against lines that hold megabytes of what others wrote: some hundreds of them may wait
// for the reader of the log.
func TestLongLinesAreLeftOutAndCounted(t *testing.T) {
	var r recorder
	now := time.Unix(0, 0)
	log, closeLog := logs.NewStream(&r, levels(t, "info"), func() time.Time { return now })
	log.Info("Directory: long.", "Text", strings.Repeat("x", 1<<20))
	log.Info("Directory: a stack.", "Text", strings.Repeat("x", 8<<10))
	now = now.Add(2 * time.Second)
	log.Info("Directory: short.")
	closeLog()
	for message, want := range map[string]int{"Directory: long.": 0, "Directory: a stack.": 1, "Directory: short.": 1, "Log: lines were left out.": 1} {
		if got := r.count(t, message); got != want {
			t.Errorf("%q: %d lines, want %d", message, got, want)
		}
	}
}
