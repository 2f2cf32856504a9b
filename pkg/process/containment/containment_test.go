package containment_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/containment"
)

func newGuard(limit int64) (*containment.Guard, *bytes.Buffer) {
	var log bytes.Buffer
	return containment.NewGuard("Part", limit, slog.New(slog.NewJSONHandler(&log, nil))), &log
}

func panicking() error { panic("broken") }

// A panic that is contained without a trace would hide a fault: it must be counted, and
// logged with its stack.
func TestPanicIsLoggedWithItsStackAndCounted(t *testing.T) {
	g, log := newGuard(3)
	err := g.Do(panicking)
	var p *containment.PanicError
	if !errors.As(err, &p) || p.Part != "Part" || p.Value != "broken" {
		t.Errorf("error %v", err)
	}
	if g.Panics() != 1 || !strings.Contains(log.String(), "containment_test.panicking") {
		t.Errorf("%d panics, log %s", g.Panics(), log)
	}
}

// A part that does nothing but panic must not look alive: the process has to end. Steps
// that succeed between panics show that the part works.
func TestOnlyPanicsInARowEndTheProcess(t *testing.T) {
	g, _ := newGuard(3)
	for range 10 {
		_ = g.Do(panicking)
		_ = g.Do(panicking)
		if err := g.Do(func() error { return nil }); err != nil {
			t.Fatal(err)
		}
	}
	contained := func() { defer g.Contain(); panic("broken") }
	contained()
	func() { defer g.Contain() }()
	contained()
	contained()
	ended := func() (ended bool) {
		defer func() { ended = recover() != nil }()
		contained()
		return false
	}
	if !ended() {
		t.Error("three panics in a row were contained")
	}
}

// A request whose handler panics must be answered, also the next one, and be counted.
func TestPanicInAHandlerIsAnsweredAndCounted(t *testing.T) {
	g, _ := newGuard(3)
	h := g.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("broken") }))
	for range 5 {
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/ready", nil))
		if answer.Code != http.StatusInternalServerError {
			t.Errorf("status %d", answer.Code)
		}
	}
	if g.Panics() != 5 {
		t.Errorf("%d panics counted", g.Panics())
	}
}
