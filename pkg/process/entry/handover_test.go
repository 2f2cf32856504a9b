package entry_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
	"github.com/tanagerweir/tanagerweir/pkg/process/membership"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
	wire "github.com/tanagerweir/tanagerweir/service/entry"
)

// configurationChange returns the batch with which a follower announces a configuration.
func configurationChange(version int, revision uint64) *replica.Batch {
	return &replica.Batch{After: 8, Revision: revision, Changes: []replica.Change{
		{Key: "op/config", Value: fmt.Appendf(nil, configuration, version), Revision: revision},
	}}
}

// Around a hand-over two instances follow the store, and both announce each change, in any
// order. Each change must take effect once, and none that is older may replace it.
func TestChangesFromTwoFollowersTakeEffectOnce(t *testing.T) {
	first, second := configurationChange(2, 9), configurationChange(3, 10)
	type announcement struct {
		from string
		b    *replica.Batch
	}
	for name, order := range map[string][]announcement{
		"one after the other": {{"entry-2", first}, {"entry-2", second}, {"entry-3", first}, {"entry-3", second}},
		"in turns":            {{"entry-2", first}, {"entry-3", first}, {"entry-3", second}, {"entry-2", second}},
		"second behind":       {{"entry-2", first}, {"entry-3", second}, {"entry-2", first}, {"entry-3", first}, {"entry-2", second}},
	} {
		host := &stillHost{}
		e, log := newEngine(t, host)
		for _, a := range order {
			host.now += time.Millisecond
			e.HandleMessage(helloFrom(t, a.from, a.b.Revision, 0, a.b), netip.AddrPort{}, 0)
		}
		text := log.String()
		for version, want := range map[int]int{2: 1, 3: 1} {
			if got := strings.Count(text, fmt.Sprintf(`"Configuration: in force.","Version":%d`, version)); got != want {
				t.Errorf("%s: version %d took effect %d times", name, version, got)
			}
		}
		if strings.LastIndex(text, `"Version":3`) < strings.LastIndex(text, `"Version":2`) {
			t.Errorf("%s: an older version replaced a newer one: %s", name, text)
		}
	}
}

// A change from another data centre is announced to the instances of this one. Announced by
// two followers, it must not be sent to them twice.
func TestChangeFromTwoFollowersIsRelayedOnce(t *testing.T) {
	host := &stillHost{}
	e, _ := newEngine(t, host)
	relayed := func(from string) int {
		host.messages = nil
		datagram, err := wire.Encode(wire.Message{Batch: configurationChange(2, 9), Hello: membership.Hello{
			From:     membership.Member{Name: from, DataCentre: "far", Endpoint: netip.MustParseAddrPort("127.0.0.1:7729")},
			Revision: 9, Following: true,
		}})
		if err != nil {
			t.Fatal(err)
		}
		e.HandleMessage(datagram, netip.AddrPort{}, 0)
		return len(host.messages)
	}
	if got := relayed("entry-8"); got != 1 {
		t.Errorf("relayed to %d instances at first", got)
	}
	if got := relayed("entry-9"); got != 0 {
		t.Errorf("relayed to %d instances again", got)
	}
}

// The old process of an instance must have ended before the next one forwards packets at its
// endpoints.
func TestTwoProcessesNeverShareTheEndpoints(t *testing.T) {
	_, store := stores(t)
	o := options(t, "entry-1", store)
	start(t, o)
	_, closeSecond, err := entry.New(o)
	if err == nil {
		closeSecond()
		t.Error("a second instance started at the same endpoints")
	}
}
