package flow_test

import (
	"math"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/bench/flows"
	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/health"
)

// move gives the address of a service to another one.
func move(f *flows.Fleet, from, to string) {
	old, _ := f.Catalogue().Service(from)
	address := old.Address
	old.Address = flows.Address(77)
	s, _ := f.Catalogue().Service(to)
	s.Address = address
	f.Change(catalogue.PutService{Service: old}, catalogue.PutService{Service: s})
}

// Records of an old flow must not apply to a flow with the same addresses after the
// service's address has moved to another service.
func TestReusedAddressNeverCarriesAnOldFlowToTheWrongService(t *testing.T) {
	f := newFleet(3)
	f.Change(leaving("board", 2)) // brings disputed buckets, records and copies of board's flows
	f.Run(12, busy)
	before := f.Flows
	f.Flows = nil
	f.Run(6, flows.Traffic{}) // brief flows of the old service end
	move(f, "board", "ledger")
	f.Run(6, flows.Traffic{})
	f.Join("entry-blank")
	f.Run(3, flows.Traffic{})
	for i := range before {
		w := before[i]
		if w.Service != "board" {
			continue
		}
		// The same caller reaches the ledger with the same addresses now.
		f.Flows = append(f.Flows, &flows.Flow{Key: w.Key, Service: "ledger"})
	}
	for range 6 {
		f.SendOnEveryFlow()
		f.Run(2, flows.Traffic{Packets: 500})
	}
	wantNoneBroken(t, f)
}

func TestStaleUnsynchronisedAndNewerInstancesMisrouteNothing(t *testing.T) {
	f := newFleet(5)
	f.Nodes[7].Partition = 1 // receives nothing from its peers, and changes late
	f.Change(leaving("ledger", 0), catalogue.PutBackend{Backend: flows.Backend("board", 15)})
	f.Run(3, busy)
	f.Join("entry-blank-1")
	f.Change(catalogue.PutBackend{Backend: flows.Backend("ledger", 4)})
	f.Run(2, busy)
	f.Join("entry-blank-2")
	f.Run(40, busy)
	if m := f.Tally().Misrouted; m != 0 {
		t.Errorf("%d packets reached another service", m)
	}
}

func TestLeavingServerGetsNoNewFlowAfterFiveSeconds(t *testing.T) {
	for _, cut := range []bool{false, true} {
		f := newFleet(7)
		for i, n := range f.Nodes {
			if cut {
				n.Partition = i % 3 // data centres that can't reach each other
			}
		}
		f.Change(leaving("board", 3))
		f.Run(5, busy)
		before := f.Begun["board-4"]
		f.Open(2_000)
		f.Run(30, busy)
		if got := f.Begun["board-4"] - before; got != 0 {
			t.Errorf("cut %v: a leaving backend server got %d new flows", cut, got)
		}
	}
}

func TestDataCentreTakenOutGetsNoPacketAfterFiveSeconds(t *testing.T) {
	f := newFleet(9)
	f.Change(putDataCentre(1, catalogue.DataCentreOut))
	f.Run(5, busy)
	for range 4 {
		f.Run(1, busy)
		f.SendOnEveryFlow()
		f.Open(500)
	}
	for name, arrived := range f.LastPacket {
		b, _ := f.Catalogue().Backend(name)
		if b.DataCentre == flows.DataCentre(1) && f.Now().Sub(arrived) < 4*time.Second {
			t.Errorf("%s got a packet %s after its data centre was taken out", name, 9*time.Second-f.Now().Sub(arrived))
		}
	}
}

func TestColdServerStaysWithinItsRampThoughInstancesCantReachEachOther(t *testing.T) {
	f := newFleet(11)
	for i, n := range f.Nodes {
		n.Partition = i
	}
	f.Run(8, busy)
	for _, share := range []float64{1.0 / 16, 0.25, 0.5} {
		f.SetConditions(flow.Condition{Backend: "board-5", State: health.Cold, Share: share})
		f.Run(3, flows.Traffic{})
		clear(f.Begun)
		f.Open(20_000)
		mean := 0.0
		for name, n := range f.Begun {
			if b, _ := f.Catalogue().Backend(name); b.Service == "board" {
				mean += float64(n) / 15
			}
		}
		if limit := share*mean + 3*math.Sqrt(share*mean) + 0.08*share*mean; float64(f.Begun["board-5"]) > limit {
			t.Errorf("share %.3f: a cold backend server began %d flows of at most %.0f", share, f.Begun["board-5"], limit)
		}
	}
}

func TestAllColdServersTogetherStayWithinTheirRamps(t *testing.T) {
	f := newFleet(13)
	var conditions []flow.Condition
	for n := range 15 {
		conditions = append(conditions, flow.Condition{Backend: flows.Backend("board", n).Name, State: health.Cold, Share: 0.1})
	}
	f.SetConditions(conditions...)
	f.Run(3, flows.Traffic{})
	clear(f.Begun)
	const opened = 10_000
	f.Open(opened)
	board := 0
	for name, n := range f.Begun {
		if b, _ := f.Catalogue().Backend(name); b.Service == "board" {
			board += n
		}
	}
	if board > opened*15/19/10*12/10 {
		t.Errorf("cold backend servers began %d flows of %d", board, opened*15/19)
	}
}

// Reports that all servers of a service are ejected or leaving can't be right, so
// the service must keep all its servers.
func TestServiceWithAllServersReportedUnfitIsServedByAll(t *testing.T) {
	for _, state := range []health.State{health.Ejected, health.Leaving} {
		f := newFleet(15)
		var conditions []flow.Condition
		for n := range 15 {
			conditions = append(conditions, flow.Condition{Backend: flows.Backend("board", n).Name, State: state})
		}
		f.SetConditions(conditions...)
		f.Run(5, busy)
		clear(f.Begun)
		f.Open(3_000)
		most, begun := 0, 0
		for name, n := range f.Begun {
			if b, _ := f.Catalogue().Backend(name); b.Service == "board" {
				most, begun = max(most, n), begun+n
			}
		}
		if begun < 2_100 || most > begun/5 {
			t.Errorf("state %d: %d of about 2370 flows were begun, %d of them at one server", state, begun, most)
		}
		wantNoneBroken(t, f)
	}
}
