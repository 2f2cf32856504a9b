package entry_test

import (
	"bytes"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
	"github.com/tanagerweir/tanagerweir/platform"
	"github.com/tanagerweir/tanagerweir/platform/standin"
)

const (
	// maxValue is the longest value that the store holds.
	maxValue = 1 << 20
	// maxLine is the longest line that a log should have.
	maxLine = 8 << 10
)

// oddEntries returns entries of another writer, by what is odd about them. Those that are
// usual otherwise have the given address.
func oddEntries(address netip.AddrPort) map[string]string {
	digits, text := strings.Repeat("9", maxValue/2), strings.Repeat("\\u0000x", maxValue/8)
	odd := map[string]string{
		"nothing": "", "null": "null", "a list": "[]", "a text": `"board"`, "bytes": "\xff\xfe\x00\x80", "half an entry": `{"service":"board","add`,
		"lists in lists, not closed": strings.Repeat("[", maxValue-1), "objects in objects, not closed": strings.Repeat(`{"a":`, maxValue/5-1),
		"lists in lists": strings.Repeat("[", maxValue/2-1) + strings.Repeat("]", maxValue/2-1),
		"only digits":    digits,
	}
	for field, values := range map[string][]string{
		"service":    {`null`, `7`, `[]`, `""`, `"` + text + `"`, nested(maxValue / 4)},
		"zone":       {`null`, `7`, `"` + text + `"`, nested(9000)},
		"address":    {`null`, `7`, `"10.0.0.1:65536"`, `"10.0.0.1:99999999999999999999"`, `"10.0.0.1:-1"`, `"10.0.0.1:0"`, `"10.0.0.1"`, `"[::1]:80"`, `"host:80"`, `"10.0.0.1:` + digits + `"`, `"` + text + `"`, `"0.0.0.0:80"`, `"255.255.255.255:80"`, `"224.0.0.1:80"`},
		"slots":      {`null`, `"3"`, `0`, `-1`, `1.5`, `1e400`, `9223372036854775808`, digits, nested(9000)},
		"state":      {`null`, `7`, `"sleeping"`, `"` + text + `"`},
		"coldLeftMs": {`null`, `"0"`, `-1`, `1e400`, "-" + digits},
		"born":       {`null`, `"7"`, `1.5`, `1e400`, `9223372036854775808`, digits, `{}`},
		"Service":    {`"board"`},
		"STATE":      {`"ready"`},
	} {
		for _, value := range values {
			name := fmt.Sprintf("%s %.24s (%d bytes)", field, value, len(value))
			odd[name] = oddEntry(address, field, value)
		}
	}
	return odd
}

// nested returns a list in lists.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// oddEntry returns a backend server's entry in which one field has another value, or another
// name if only its case differs.
func oddEntry(address netip.AddrPort, field, value string) string {
	fields := map[string]string{
		"service": `"board"`, "address": fmt.Sprintf("%q", address), "zone": `"near"`, "slots": "3", "state": `"ready"`, "coldLeftMs": "0", "born": "7",
	}
	maps.DeleteFunc(fields, func(name, _ string) bool { return strings.EqualFold(name, field) })
	fields[field] = value
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		parts = append(parts, fmt.Sprintf("%q:%s", name, fields[name]))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// longestLine returns the longest line of a log.
func longestLine(log *lockedBuffer) string {
	longest := ""
	for line := range strings.Lines(log.String()) {
		if len(line) > len(longest) {
			longest = line
		}
	}
	return longest
}

// Guards against an entry of another writer that ends the instances which read the list of
// backend servers, or keeps them from following it: one after the other, each odd entry is
// among those of the servers while a new configuration and a change of a server follow. One
// instance reads the store, another one gets all from the first.
func TestOddEntriesLeaveTheInstancesFollowing(t *testing.T) {
	stand, store := stores(t)
	stand.Put("op/config", fmt.Appendf(nil, configuration, 1))
	usual, decoy := newBackend(t, "i-1"), socket(t)
	stand.Put("servers/"+usual.id, usual.describe("ready"))
	silent, closeSilent := standin.New()
	t.Cleanup(closeSilent)
	silent.SetFault(standin.Fault{Status: 503})
	silentStore, closeStore := platform.NewStore(silent.Endpoint())
	t.Cleanup(closeStore)

	reader := options(t, "entry-1", store)
	other := options(t, "entry-2", silentStore, reader.Peers)
	readerLog, otherLog := startBounded(t, reader), startBounded(t, other)
	version := 1
	odd := oddEntries(endpointOf(decoy))
	for _, name := range slices.Sorted(maps.Keys(odd)) {
		version++
		stand.Put("servers/i-bad", []byte(odd[name]))
		stand.Put("op/config", fmt.Appendf(nil, configuration, version))
		inForce := fmt.Sprintf(`"Version":%d,`, version)
		began := time.Now()
		waitUntil(t, name+": both instances follow", func() bool {
			return strings.Contains(readerLog.String(), inForce) && strings.Contains(otherLog.String(), inForce)
		})
		if took := time.Since(began); took > 3*time.Second {
			t.Errorf("%s: in force after %v", name, took)
		}
		for n := range 3 {
			send(t, reader.Packets, synPacket(t, uint16(40000+3*version+n)))
			if !received(usual.conn) {
				t.Fatalf("%s: a flow didn't reach the usual server", name)
			}
		}
		for _, log := range []*lockedBuffer{readerLog, otherLog} {
			if line := longestLine(log); len(line) > maxLine {
				t.Errorf("%s: a line of the log has %d bytes: %.200s", name, len(line), line)
				log.reset()
			}
			if strings.Contains(log.String(), "panicked") {
				t.Errorf("%s: a panic: %s", name, log.String())
			}
		}
		stand.Delete("servers/i-bad")
	}
	if received(decoy) {
		t.Error("the server of an odd entry got a packet")
	}
}

// received reports whether a datagram comes soon.
func received(conn *net.UDPConn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Second)) // fails only if the socket is closed
	_, err := conn.Read(make([]byte, 2048))
	return err == nil
}

// startBounded starts an instance whose log is that of a process, and returns the log.
func startBounded(t *testing.T, o entry.Options) *lockedBuffer {
	t.Helper()
	log := &lockedBuffer{}
	levels, err := logs.ParseLevels("info")
	if err != nil {
		t.Fatal(err)
	}
	logger, closeLog := logs.NewStream(log, levels, time.Now)
	o.Logger = logger
	start(t, o)
	t.Cleanup(closeLog)
	waitUntil(t, o.Name+" is ready", func() bool { return isReady(o.Ready) })
	return log
}

// Guards against an instance that reads the same changes again and again, since they are longer
// than a response may be: another writer writes an entry of 1 MB each second, and the store
// doesn't answer for a while.
func TestLargeEntriesDontKeepTheFollowerFromReading(t *testing.T) {
	stand, store := stores(t)
	stand.Put("op/config", fmt.Appendf(nil, configuration, 1))
	o := options(t, "entry-1", store)
	o.LinkBytesPerSecond = 125e6
	log := startBounded(t, o)
	stand.SetFault(standin.Fault{Status: 503})
	for range 6 {
		stand.Put("servers/i-bad", bytes.Repeat([]byte("x"), maxValue))
	}
	stand.Put("op/config", fmt.Appendf(nil, configuration, 2))
	time.Sleep(200 * time.Millisecond)
	stand.SetFault(standin.Fault{})
	began := time.Now()
	waitUntil(t, "the configuration is in force", func() bool { return strings.Contains(log.String(), `"Version":2,`) })
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("in force after %v", took)
	}
}
