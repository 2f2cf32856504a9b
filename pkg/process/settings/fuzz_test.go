package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
)

// FuzzParse parses INI settings. Accepted ones must be usable.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob(filepath.Join(examples, "teranga", "*.ini"))
	if err != nil || len(files) == 0 {
		f.Fatalf("%d examples, error %v", len(files), err)
	}
	fixtures, err := filepath.Glob("_fixtures/*.ini")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range append(files[:1], fixtures...) {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := settings.Parse(text)
		if err == nil && (s.Name == "" || s.Grace < 0) {
			t.Errorf("accepted %+v", s)
		}
	})
}
