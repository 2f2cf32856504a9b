package instance_test

import (
	"bytes"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/tanagerweir/tanagerweir/pkg/demo"
	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
)

// logBuffer collects log output. It is safe for use from several goroutines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), part)
}

// TestMalformedPacketsAreCountedAndLoggedOnce sends datagrams that are too short to
// be packets. Each has to be counted, and all together make one log message.
func TestMalformedPacketsAreCountedAndLoggedOnce(t *testing.T) {
	ctx := testContext(t)
	levels, err := logs.ParseLevels("warn")
	if err != nil {
		t.Fatal(err)
	}
	var logOutput logBuffer
	cluster, closeCluster, err := demo.NewCluster(ctx, demo.SmallPlan(), logs.New(&logOutput, levels))
	if err != nil {
		t.Fatal(err)
	}
	defer closeCluster()
	settings := cluster.Instances[0].Settings()
	conn, err := net.Dial("udp", settings.Packets.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	const sent = 50
	for range sent {
		if _, err := conn.Write([]byte{0x45, 0}); err != nil {
			t.Fatal(err)
		}
	}
	const message = "Packets: some were dropped."
	const counted = `tanagerweir_packets_dropped_total{reason="Truncated"} 50`
	seen := false
	for ctx.Err() == nil && (!seen || logOutput.count(message) == 0) {
		_, page := httpGet(t, "http://"+settings.Metrics.String()+"/metrics")
		seen = strings.Contains(page, counted)
	}
	if !seen {
		t.Error("the malformed packets are not counted")
	}
	if n := logOutput.count(message); n != 1 {
		t.Errorf("%d log messages about one drop reason, want 1", n)
	}
}
