package day_test

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
)

func TestAllExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../examples/emulation/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d examples: %v", len(files), err)
	}
	for _, file := range files {
		if _, err := day.Load(file); err != nil {
			t.Error(err)
		}
	}
}

func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	_, err := day.Parse([]byte(`[Day]
Span = 5s
[DataCentre a]
Instances = some
Requests = 10
Users = 3
[Service board]
Servers = 1, x
Slots = 2
[Class feed]
Service = board
Kind = Sometimes
Work = 40ms
Target = fast
Budget = 3s
[Fault one]
Kind = Earthquake
At = 3s
`))
	var problems *settings.ProblemsError
	if !errors.As(err, &problems) {
		t.Fatal(err)
	}
	for _, want := range []string{
		`[Day] Span: no such key`, `[DataCentre a] Instances = "some"`, `[Service board] Servers = "1, x"`,
		`[Class feed] Kind = "Sometimes"`, `[Class feed] Target = "fast"`, `[Fault one] Kind = "Earthquake"`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("problem %s isn't in the error:\n%v", want, err)
		}
	}
}

func TestUnknownReferencesAreReported(t *testing.T) {
	_, err := day.Parse([]byte(`[Day]
Name = x
[DataCentre a]
Instances = 1
Requests = 10
Users = 3
[Service board]
Servers = 1, 2
Slots = 2
[Class feed]
Service = ledger
Kind = Repeatable
Work = 40ms
Target = 200ms
Budget = 3s
[Fault one]
Kind = DataCentreCut
At = 3s
DataCentre = b
`))
	for _, want := range []string{`[Service board] Servers`, `[Class feed] Service = "ledger"`, `[Fault one] DataCentre = "b"`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("problem %s isn't in the error: %v", want, err)
		}
	}
}

// Drawn faults must be the same for a seed and must survive Section and Parse:
// otherwise a day on which a promise was broken can't be run again.
func TestDrawnFaultsAreReproducibleAndParse(t *testing.T) {
	d, err := day.Load("../../../examples/emulation/dakar.ini")
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(50) {
		faults := day.DrawFaults(d, seed)
		if diff := cmp.Diff(faults, day.DrawFaults(d, seed)); diff != "" {
			t.Fatal(diff)
		}
		var text strings.Builder
		text.WriteString("[Day]\nName = drawn\n[DataCentre dakar-plateau]\nInstances = 1\nRequests = 1\nUsers = 1\n" +
			"[Service board]\nServers = 1\nSlots = 1\n[Class c]\nService = board\nKind = Upload\nWork = 1ms\nTarget = 1s\nBudget = 1s\n")
		for _, f := range faults {
			text.WriteString(f.Section())
		}
		parsed, err := day.Parse([]byte(text.String()))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(faults, parsed.Faults); diff != "" {
			t.Error(diff)
		}
	}
}

// A weak day has to be understood from its list of faults.
func TestFaultsNameTheirStrengthAndPlace(t *testing.T) {
	f := day.Fault{
		Name: "drawn-1", Kind: day.ServersGrey, At: 1500 * time.Millisecond, For: 4 * time.Second, Share: 0.2, Factor: 0.4,
		How: []string{"Mute"}, DataCentre: "near", Service: "board",
	}
	if diff := cmp.Diff("drawn-1 ServersGrey at 1.5s Mute for 4s share 0.2 factor 0.4 in near in board", f.String()); diff != "" {
		t.Error(diff)
	}
}
