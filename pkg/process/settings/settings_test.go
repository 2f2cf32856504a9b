package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
)

const examples = "../../../examples"

func TestEveryExampleIsValid(t *testing.T) {
	var files []string
	// The files in examples/emulation describe emulated days and have other
	// keys.
	for _, deployment := range []string{"teranga", "kovacsreti"} {
		found, err := filepath.Glob(filepath.Join(examples, deployment, "*.ini"))
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, found...)
	}
	const wanted = 18 // nine instances for each of two deployments
	if len(files) != wanted {
		t.Fatalf("%d examples, want %d", len(files), wanted)
	}
	for _, f := range files {
		if _, err := settings.Load(f); err != nil {
			t.Errorf("%s: %v", f, err)
		}
	}
}

func TestEveryProblemIsReportedOnItsOwnLine(t *testing.T) {
	files, err := filepath.Glob("_fixtures/*.ini")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			wanted, err := os.ReadFile(strings.TrimSuffix(f, ".ini") + ".txt")
			if err != nil {
				t.Fatal(err)
			}
			_, err = settings.Load(f)
			var problems *settings.ProblemsError
			if !errors.As(err, &problems) {
				t.Fatalf("error is %v, want a list of problems", err)
			}
			if diff := cmp.Diff(strings.TrimSpace(string(wanted)), err.Error()); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
		})
	}
}
