package cmds_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheckListsTheProblemsOfAllFiles(t *testing.T) {
	directory := t.TempDir()
	invalid := filepath.Join(directory, "system.toml")
	if err := os.WriteFile(invalid, []byte("build = \"\"\n[roles.a]\nrun = \"x\"\non = \"front\"\nshare = 1.0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	policy := filepath.Join(directory, "policy.ini")
	if err := os.WriteFile(policy, []byte("[Policy]\nAdmission = Maybe\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	valid := "../../../examples/teranga/dakar-1-entry-1.ini"
	code, out := run(t, "check", invalid, policy, valid)
	if code != 2 {
		t.Errorf("exit code %d", code)
	}
	for _, want := range []string{`build = ""`, `roles.a.run = "x"`, `[Policy] Admission = "Maybe": allowed: On or Off`, "dakar-1-entry-1.ini: fine"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q isn't in:\n%s", want, out)
		}
	}
	if code, out := run(t, "check", valid); code != 0 {
		t.Errorf("exit code %d\n%s", code, out)
	}
	if code, _ := run(t, "check", filepath.Join(directory, "missing.toml")); code != 1 {
		t.Errorf("missing file: exit code %d", code)
	}
}
