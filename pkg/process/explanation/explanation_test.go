package explanation_test

import (
	"fmt"
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

// The logs of four recorded failures must lead to their known causes: a backend
// server that stopped answering, an address without route, a service short of capacity,
// and an instance that started again.
func TestRecordedFailuresAreExplained(t *testing.T) {
	for _, c := range []struct{ id, cause string }{
		{"c96f9342df28a852", "backend server i-678343a080 stopped answering: noticed 484ms after the flow's last packet seen here, with 2 flows unanswered here and 4 at other instances"},
		{"100.64.0.4:1029", "reset: no route has this address in version 4, confirmed 769ms before"},
		{"100.65.0.22:9424", "reset: service board was short of capacity since 00:00:16.152: 154 flows a second were asked for and 86 answered, 14ms later than by idle servers with a limit of 65ms, and 0.52 of the attempts failed; class board-feed was refused"},
		{"64ab12d587994cbf", "instance front-dakar-plateau-1 ended and started again"},
	} {
		result, err := read(t, "dark.log", "refused.log", "restart.log", "crowd.log").Explain(c.id)
		if err != nil {
			t.Errorf("%s: %v", c.id, err)
			continue
		}
		if !strings.HasPrefix(result.Cause, c.cause) {
			t.Errorf("%s: cause %q, want %q", c.id, result.Cause, c.cause)
		}
		for i := 1; i < len(result.Lines); i++ {
			if result.Lines[i].At.Before(result.Lines[i-1].At) {
				t.Errorf("%s: line %d is out of order", c.id, i)
			}
		}
	}
}

// A request that a degraded server answered with an error has no other sign in the logs than
// the server's ejection.
func TestEjectionOfTheServerIsExplained(t *testing.T) {
	result, err := read(t, "ejected.log").Explain("191ee221fb4837de")
	if err != nil {
		t.Fatal(err)
	}
	const want = "backend server i-c2c885d568 failed more requests than others: ejected or probed 3.837s after the flow's last packet seen here, with 35.3 of 79.8 lately failed, seen by 3 instances, where others fail 0.02 of all"
	if diff := cmp.Diff(want, result.Cause); diff != "" {
		t.Errorf("cause (-want +got):\n%s", diff)
	}
}

// Truncated or mixed lines must neither end the reading nor go unnoticed.
func TestLinesThatCantBeReadAreCountedAndSkipped(t *testing.T) {
	log := read(t, "dark.log", "refused.log")
	if d := cmp.Diff(map[string]int{"dark.log": 2}, log.Skipped); d != "" {
		t.Error(d)
	}
}

func TestUnknownRequestIsAnError(t *testing.T) {
	if _, err := read(t, "dark.log").Explain("0000000000000000"); !errors.Is(err, explanation.ErrUnknown) {
		t.Errorf("error %v", err)
	}
}

func TestResultShowsAgesAndVersions(t *testing.T) {
	result, err := read(t, "refused.log").Explain("100.64.0.4:1029")
	if err != nil {
		t.Fatal(err)
	}
	want := "08:28:20.513 front-dakar-plateau-1 Flow: reset. Caller=100.64.0.4:1029 ConfirmedAge=769ms Reason=NoRoute Route=198.18.0.3:8080 Server= Version=4"
	if d := cmp.Diff(want, result.Lines[0].String()); d != "" || len(result.Lines) != 1 {
		t.Errorf("%d lines: %s", len(result.Lines), d)
	}
}

// An instance that starts again 4 s after a flow's last packet must not be named as
// the cause, since the caller had given up by then.
func TestRestartLongAfterARequestIsNotItsCause(t *testing.T) {
	log := explanation.NewLog()
	lines := `{"time":"2026-06-10T08:00:00Z","msg":"Request: forwarded.","Instance":"entry-1","RequestId":"1","Caller":"a:1","Route":"r:1","Server":"i-1"}
{"time":"2026-06-10T08:00:04.2Z","msg":"Instance: started.","Instance":"entry-1"}
`
	if err := log.Read("entry-1.log", strings.NewReader(lines)); err != nil {
		t.Fatal(err)
	}
	result, err := log.Explain("1")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(result.Cause, "forwarded to backend server i-1") {
		t.Errorf("cause %q", result.Cause)
	}
}

// A request into a data centre that is cut off must be blamed on the cut, and not on the
// server that was tried last.
func TestCutOffDataCentreIsNamed(t *testing.T) {
	const lost = `{"time":"2026-06-10T08:00:01Z","msg":"DataCentre: its servers are out of reach.","Instance":"entry-1","DataCentre":"far","Failures":7,"SilentFor":900000000}
`
	for _, test := range []struct{ name, lines, cause string }{
		{"out of reach", lost, "the servers of data centre far were out of reach of instance entry-1 from 08:00:01.000 on: 7 flows in a row unanswered there, and no sign of it for 900ms"},
		{
			"within reach long before", lost + `{"time":"2026-06-10T08:00:01.5Z","msg":"DataCentre: its servers are within reach again.","Instance":"entry-1","DataCentre":"far"}
`, "forwarded to backend server i-1",
		},
		{"of another instance", strings.Replace(lost, "entry-1", "entry-2", 1), "forwarded to backend server i-1"},
	} {
		log := explanation.NewLog()
		lines := test.lines + `{"time":"2026-06-10T08:00:04Z","msg":"Request: forwarded.","Instance":"entry-1","RequestId":"1","Caller":"a:1","Route":"r:1","Server":"i-1","DataCentre":"far"}
`
		if err := log.Read("entry-1.log", strings.NewReader(lines)); err != nil {
			t.Fatal(err)
		}
		result, err := log.Explain("1")
		if err != nil {
			t.Fatal(err)
		}
		if !strings.HasPrefix(result.Cause, test.cause) {
			t.Errorf("%s: cause %q, want %q", test.name, result.Cause, test.cause)
		}
	}
}

// A request that its caller sent again without an answer must be blamed on its own
// backend server, and not on another one whose entry went meanwhile.
func TestRepeatedRequestWithoutAnswerNamesItsServer(t *testing.T) {
	const head = `"Instance":"entry-1","Caller":"a:1","Route":"r:1","Server":"i-1"`
	sent := `{"time":"2026-06-10T08:00:0%s","msg":"Request: forwarded.","RequestId":"1",` + head + "}\n"
	for name, c := range map[string]struct{ lines, want string }{
		"sent again": {
			fmt.Sprintf(sent, "0Z") + fmt.Sprintf(sent, "0.2Z") + fmt.Sprintf(sent, "0.6Z") +
				`{"time":"2026-06-10T08:00:00.4Z","msg":"Server: its entry is gone.","Instance":"entry-2","Server":"i-2"}` + "\n",
			"backend server i-1 never answered: its caller sent the request 3 times in 600ms",
		},
		"sent again, and gone later": {
			fmt.Sprintf(sent, "0Z") + fmt.Sprintf(sent, "0.2Z") + fmt.Sprintf(sent, "3Z") +
				`{"time":"2026-06-10T08:00:01.5Z","msg":"Server: its entry is gone.","Instance":"entry-1","Server":"i-1"}` + "\n",
			"backend server i-1 never answered: its caller sent the request 3 times in 3s, and its entry went 1.5s after the first",
		},
		"answered": {
			fmt.Sprintf(sent, "0Z") + `{"time":"2026-06-10T08:00:00.1Z","msg":"Request: answered.","Waited":90000000,` + head + "}\n",
			"backend server i-1 answered after 90ms; what it answered isn't seen here",
		},
	} {
		t.Run(name, func(t *testing.T) {
			log := explanation.NewLog()
			if err := log.Read("entry-1.log", strings.NewReader(c.lines)); err != nil {
				t.Fatal(err)
			}
			result, err := log.Explain("1")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, result.Cause); diff != "" {
				t.Error(diff)
			}
		})
	}
}
