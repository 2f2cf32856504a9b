package mechanism_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
)

// Guards against a name that selects another way, or none.
func TestWaysAreReadBack(t *testing.T) {
	for _, m := range mechanism.WayMeanings() {
		pair := m.Decision + "=" + m.Way
		w, err := mechanism.ParseWays(" " + pair + ",")
		if err != nil || m.Meaning == "" || !strings.Contains(mechanism.WayNames(), m.Way) {
			t.Errorf("%s: %v, described as %q", pair, err, m.Meaning)
		}
		if text := w.String(); text != pair && text != "" {
			t.Errorf("%s is shown as %q", pair, text)
		}
	}
}

// Guards against a wrong file that is taken for the standard ways.
func TestUnknownAndRepeatedWaysAreErrors(t *testing.T) {
	var unknown *mechanism.UnknownWayError
	for _, text := range []string{"Placing=Nearest", "Order=LeastLoad", "Placing", "=LeastLoad"} {
		if _, err := mechanism.ParseWays(text); !errors.As(err, &unknown) || !strings.Contains(err.Error(), "Placing=LeastLoad|") {
			t.Errorf("%s: error %v", text, err)
		}
	}
	var repeated *mechanism.RepeatedDecisionError
	if _, err := mechanism.ParseWays("Placing=TwoChoices, Placing=LeastWait"); !errors.As(err, &repeated) {
		t.Errorf("error %v", err)
	}
}

func TestZeroValueHoldsTheStandardWays(t *testing.T) {
	var w mechanism.Ways
	got, err := mechanism.ParseWays("")
	if d := cmp.Diff(w, got); d != "" || err != nil || w.String() != "" {
		t.Error(err, d, w)
	}
	if w.With(mechanism.Placing, mechanism.TwoChoices).Of(mechanism.Placing) != mechanism.TwoChoices || w.Of(mechanism.Placing) != mechanism.LeastLoad {
		t.Error("With changes another value than the one that it returns")
	}
}
