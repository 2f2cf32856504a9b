package mechanism_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
)

// Guards against a name that switches another mechanism off, or none.
func TestNamesAreReadBack(t *testing.T) {
	for _, m := range mechanism.All() {
		s, err := mechanism.Parse(" " + m.String() + ",")
		if d := cmp.Diff(mechanism.Set(0).With(m), s); d != "" || err != nil {
			t.Errorf("%v: %v %s", m, err, d)
		}
		if s.String() != m.String() || m.Without() == "" {
			t.Errorf("%v is shown as %q, described as %q", m, s, m.Without())
		}
	}
}

func TestUnknownNameIsAnError(t *testing.T) {
	_, err := mechanism.Parse("ServerRing, ColdBound")
	var unknown *mechanism.UnknownError
	if !errors.As(err, &unknown) || unknown.Name != "ColdBound" {
		t.Errorf("error %v", err)
	}
}
