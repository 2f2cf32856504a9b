package gossip_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/gossip"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func apply(c catalogue.Catalogue, changes ...catalogue.Change) (catalogue.Catalogue, error) {
	o := catalogue.Operation{
		Identifier: fmt.Sprint(c.Digest(), changes), Author: "author", Reason: "reason",
		At: epoch.Add(time.Duration(c.Version()) * time.Second),
	}
	return c.Apply(o, changes)
}

func mustApply(t rapid.TB, c catalogue.Catalogue, changes ...catalogue.Change) catalogue.Catalogue {
	t.Helper()
	next, err := apply(c, changes...)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func putDataCentre(d string, s catalogue.DataCentreState) catalogue.Change {
	return catalogue.PutDataCentre{DataCentre: catalogue.DataCentre{Name: d, State: s}}
}

// drawChange draws a random edit; the validation refuses many of them.
func drawChange(t *rapid.T) catalogue.Change {
	n := rapid.IntRange(1, 5).Draw(t, "object")
	service := fmt.Sprintf("service-%d", n)
	backend := catalogue.Backend{
		Name: fmt.Sprintf("backend-%d", n), Service: fmt.Sprintf("service-%d", rapid.IntRange(1, 5).Draw(t, "service")), DataCentre: "dakar-1",
		Packets: netip.MustParseAddrPort("10.0.0.1:1"), Requests: netip.MustParseAddrPort("10.0.0.1:2"),
		Slots: uint32(rapid.IntRange(1, 9).Draw(t, "slots")), State: catalogue.BackendActive,
	}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(n)}), 443)
	return rapid.SampledFrom([]catalogue.Change{
		catalogue.PutService{Service: catalogue.Service{Name: service, Protocol: catalogue.TCP, Address: address}},
		catalogue.RemoveService{Name: service},
		catalogue.PutBackend{Backend: backend},
		catalogue.RemoveBackend{Name: backend.Name},
		putDataCentre(fmt.Sprintf("dakar-%d", n), catalogue.DataCentreOut),
	}).Draw(t, "change")
}

func TestDifferenceEqualsFullCopyFromEveryEarlierVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []catalogue.Catalogue{mustApply(t, catalogue.Catalogue{}, putDataCentre("dakar-1", catalogue.DataCentreIn))}
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			if next, err := apply(versions[len(versions)-1], drawChange(t)); err == nil {
				versions = append(versions, next)
			}
		}
		newest := versions[len(versions)-1]
		base := rapid.IntRange(0, len(versions)-1).Draw(t, "base")
		held := rapid.IntRange(base, len(versions)-1).Draw(t, "held")
		difference, ok := newest.Since(versions[base].Version(), versions[base].Digest())
		if !ok {
			t.Fatalf("no difference from version %d to %d", versions[base].Version(), newest.Version())
		}
		if held == len(versions)-1 {
			return
		}
		got, err := versions[held].WithDifference(difference)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(newest.Parts(), got.Parts(), cmpopts.EquateEmpty(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
			t.Fatalf("from %d over %d (-full +difference):\n%s", versions[base].Version(), versions[held].Version(), diff)
		}
	})
}

func TestDifferenceOfAnotherHistoryIsRefused(t *testing.T) {
	first := mustApply(t, catalogue.Catalogue{}, putDataCentre("dakar-1", catalogue.DataCentreIn))
	ours := mustApply(t, first, putDataCentre("dakar-2", catalogue.DataCentreIn))
	theirs := mustApply(t, mustApply(t, first, putDataCentre("dakar-3", catalogue.DataCentreIn)), putDataCentre("dakar-4", catalogue.DataCentreIn))
	if _, ok := theirs.Since(ours.Version(), ours.Digest()); ok {
		t.Error("a difference was returned for a catalogue of a diverged history")
	}
	difference, _ := theirs.Since(first.Version(), first.Digest())
	if _, err := ours.WithDifference(difference); err == nil {
		t.Error("a difference was applied to a catalogue of a diverged history")
	}
	core := gossip.New()
	core.Offer(ours)
	outcome := core.Offer(theirs)
	lost := []string{}
	for _, o := range outcome.Lost {
		lost = append(lost, o.Summary)
	}
	if diff := cmp.Diff([]string{"put data centre dakar-2 In"}, lost); diff != "" {
		t.Errorf("operations that the newer history lacks (-want +got):\n%s", diff)
	}
}

// TestCoresConvergeOnTheNewestAndNeverGoBack guards against a version or mark that
// goes back, and against cores that stay behind after a partition: exchanges
// between five cores are drawn, and updates arrive late, twice or never.
func TestCoresConvergeOnTheNewestAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cores := make([]*gossip.Core, 5)
		for i := range cores {
			cores[i] = gossip.New()
		}
		newest := mustApply(t, catalogue.Catalogue{}, putDataCentre("dakar-1", catalogue.DataCentreIn), putDataCentre("dakar-2", catalogue.DataCentreIn))
		var late []gossip.Update
		newestMark := uint64(0)
		applyUpdate := func(c *gossip.Core, u gossip.Update) {
			version, order := c.Accepted().Version(), c.Current().Order()
			c.Apply(u)
			if c.Accepted().Version() < version || c.Current().Order() < order {
				t.Fatalf("went back from version %d (order %d) to %d (%d)", version, order, c.Accepted().Version(), c.Current().Order())
			}
		}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			a, b := rapid.SampledFrom(cores).Draw(t, "a"), rapid.SampledFrom(cores).Draw(t, "b")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				newest = mustApply(t, newest, putDataCentre(fmt.Sprintf("extra-%d", newest.Version()%7), catalogue.DataCentreIn))
				a.Offer(newest)
			case 1:
				state := rapid.SampledFrom([]catalogue.DataCentreState{catalogue.DataCentreIn, catalogue.DataCentreOut}).Draw(t, "state")
				m := catalogue.Mark{DataCentre: "dakar-1", State: state, Number: a.MarkNumber("dakar-1", state), Identifier: fmt.Sprint(newest.Version())}
				a.AddMark(m)
				newestMark = max(newestMark, m.Number)
			case 2:
				if u, ok := a.UpdateFor(b.Digest()); ok {
					applyUpdate(b, u)
				}
			case 3:
				if u, ok := a.UpdateFor(b.Digest()); ok {
					late = append(late, u)
				}
			case 4:
				for _, u := range late {
					applyUpdate(b, u)
				}
			}
		}
		cores[0].Offer(newest)
		for range 2 {
			for _, from := range cores {
				for _, to := range cores {
					if u, ok := from.UpdateFor(to.Digest()); ok {
						applyUpdate(to, u)
					}
				}
			}
		}
		for i, c := range cores {
			d, _ := c.Current().DataCentre("dakar-1")
			if c.Accepted().Version() != newest.Version() || d.Mark != newestMark {
				t.Fatalf("core %d ended at version %d and mark %d, the newest are %d and %d", i, c.Accepted().Version(), d.Mark, newest.Version(), newestMark)
			}
		}
	})
}

// TestMarkThatTakesOutWinsOverConcurrentOneThatBringsIn guards against a data
// centre that comes back although one of two operators, each at another instance,
// has ordered it out again.
func TestMarkThatTakesOutWinsOverConcurrentOneThatBringsIn(t *testing.T) {
	base := mustApply(t, catalogue.Catalogue{}, putDataCentre("dakar-1", catalogue.DataCentreIn))
	a, b := gossip.New(), gossip.New()
	a.Offer(base)
	b.Offer(base)
	a.AddMark(catalogue.Mark{DataCentre: "dakar-1", State: catalogue.DataCentreOut, Number: a.MarkNumber("dakar-1", catalogue.DataCentreOut)})
	u, _ := a.UpdateFor(b.Digest())
	b.Apply(u)
	a.AddMark(catalogue.Mark{DataCentre: "dakar-1", State: catalogue.DataCentreIn, Number: a.MarkNumber("dakar-1", catalogue.DataCentreIn)})
	b.AddMark(catalogue.Mark{DataCentre: "dakar-1", State: catalogue.DataCentreOut, Number: b.MarkNumber("dakar-1", catalogue.DataCentreOut)})
	fromA, _ := a.UpdateFor(b.Digest())
	fromB, _ := b.UpdateFor(a.Digest())
	a.Apply(fromB)
	b.Apply(fromA)
	for _, c := range []*gossip.Core{a, b} {
		if c.Current().TakesPart("dakar-1") {
			t.Error("the data centre takes part")
		}
	}
}

func TestMarkIsInForceUntilACatalogueReflectsItAndNotLonger(t *testing.T) {
	base := mustApply(t, catalogue.Catalogue{}, putDataCentre("dakar-1", catalogue.DataCentreIn))
	core := gossip.New()
	core.Offer(base)
	m := catalogue.Mark{DataCentre: "dakar-1", State: catalogue.DataCentreOut, Number: core.MarkNumber("dakar-1", catalogue.DataCentreOut)}
	core.AddMark(m)
	unaware := mustApply(t, base, putDataCentre("dakar-1", catalogue.DataCentreIn))
	core.Offer(unaware)
	if core.Current().TakesPart("dakar-1") {
		t.Error("a change made without knowledge of the mark undid it")
	}
	reflecting := mustApply(t, unaware, catalogue.PutDataCentre{DataCentre: catalogue.DataCentre{Name: "dakar-1", State: m.State, Mark: m.Number}})
	core.Offer(reflecting)
	back := mustApply(t, reflecting, putDataCentre("dakar-1", catalogue.DataCentreIn))
	core.Offer(back)
	core.Apply(gossip.Update{Marks: []catalogue.Mark{m}})
	if !core.Current().TakesPart("dakar-1") {
		t.Error("a mark that a catalogue had reflected took effect again")
	}
}
