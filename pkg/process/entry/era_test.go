package entry_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
	"github.com/tanagerweir/tanagerweir/pkg/process/membership"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
	"github.com/tanagerweir/tanagerweir/platform/standin"
	wire "github.com/tanagerweir/tanagerweir/service/entry"
)

// startLogged starts an instance and returns its log once it is ready.
func startLogged(t *testing.T, o entry.Options) *lockedBuffer {
	t.Helper()
	log := &lockedBuffer{}
	o.Logger = slog.New(slog.NewJSONHandler(log, nil))
	start(t, o)
	waitUntil(t, o.Name+" is ready", func() bool { return isReady(o.Ready) })
	return log
}

// Guards against a fleet that ignores a restored store, since its revisions are lower: one
// instance reads the store, and the other one gets its keys from the first.
func TestFleetFollowsAStoreThatIsRestoredTwice(t *testing.T) {
	stand, store := stores(t)
	stand.SetEra(1)
	stand.Put("op/config", fmt.Appendf(nil, configuration, 1))
	first := options(t, "entry-1", store)
	firstLog := startLogged(t, first)
	refusingStand, refusingStore := stores(t)
	refusingStand.SetFault(standin.Fault{Status: http.StatusTooManyRequests})
	second := options(t, "entry-2", refusingStore, first.Peers)
	secondLog := startLogged(t, second)
	described := func(id string) bool {
		want := `"msg":"Server: described.","Server":"` + id
		return strings.Contains(firstLog.String(), want) && strings.Contains(secondLog.String(), want)
	}
	v := newBackend(t, "")
	copied := stand.Copy()
	for n := range 5 {
		stand.Put(fmt.Sprintf("servers/i-%d", n+1), v.describe("ready"))
	}
	waitUntil(t, "the changes before", func() bool { return described("i-5") })
	// Watches are pending all the time.
	stand.Restore(copied)
	stand.Restore(copied)
	stand.Put("servers/i-6", v.describe("ready"))
	waitUntil(t, "the change after", func() bool { return described("i-6") })
	for name, log := range map[string]*lockedBuffer{"first": firstLog, "second": secondLog} {
		if text := log.String(); !strings.Contains(text, "restored from an older copy") || !strings.Contains(text, `"Era":3`) {
			t.Errorf("the %s logs no restoration", name)
		}
	}
}

// Guards against a lease of the older era that is kept: the restored store gives its number
// to another client, and lacks the registration.
func TestInstanceRegistersAgainInANewEra(t *testing.T) {
	stand, store := stores(t)
	stand.SetEra(1)
	stand.Put("op/config", fmt.Appendf(nil, configuration, 1))
	copied := stand.Copy()
	o := options(t, "entry-1", store)
	log := startLogged(t, o)
	registered := func() bool { return slices.Contains(stand.Keys(), "instances/entry-1") }
	waitUntil(t, "registered", registered)
	stand.Restore(copied)
	restored := time.Now()
	waitUntil(t, "registered again", registered)
	// Without the era, the registration is only found to be missing after 3 s.
	if took := time.Since(restored); took > 2500*time.Millisecond {
		t.Errorf("registered again after %v", took)
	}
	waitUntil(t, "the registration is logged", func() bool { return strings.Contains(log.String(), `"Lease":1,"Era":2`) })
	if n := stand.CallCount("/kv-keep/1"); n != 0 {
		t.Errorf("%d renewals", n)
	}
}

// message returns the datagram of another instance.
func message(t *testing.T, h membership.Hello, b *replica.Batch) []byte {
	t.Helper()
	datagram, err := wire.Encode(wire.Message{Hello: h, Batch: b})
	if err != nil {
		t.Fatal(err)
	}
	return datagram
}

// Guards against changes and confirmations that cross eras between instances: of a peer of
// an older era, or of an older build, the instance takes nothing.
func TestPeersOfOtherErasChangeNothing(t *testing.T) {
	stand, store := stores(t)
	stand.SetEra(5)
	stand.Put("op/config", fmt.Appendf(nil, configuration, 1))
	o := options(t, "entry-1", store)
	log := startLogged(t, o)
	stand.SetFault(standin.Fault{Status: http.StatusServiceUnavailable})
	v := newBackend(t, "")
	peer := membership.Member{Name: "peer", DataCentre: o.DataCentre, Endpoint: freeEndpoint(t)}
	for _, era := range []uint64{0, 4, 6} {
		batch := replica.Batch{Era: era, After: 1, Revision: 900, Changes: []replica.Change{{Key: "servers/i-1", Value: v.describe("ready"), Revision: 900}}}
		send(t, o.Peers, message(t, membership.Hello{From: peer, Era: era, Revision: 900, Following: true, ConfirmedAge: clock.Ago(0), Follower: peer.Name, FollowerAge: clock.Ago(0)}, &batch))
	}
	// The instance has no other confirmation, and is cut off in spite of the messages.
	waitUntil(t, "the instance is cut off", func() bool {
		send(t, o.Peers, message(t, membership.Hello{From: peer, Era: 4, Revision: 900, Following: true, ConfirmedAge: clock.Ago(0), Follower: peer.Name, FollowerAge: clock.Ago(0)}, nil))
		return strings.Contains(log.String(), "cut off from the store")
	})
	if strings.Contains(log.String(), "i-1") {
		t.Error("a change of another era was applied")
	}
}
