package cmds_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const shortDay = `[Day]
Name = short
Warmup = 3s
Length = 4s
[DataCentre a]
Instances = 2
Requests = 40
Users = 12
[Service board]
Servers = 3
Slots = 3
[Class feed]
Service = board
Kind = Repeatable
LongFlows = Yes
Work = 20ms
Target = 200ms
Budget = 1s
`

func TestEmulateRunsADayAndReports(t *testing.T) {
	directory := t.TempDir()
	file, page, logFile := filepath.Join(directory, "day.ini"), filepath.Join(directory, "day.html"), filepath.Join(directory, "day.log")
	if err := os.WriteFile(file, []byte(shortDay), 0o600); err != nil {
		t.Fatal(err)
	}
	code, out := run(t, "emulate", "--design", "Product", "--design", "RoundRobin", "--html", page, "--log", logFile, file)
	if code != 0 || strings.Count(out, "0 promises broken") != 2 {
		t.Errorf("exit code %d\n%s", code, out)
	}
	for name, want := range map[string]string{page: "RoundRobin", logFile: "Instance: ready."} {
		data, err := os.ReadFile(name)
		if err != nil || !strings.Contains(string(data), want) {
			t.Errorf("%s has no %q: %v", name, want, err)
		}
	}
	if code, out := run(t, "check", file); code != 0 {
		t.Errorf("check: exit code %d\n%s", code, out)
	}
}

func TestEmulateRefusesWrongArguments(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "day.ini")
	if err := os.WriteFile(invalid, []byte(strings.Replace(shortDay, "Slots = 3", "Slots = many", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args []string
		code int
		want string
	}{
		"no day":          {[]string{"emulate"}, 2, "one day"},
		"missing file":    {[]string{"emulate", "nowhere.ini"}, 1, "nowhere.ini"},
		"wrong settings":  {[]string{"emulate", invalid}, 2, `Slots = "many"`},
		"unknown design":  {[]string{"emulate", "--design", "Magic", "../../../examples/emulation/dakar.ini"}, 2, "Magic"},
		"check of a day":  {[]string{"check", invalid}, 2, `Slots = "many"`},
		"kinds of faults": {[]string{"emulate", "--kinds"}, 0, "StoreLosesAnswers"},
	} {
		t.Run(name, func(t *testing.T) {
			if code, out := run(t, c.args...); code != c.code || !strings.Contains(out, c.want) {
				t.Errorf("exit code %d, want %d and %q in:\n%s", code, c.code, c.want, out)
			}
		})
	}
}
