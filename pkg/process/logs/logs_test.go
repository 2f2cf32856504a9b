package logs_test

import (
	"bytes"
	"log"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
)

// A level set for one part must not change what other parts log.
func TestEachPartHasALevelOfItsOwn(t *testing.T) {
	levels, err := logs.ParseLevels("warn,Keeper=debug")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	logger := logs.New(&out, levels).With("Name", "entry-1")
	logger.Debug("Keeper: the platform's list can't be read.")
	logger.Info("Exchange: a peer is back.")
	logger.Warn("Exchange: a member can't be read.")
	text := out.String()
	if !strings.Contains(text, "Keeper: the platform's list can't be read.") || !strings.Contains(text, "can't be read") {
		t.Errorf("lines are missing:\n%s", text)
	}
	if strings.Contains(text, "a peer is back") {
		t.Errorf("a line below its part's level was written:\n%s", text)
	}
}

// A library's warning about an unexpected response quotes data of callers, which must
// not get into the log.
func TestLibrariesNeverQuoteWhatCallersSent(t *testing.T) {
	levels, err := logs.ParseLevels("debug")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	standard := log.New(logs.Libraries(logs.New(&out, levels)), "", 0)
	standard.Print("Unsolicited response received: trial balance 17")
	if text := out.String(); !strings.Contains(text, "Libraries: ") || strings.Contains(text, "trial balance") {
		t.Errorf("the log says\n%s", text)
	}
}

// Empty or unknown levels and unknown parts must be refused rather than ignored.
func TestWrongLevelsAreRefused(t *testing.T) {
	for _, text := range []string{"", "loud", "info,Keeper", "info,Nobody=debug", "info,Keeper=loud"} {
		if _, err := logs.ParseLevels(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

// A part that isn't in the list can't be given a level. This test reads the source
// files and looks up the part of every message.
func TestEveryMessageNamesAKnownPart(t *testing.T) {
	message := regexp.MustCompile(`\.(?:Debug|Info|Warn|Error)\("([^"]*)"`)
	files, err := filepath.Glob("../*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range message.FindAllStringSubmatch(string(text), -1) {
			part, _, found := strings.Cut(m[1], ": ")
			if !found || !slices.Contains(logs.Parts(), part) {
				t.Errorf("%s: %q begins with no known part", file, m[1])
			}
		}
	}
}
