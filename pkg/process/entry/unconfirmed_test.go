package entry_test

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
	wire "github.com/tanagerweir/tanagerweir/service/entry"
)

// sentHello returns the hello that the instance sends now.
func sentHello(t *testing.T, e *entry.Engine, host *stillHost) wire.Message {
	t.Helper()
	host.messages = nil
	e.SendState()
	if len(host.messages) == 0 {
		t.Fatal("no message is sent")
	}
	sent, err := wire.Decode(host.messages[0])
	if err != nil {
		t.Fatal(err)
	}
	return sent
}

// Guards against a start that passes for a confirmation: an instance got its keys from one
// whose follower was cut off, told the others that they were confirmed when it started, and
// these waited once more before they read the store. Flows reached a server that had been
// draining for up to 5.5 s.
func TestStartIsNoConfirmation(t *testing.T) {
	host := &stillHost{}
	const stale = 1600 * time.Millisecond
	e := newEngineAt(t, host, 300*time.Millisecond, stale, io.Discard)
	if sent := sentHello(t, e, host); sent.Hello.Revision == 0 || sent.Hello.ConfirmedAge.AtMost(stale-1) || sent.Hello.FollowerAge.AtMost(stale-1) {
		t.Errorf("0.3 s after its start, with keys confirmed %v ago, the instance sent %+v", stale, sent.Hello)
	}
}

// Guards against the same of an instance that nobody has told of any confirmation, and of
// one that was told by others: it has to learn of the first one it can believe.
func TestFirstConfirmationIsTakenOver(t *testing.T) {
	host := &stillHost{}
	log := &lockedBuffer{}
	e := newEngineAt(t, host, 300*time.Millisecond, time.Hour, log)
	e.HandleMessage(helloFrom(t, "entry-3", 8, 100*time.Millisecond, nil), netip.AddrPort{}, 0)
	if sent := sentHello(t, e, host); !sent.Hello.ConfirmedAge.AtMost(100 * time.Millisecond) {
		t.Errorf("confirmed %v ago", sent.Hello.ConfirmedAge)
	}
	e.HandleMessage(helloFrom(t, "entry-4", 7, 10*time.Minute, &replica.Batch{After: 7, Revision: 7}), netip.AddrPort{}, 0)
	if sent := sentHello(t, e, host); !sent.Hello.ConfirmedAge.AtMost(100 * time.Millisecond) {
		t.Errorf("an older word counts for more: confirmed %v ago", sent.Hello.ConfirmedAge)
	}
}
