package cmds_test

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/cmd/weirctl/cmds"
	"github.com/tanagerweir/tanagerweir/pkg/demo"
	"github.com/tanagerweir/tanagerweir/pkg/process/certificate"
)

const testTimeout = time.Minute // for a command that hangs

func run(t *testing.T, args ...string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var out bytes.Buffer
	code := cmds.Run(ctx, append([]string{"weirctl"}, args...), &out, &out)
	return code, out.String()
}

func TestWrongArgumentsExitWithTwo(t *testing.T) {
	for _, line := range []string{
		"bogus", "class bogus", "class create feed", "class create --bogus", "service create", "service create a b",
		"service create a --protocol sctp", "--format yaml report", "datacentre out", "why", "request hello",
	} {
		if code, out := run(t, strings.Fields(line)...); code != 2 {
			t.Errorf("weirctl %s: exit code %d\n%s", line, code, out)
		}
	}
}

func TestUnreachableInstanceIsReported(t *testing.T) {
	code, out := run(t, "--instance", "127.0.0.1:1", "report")
	if code != 1 || !strings.Contains(out, "Is the instance running") {
		t.Errorf("exit code %d\n%s", code, out)
	}
}

// TestOperatorCommands runs an operator's commands one after the other against one
// deployment, and checks each exit code and output.
func TestOperatorCommands(t *testing.T) {
	cluster, closeCluster, err := demo.NewCluster(context.Background(), demo.SmallPlan(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer closeCluster()
	if err := cluster.Configure(context.Background()); err != nil {
		t.Fatal(err)
	}
	operator := certificate.Identity{Name: "operator-1", Role: certificate.Operator}
	files, err := cluster.WriteCertificates(t.TempDir(), operator)
	if err != nil {
		t.Fatal(err)
	}
	flags := []string{
		"--instance", cluster.Admin(0),
		"--certificate", files.Certificate, "--key", files.Key, "--authority", files.Authority,
	}
	entrance := cluster.Instances[0].Settings().Requests.String()
	for _, step := range []struct {
		line string
		code int
		want string
	}{
		{"service create archive --protocol udp", 0, "accepted"},
		{"service list", 0, "archive"},
		{"class create photo --service archive --share 0.95 --within 2s", 0, "accepted"},
		{"class create photo --service nowhere", 2, `no service "nowhere"`},
		{"class create photo --service archive --share 2", 2, "between 0 and 1"},
		{"backend create archive-1 --service archive", 2, "doesn't list it"},
		{"--format json class list", 0, `"Within": "2s"`},
		{"service remove archive", 2, "photo"},
		{"class remove photo", 0, "accepted"},
		{"service remove archive", 0, "accepted"},
		{"why photo", 0, "Configured"},
		{"why dakar-1", 0, "first configuration"},
		{"configuration history", 0, "remove service archive"},
		{"request --class sign-off --entrance " + entrance + " checklist 12", 0, "checklist 12"},
		{"request --class unheard --entrance " + entrance + " checklist 12", 1, "UnknownClass"},
		{"report", 0, "sign-off"},
		{"report --format html", 0, "<svg"},
		{"service list --format html", 2, "only the report"},
		{"--format json report", 0, `"BudgetLeft": 1`},
	} {
		code, out := run(t, slices.Concat(flags, strings.Fields(step.line))...)
		if code != step.code || !strings.Contains(out, step.want) {
			t.Errorf("weirctl %s: exit code %d, want %d and %q in\n%s", step.line, code, step.code, step.want, out)
		}
	}
}
