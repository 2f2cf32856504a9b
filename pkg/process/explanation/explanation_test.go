package explanation_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/process/explanation"
)

func read(t *testing.T, files ...string) *explanation.Log {
	t.Helper()
	log := explanation.NewLog()
	for _, name := range files {
		file, err := os.Open(filepath.Join("_fixtures", name))
		if err != nil {
			t.Fatal(err)
		}
		if err := log.Read(name, file); err != nil {
			t.Fatal(err)
		}
		if err := file.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return log
}

func TestRecordedFailuresAreExplained(t *testing.T) {
	for _, c := range []struct{ id, cause string }{
		{"c96f9342df28a852", "backend server i-678343a080 stopped answering: noticed 484ms after the flow's last packet seen here, with 2 flows unanswered here and 4 at other instances"},
		{"100.64.0.4:1029", "reset: no route has this address in version 4, confirmed 769ms before"},
		{"64ab12d587994cbf", "instance front-dakar-plateau-1 ended and started again"},
	} {
		story, err := read(t, "dark.log", "refused.log", "restart.log").Explain(c.id)
		if err != nil {
			t.Errorf("%s: %v", c.id, err)
			continue
		}
		if !strings.HasPrefix(story.Cause, c.cause) {
			t.Errorf("%s: cause %q, want %q", c.id, story.Cause, c.cause)
		}
		for i := 1; i < len(story.Lines); i++ {
			if story.Lines[i].At.Before(story.Lines[i-1].At) {
				t.Errorf("%s: line %d is out of order", c.id, i)
			}
		}
	}
}

func TestLinesThatCantBeReadAreCountedAndSkipped(t *testing.T) {
	log := read(t, "dark.log", "refused.log")
	if d := cmp.Diff(map[string]int{"dark.log": 2}, log.Skipped); d != "" {
		t.Error(d)
	}
}

func TestUnknownRequestIsSaidSo(t *testing.T) {
	if _, err := read(t, "dark.log").Explain("0000000000000000"); !errors.Is(err, explanation.ErrUnknown) {
		t.Errorf("error %v", err)
	}
}

func TestStoryShowsAgesAndVersions(t *testing.T) {
	story, err := read(t, "refused.log").Explain("100.64.0.4:1029")
	if err != nil {
		t.Fatal(err)
	}
	want := "08:28:20.513 front-dakar-plateau-1 Flow: reset. Caller=100.64.0.4:1029 ConfirmedAge=769ms Reason=NoRoute Route=198.18.0.3:8080 Server= Version=4"
	if d := cmp.Diff(want, story.Lines[0].String()); d != "" || len(story.Lines) != 1 {
		t.Errorf("%d lines: %s", len(story.Lines), d)
	}
}

// TestRestartLongAfterARequestIsNotItsCause has an instance start again 4 s after
// the last packet of a flow, which its caller had given up by then.
func TestRestartLongAfterARequestIsNotItsCause(t *testing.T) {
	log := explanation.NewLog()
	lines := `{"time":"2026-06-10T08:00:00Z","msg":"Request: forwarded.","Instance":"entry-1","RequestId":"1","Caller":"a:1","Route":"r:1","Server":"i-1"}
{"time":"2026-06-10T08:00:04.2Z","msg":"Instance: started.","Instance":"entry-1"}
`
	if err := log.Read("entry-1.log", strings.NewReader(lines)); err != nil {
		t.Fatal(err)
	}
	story, err := log.Explain("1")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(story.Cause, "forwarded to backend server i-1") {
		t.Errorf("cause %q", story.Cause)
	}
}
