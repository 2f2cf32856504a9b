package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
	"github.com/tanagerweir/tanagerweir/platform/standin"
)

// restoredFleet is an instance with one backend server, i-2, before a restoration of its
// store.
type restoredFleet struct {
	stand   *standin.Store
	copied  *standin.Keys
	options entry.Options
	log     *lockedBuffer
	port    uint16
}

// newRestoredFleet starts an instance whose store is copied while the server is ready.
func newRestoredFleet(t *testing.T, maxStretch time.Duration) (f *restoredFleet, v *backend) {
	t.Helper()
	stand, store := stores(t)
	stand.SetEra(1)
	f = &restoredFleet{stand: stand, port: 45000}
	v = newBackend(t, "i-2")
	stand.Put("op/config", fmt.Appendf(nil, configuration, 3))
	stand.Put("servers/i-2", []byte(strings.Replace(string(v.describe("ready")), `"near"`, `"far"`, 1)))
	f.options = options(t, "entry-1", store)
	f.options.MaxStretch = maxStretch
	f.log = startLogged(t, f.options)
	f.copied = stand.Copy()
	return f, v
}

// restore restores the store from its copy and waits until the instance knows.
func (f *restoredFleet) restore(t *testing.T) {
	t.Helper()
	f.stand.Restore(f.copied)
	f.waitForLog(t, "restored from an older copy")
}

func (f *restoredFleet) waitForLog(t *testing.T, text string) {
	t.Helper()
	waitUntil(t, text, func() bool { return strings.Contains(f.log.String(), text) })
}

// flowsAt opens flows and reports how many of them reach a backend server.
func (f *restoredFleet) flowsAt(t *testing.T, v *backend) int {
	t.Helper()
	const flows = 40
	for range flows {
		f.port++
		send(t, f.options.Packets, synPacket(t, f.port))
	}
	got := 0
	buffer := make([]byte, 2048)
	if err := v.conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	for {
		if _, _, err := v.conn.ReadFromUDPAddrPort(buffer); err != nil {
			return got
		}
		got++
	}
}

// Guards against new flows to a backend server that drains, has left, or is in a data
// centre that is out, since the restored copy doesn't say so; and against a
// configuration that goes back.
func TestRestoredCopyTakesNoServerIntoUseAgain(t *testing.T) {
	for name, leave := range map[string]func(*restoredFleet, *backend){
		"draining":        func(f *restoredFleet, v *backend) { f.stand.Put("servers/i-2", v.describe("draining")) },
		"departed":        func(f *restoredFleet, _ *backend) { f.stand.Delete("servers/i-2") },
		"data centre out": func(f *restoredFleet, _ *backend) { f.stand.Put(standin.EvacuationKey("far"), nil) },
	} {
		t.Run(name, func(t *testing.T) {
			f, v := newRestoredFleet(t, time.Minute)
			leave(f, v)
			f.stand.Put("op/config", fmt.Appendf(nil, configuration, 7))
			f.waitForLog(t, `"Version":7`)
			f.flowsAt(t, v) // those that were placed before
			f.restore(t)
			if n := f.flowsAt(t, v); n != 0 {
				t.Errorf("%d flows after the restoration", n)
			}
			if text := f.log.String(); strings.Contains(text, `"Version":3,"Before":7`) {
				t.Error("an older configuration is in force")
			}
		})
	}
}

// Guards against a hold that no deletion ends, and one that lasts for longer than the
// settings allow.
func TestDataCentreReturnsByADeletionOrAfterTheStretch(t *testing.T) {
	for name, test := range map[string]struct {
		stretch time.Duration
		back    func(*restoredFleet)
	}{
		"deletion": {time.Minute, func(f *restoredFleet) {
			f.stand.Put(standin.EvacuationKey("far"), nil)
			f.stand.Delete(standin.EvacuationKey("far"))
		}},
		"stretch": {time.Second, func(*restoredFleet) {}},
	} {
		t.Run(name, func(t *testing.T) {
			f, v := newRestoredFleet(t, test.stretch)
			f.stand.Put(standin.EvacuationKey("far"), nil)
			f.waitForLog(t, `"Out":["far"]`)
			f.restore(t)
			test.back(f)
			f.waitForLog(t, `"Out":null`)
			// Its servers count as cold for 2 s, and then get flows.
			waitUntil(t, "flows in the data centre", func() bool { return f.flowsAt(t, v) > 0 })
		})
	}
}

// Guards against backend servers that are lost with their entries: nobody else is left.
func TestServersThatTheCopyLacksStayUsable(t *testing.T) {
	f, v := newRestoredFleet(t, time.Minute)
	f.stand.DeleteServer("i-2")
	f.copied = f.stand.Copy()
	f.stand.Put("servers/i-3", v.describe("ready"))
	f.waitForLog(t, `"Server":"i-3"`)
	f.restore(t)
	if n := f.flowsAt(t, v); n == 0 {
		t.Error("no flows right after the restoration")
	}
	f.waitForLog(t, `"msg":"Server: its entry is gone.","Server":"i-3"`)
}
