package table_test

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/table"
)

var frontend = table.Frontend{Address: netip.MustParseAddrPort("192.0.2.1:443"), Protocol: catalogue.TCP}

// catalogueWith returns a catalogue of one service with the backend servers of
// those numbers.
func catalogueWith(version int, servers []int) catalogue.Catalogue {
	p := catalogue.Parts{
		Version:     catalogue.Version(version),
		Services:    []catalogue.Service{{Name: "board", Address: frontend.Address, Protocol: frontend.Protocol}},
		DataCentres: []catalogue.DataCentre{{Name: "dakar-1", State: catalogue.DataCentreIn}},
	}
	for _, n := range servers {
		p.Backends = append(p.Backends, catalogue.Backend{
			Name: fmt.Sprintf("board-%d", n), Service: "board", DataCentre: "dakar-1", State: catalogue.BackendActive,
		})
	}
	return catalogue.FromParts(p)
}

// assignments returns the backend server of every bucket of the largest ring.
func assignments(t *table.Table) []string {
	ring, _ := t.Ring(frontend)
	names := make([]string, table.MaxBuckets)
	for bucket := range names {
		b, _ := ring.Backend(uint64(bucket) << 48)
		names[bucket] = b.Name
	}
	return names
}

// TestTableFromThePreviousOneEqualsANewOne guards against instances that map a flow
// differently at one version because they came to it by different versions.
func TestTableFromThePreviousOneEqualsANewOne(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		numbers := rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 0, 14, rapid.ID[int])
		current := table.New(catalogueWith(1, numbers.Draw(r, "first")))
		for version := range 3 {
			c := catalogueWith(version+2, numbers.Draw(r, "next"))
			current = current.Next(c)
			want, got := assignments(table.New(c)), assignments(current)
			for bucket := range want {
				if want[bucket] != got[bucket] {
					r.Fatalf("bucket %d goes to %q, in a new table to %q", bucket, got[bucket], want[bucket])
				}
			}
		}
	})
}

func TestAnAddedServerTakesItsShareAndMovesNothingElse(t *testing.T) {
	numbers := make([]int, 15)
	for n := range numbers {
		numbers[n] = n
	}
	before := assignments(table.New(catalogueWith(1, numbers)))
	after := assignments(table.New(catalogueWith(2, append(numbers, 15))))
	moved := 0
	for bucket := range before {
		if before[bucket] == after[bucket] {
			continue
		}
		if after[bucket] != "board-15" {
			t.Fatalf("bucket %d moved from %s to %s", bucket, before[bucket], after[bucket])
		}
		moved++
	}
	if share := float64(moved) / table.MaxBuckets; share < 0.9/16 || share > 1.1/16 {
		t.Errorf("%.4f of the buckets moved, a 16th was expected", share)
	}
}

func BenchmarkTable(b *testing.B) {
	for _, count := range []int{15, 240, 3_800} {
		numbers := make([]int, count)
		for n := range numbers {
			numbers[n] = n
		}
		c, grown := catalogueWith(1, numbers), catalogueWith(2, append(numbers, count))
		first := table.New(c)
		b.Run(fmt.Sprintf("New/Servers%d", count), func(b *testing.B) {
			for b.Loop() {
				table.New(c)
			}
		})
		b.Run(fmt.Sprintf("OneAdded/Servers%d", count), func(b *testing.B) {
			for b.Loop() {
				first.Next(grown)
			}
		})
	}
}
