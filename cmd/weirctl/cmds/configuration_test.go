package cmds_test

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/tanagerweir/tanagerweir/pkg/demo"
	"github.com/tanagerweir/tanagerweir/pkg/process/certificate"
	"github.com/tanagerweir/tanagerweir/pkg/process/listing"
	standin "github.com/tanagerweir/tanagerweir/pkg/standin/platform"
)

// startDeployment starts four instances in two data centres, and returns them with a
// function that runs weirctl as their operator.
func startDeployment(t *testing.T) (*demo.Cluster, func(line string) (int, string)) {
	t.Helper()
	plan := demo.SmallPlan()
	plan.DataCentres, plan.InstancesPerCentre = []string{"dakar-1", "dakar-2"}, 2
	cluster, closeCluster, err := demo.NewCluster(context.Background(), plan, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeCluster)
	if err := cluster.Configure(context.Background()); err != nil {
		t.Fatal(err)
	}
	files, err := cluster.WriteCertificates(t.TempDir(), certificate.Identity{Name: "operator-1", Role: certificate.Operator})
	if err != nil {
		t.Fatal(err)
	}
	flags := []string{
		"--instance", cluster.Admin(0), "--reason", "tried",
		"--certificate", files.Certificate, "--key", files.Key, "--authority", files.Authority,
	}
	return cluster, func(line string) (int, string) { return run(t, slices.Concat(flags, strings.Fields(line))...) }
}

// step is a command line with the exit code and the parts of its output that are
// wanted.
type step struct {
	line string
	code int
	want []string
}

func runSteps(t *testing.T, weirctl func(string) (int, string), steps ...step) {
	t.Helper()
	for _, s := range steps {
		code, out := weirctl(s.line)
		if code != s.code {
			t.Errorf("weirctl %s: exit code %d, want %d:\n%s", s.line, code, s.code, out)
		}
		for _, want := range s.want {
			if !strings.Contains(out, want) {
				t.Errorf("weirctl %s: %q is missing in\n%s", s.line, want, out)
			}
		}
	}
}

// awaitOutput repeats a command until its output contains want.
func awaitOutput(t *testing.T, weirctl func(string) (int, string), line, want string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if _, out := weirctl(line); strings.Contains(out, want) {
			return
		}
	}
	t.Fatalf("weirctl %s never printed %q", line, want)
}

// writeFile writes a configuration file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "change.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestConcurrentChangesConflictOnlyOnTheSameObject makes changes that are based on a
// version before the current one, as two operators do who work at the same time. A
// change of an object that was changed since is refused as a conflict, other changes
// succeed, and a repeated operation isn't applied twice.
func TestConcurrentChangesConflictOnlyOnTheSameObject(t *testing.T) {
	_, weirctl := startDeployment(t)
	runSteps(t, weirctl,
		step{"class create feed --service board --within 1s", 0, []string{"version 2"}},
		step{"--seen 2 class create feed --service board --within 2s", 0, []string{"version 3"}},
		step{"--seen 2 class create feed --service board --within 3s", 3, []string{"Within=2s", "Within=3s", "operator-1"}},
		step{"--seen 2 class create photo --service board", 0, []string{"version 4"}},
		step{"--operation twice class create late --service board", 0, []string{"version 5"}},
		step{"--operation twice class create late --service board", 0, []string{"version 5"}},
		step{"configuration diff --since 3", 0, []string{"photo", "late"}},
	)
}

func TestFileIsCheckedShownAndAppliedAsOneChange(t *testing.T) {
	_, weirctl := startDeployment(t)
	malformed := writeFile(t, "[Service x]\nProtocol = SCTP\n[Class y]\nShare = much\nBogus = 1\n[Nothing z]\n")
	refused := writeFile(t, "[Class y]\nService = nowhere\nShare = 2\n[Backend z-1]\nService = board\n[Backend z-2]\nService = board\n")
	valid := writeFile(t, "[Change]\nVersion = 1\nReason = archive opens\n[Service archive]\nProtocol = UDP\n[Class photo]\nService = archive\n")
	runSteps(t, weirctl,
		step{"configuration apply " + malformed, 2, []string{"[Service x] Protocol", "[Class y] Share", "[Class y] Bogus", "[Nothing z]"}},
		step{"configuration apply --dry-run " + refused, 2, []string{`no service "nowhere"`, "between 0 and 1", `"z-1": the platform doesn't list it`, `"z-2": the platform doesn't list it`}},
		step{"configuration apply --dry-run " + valid, 0, []string{"archive", "photo"}},
		step{"service list", 0, []string{"board"}},
		step{"configuration apply " + valid, 0, []string{"version 2 accepted"}},
		step{"configuration apply " + valid, 0, []string{"nothing to change"}},
	)
	if _, out := weirctl("configuration history"); strings.Count(out, "archive") != 1 {
		t.Errorf("the file isn't one change in the history:\n%s", out)
	}
}

// TestDataCentreGoesOutAndInWithThePlatformDown guards against an outage of the
// platform blocking an evacuation: changes of a data centre come into force by
// emergency marks, other changes are refused, and the marks become versions once the
// platform answers.
func TestDataCentreGoesOutAndInWithThePlatformDown(t *testing.T) {
	cluster, weirctl := startDeployment(t)
	cluster.Platform.SetFault(standin.Fault{Outage: true})
	names := []string{}
	for _, i := range cluster.Instances {
		names = append(names, "confirmed by "+i.Name())
	}
	runSteps(t, weirctl,
		step{"datacentre out --wait 10s dakar-2", 0, append(names, "emergency mark", "all 4 instances")},
		step{"class create feed --service board", 1, []string{"PlatformSilent"}},
		step{"datacentre in --wait 10s dakar-2", 0, append(names, "emergency mark", "all 4 instances")},
		step{"datacentre out --wait 10s dakar-2", 0, append(names, "emergency mark", "all 4 instances")},
	)
	cluster.Platform.SetFault(standin.Fault{})
	awaitOutput(t, weirctl, "configuration history", "dakar-2 Out")
	runSteps(t, weirctl, step{"datacentre in --wait 10s dakar-2", 0, []string{"version"}})
}

// TestInstanceThatDoesNotConfirmIsNamed lists an instance that nothing answers for, and
// checks that the command names it and exits with 5.
func TestInstanceThatDoesNotConfirmIsNamed(t *testing.T) {
	cluster, weirctl := startDeployment(t)
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	entry := listing.Entry{
		Name: "dakar-2-entry-9", Kind: listing.EntryInstance, State: listing.Live, DataCentre: "dakar-2",
		Packets: unreachable, Passed: unreachable, Requests: unreachable, Admin: unreachable, Peer: unreachable,
	}
	if err := cluster.List(context.Background(), entry); err != nil {
		t.Fatal(err)
	}
	awaitOutput(t, weirctl, "report", entry.Name)
	runSteps(t, weirctl, step{"datacentre out --wait 2s dakar-1", 5, []string{"version", "missing: dakar-2-entry-9 in dakar-2", "confirmed by dakar-1-entry-1"}})
}
