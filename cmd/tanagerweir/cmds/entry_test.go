package cmds_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/cmd/tanagerweir/cmds"
	"github.com/tanagerweir/tanagerweir/platform"
	"github.com/tanagerweir/tanagerweir/platform/standin"
)

// waitLimit is how long a test waits for a line of the log.
const waitLimit = 20 * time.Second

// output collects what a command writes, for use from several goroutines.
type output struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(b)
}

// waitFor waits until the output contains the text, and fails the test after
// waitLimit.
func (o *output) waitFor(t *testing.T, text string) {
	t.Helper()
	timeout := time.After(waitLimit)
	ticks := time.NewTicker(5 * time.Millisecond)
	defer ticks.Stop()
	for {
		o.mu.Lock()
		found := strings.Contains(o.buffer.String(), text)
		o.mu.Unlock()
		if found {
			return
		}
		select {
		case <-timeout:
			t.Fatalf("%q isn't in the log:\n%s", text, o.buffer.String())
		case <-ticks.C:
		}
	}
}

func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// writeSettings writes a settings file of the users' platform, and names it in the
// environment variable that commands read.
func writeSettings(t *testing.T, store string) string {
	t.Helper()
	port := freePort(t)
	text := fmt.Sprintf(`nodeName = "entry-1"
ip = "127.0.0.1"
zone = "near"
internalPorts = [%d, %d]
heartbeatMs = 1200
encap = "echo"
[zones]
near = "here"
[listen]
packetAddr = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
memoryMb = 284
[bounds]
graceS = 6
maxFlowS = 60
coldOverage = 1.5
coldSlack = 5
[platform]
address = %q
`, port, port, freePort(t), freePort(t), store)
	file := filepath.Join(t.TempDir(), "local.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(platform.SettingsVariable, file)
	return file
}

// TestHangupReloadsSettingsAndKeepsRunning sends SIGHUP with a valid and then with a
// malformed settings file; neither may end the instance.
func TestHangupReloadsSettingsAndKeepsRunning(t *testing.T) {
	store, closeStore := standin.New()
	defer closeStore()
	store.Put("op/config", []byte(`{"configVersion":1}`))
	file := writeSettings(t, store.Endpoint().String())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var log, errOut output
	code := make(chan int, 1)
	go func() {
		code <- cmds.Run(ctx, []string{"tanagerweir", "entry", "--metrics-port", fmt.Sprint(freePort(t))}, &log, &errOut)
	}()
	log.waitFor(t, "Instance: ready.")
	hangup := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hangup()
	log.waitFor(t, "Settings: read again.")
	if err := os.WriteFile(file, []byte("nodeName = ["), 0o600); err != nil {
		t.Fatal(err)
	}
	hangup()
	log.waitFor(t, "Settings: the file can't be used, nothing changes.")
	cancel()
	if got := <-code; got != 0 {
		t.Errorf("exit code %d\n%s", got, errOut.buffer.String())
	}
	log.waitFor(t, "Instance: stopped.")
}

func TestEntryWithWrongSettingsStartsNothing(t *testing.T) {
	writeSettings(t, "nowhere")
	var log, errOut output
	if code := cmds.Run(t.Context(), []string{"tanagerweir", "entry"}, &log, &errOut); code != 2 {
		t.Errorf("exit code %d", code)
	}
	if got := errOut.buffer.String(); !strings.Contains(got, `platform.address = "nowhere"`) {
		t.Errorf("error output: %s", got)
	}
}

func TestPlatformSettingsAreChecked(t *testing.T) {
	file := writeSettings(t, "10.200.1.7:8169")
	var out, errOut output
	if code := cmds.Run(t.Context(), []string{"tanagerweir", "check", file}, &out, &errOut); code != 0 {
		t.Errorf("exit code %d: %s", code, errOut.buffer.String())
	}
	if !strings.Contains(out.buffer.String(), "instance entry-1 in data centre near are fine") {
		t.Errorf("output %q", out.buffer.String())
	}
}
