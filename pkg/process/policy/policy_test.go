package policy_test

import (
	"errors"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
	"github.com/tanagerweir/tanagerweir/pkg/process/policy"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
)

func TestMissingKeysHaveTheirDefaults(t *testing.T) {
	want := policy.Policy{
		Admission: true, LongestStarvation: 5 * time.Second, Ejection: true, GreatestEjectedPart: 0.3,
		ShortestEjection: 2 * time.Second, LongestEjection: 16 * time.Second,
	}
	if diff := cmp.Diff(want, policy.Default()); diff != "" {
		t.Error(diff)
	}
	got, err := policy.Parse([]byte("[Policy]\nAdmission = Off\nLongestStarvation = 9s\n"))
	want.Admission, want.LongestStarvation = false, 9*time.Second
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// A wrong file must name every problem, and must never be taken for the defaults.
func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	_, err := policy.Parse([]byte("Admission = On\n[Policy]\nAdmission = yes\nEjection = On\nEjection = Off\nGreatestEjectedPart = NaN\n" +
		"LongestStarvation = 1ms\nShortestEjection = 20s\nOther = 1\n"))
	var problems *settings.ProblemsError
	if !errors.As(err, &problems) {
		t.Fatal(err)
	}
	want := []string{
		`[DEFAULT] Admission = "On": no such key`,
		`[Policy] Admission = "yes": allowed: On or Off`,
		`[Policy] Ejection = "On, Off": given more than once`,
		`[Policy] GreatestEjectedPart = "NaN": allowed: a number above 0, at most 1`,
		`[Policy] LongestStarvation = "1ms": allowed: a duration from 1s to 1m0s`,
		`[Policy] Other = "1": no such key`,
		`[Policy] LongestEjection = "16s": below ShortestEjection`,
	}
	if diff := cmp.Diff(want, problems.List); diff != "" {
		t.Error(diff)
	}
}

func TestAFileThatCantBeReadIsNoProblemOfItsContent(t *testing.T) {
	var problems *settings.ProblemsError
	if _, err := policy.Load(filepath.Join(t.TempDir(), "missing.ini")); err == nil || errors.As(err, &problems) {
		t.Error(err)
	}
}

// Guards against a mechanism that stays on although the file switches it off, and against the
// switch of a promise.
func TestMechanismsAreSwitchedOffByName(t *testing.T) {
	p, err := policy.Parse([]byte("[Policy]\nOff = ServerRing, CallerWindow\n"))
	if diff := cmp.Diff(mechanism.Set(0).With(mechanism.ServerRing).With(mechanism.CallerWindow), p.Off); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if _, err := policy.Parse([]byte("[Policy]\nOff = ColdBound\n")); err == nil {
		t.Error("the cold bound can be switched off")
	}
}
