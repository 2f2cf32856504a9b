package cmds_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against results that aren't taken up again, and against figures that differ when the
// same runs are read back.
func TestExperimentIsResumedFromItsResults(t *testing.T) {
	directory := t.TempDir()
	results := filepath.Join(directory, "results.jsonl")
	file := filepath.Join(directory, "experiment.ini")
	for name, content := range map[string]string{
		filepath.Join(directory, "day.ini"): shortDay,
		file:                                "[Experiment]\nDays = day.ini\nSeeds = 1-2\n[Cell All]\n[Cell NoOrder]\nOff = ClassOrder\n",
	} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	code, first := run(t, "experiment", "--results", results, file)
	if code != 0 || !strings.Contains(first, "OnTime feed") || !strings.Contains(first, "no difference seen") {
		t.Fatalf("exit code %d\n%s", code, first)
	}
	data, err := os.ReadFile(results)
	if err != nil || strings.Count(string(data), "\n") != 4 {
		t.Fatal(err, string(data))
	}
	// The last row is cut off, as by a kill.
	if err := os.WriteFile(results, data[:len(data)-20], 0o600); err != nil {
		t.Fatal(err)
	}
	table := func(out string) string {
		_, rest, _ := strings.Cut(out, "DAY ")
		return rest
	}
	code, again := run(t, "experiment", "--results", results, file)
	if code != 0 || table(first) == "" || table(again) != table(first) || strings.Count(again, "runs done") != 1 {
		t.Errorf("exit code %d\n%s\n%s", code, first, again)
	}
	if code, out := run(t, "experiment", "--results", results, "--against", results, file); code != 0 || !strings.Contains(out, "All ") {
		t.Errorf("exit code %d\n%s", code, out)
	}
	if code, out := run(t, "check", file); code != 0 {
		t.Errorf("exit code %d\n%s", code, out)
	}
}

func TestWrongExperimentsAreRefused(t *testing.T) {
	file := filepath.Join(t.TempDir(), "experiment.ini")
	if err := os.WriteFile(file, []byte("[Experiment]\nDays = day.ini\nSeeds = 1\n[Cell All]\n[Cell Bound]\nOff = ColdBound\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	code, out := run(t, "experiment", file)
	if code != 2 || !strings.Contains(out, `[Cell Bound] Off = "ColdBound"`) {
		t.Errorf("exit code %d\n%s", code, out)
	}
	if code, _ := run(t, "experiment"); code != 2 {
		t.Errorf("exit code %d without a file", code)
	}
}
