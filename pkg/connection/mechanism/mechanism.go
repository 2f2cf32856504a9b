// Package mechanism names the mechanisms that decide under load, so that each can be switched
// off by one name: by operators in the policy file, and in emulated days that measure what it is
// worth.
//
// Promises hang on none of them. What keeps cold bounds, runs a request at most once and keeps
// flows has no name here.
//
// # Usage
//
//	off, err := mechanism.Parse("CallerWindow, ServerRing")
//	core := admission.New(admission.Options{Off: off})
//	if off.Has(mechanism.CallerWindow) {
//		// all callers are equal
//	}
package mechanism

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is one mechanism.
type Mechanism uint8

// Mechanisms of admission, of capacity and health, and of placing.
const (
	CrowdOnset Mechanism = iota
	ClassOrder
	CallerWindow
	DemandShares
	DelayCorrection
	IdleEstimates
	RoomElsewhere
	FailureRisk
	SlowLimits
	ServerRing
	MeanLoads
	EarlySpill
	CallerLeading
	ReportedLoads
	SpareElsewhere
)

// descriptions holds each mechanism's name and what happens without it, by its value.
var descriptions = [...]struct{ name, without string }{
	{"CrowdOnset", "a crowd is noticed by late or short answers only"},
	{"ClassOrder", "requests of all priorities are rejected alike"},
	{"CallerWindow", "rejected callers' retries are as likely to be admitted as any request"},
	{"DemandShares", "each instance of a data centre takes an equal share of the room"},
	{"DelayCorrection", "the room is that of the servers' slots, whatever the queueing delay"},
	{"IdleEstimates", "an instance that starts amid a crowd doesn't know how long idle servers take"},
	{"RoomElsewhere", "a data centre that lacks servers admits what its own can take"},
	{"FailureRisk", "servers that fail more than others are placed like them until they are ejected"},
	{"SlowLimits", "slow servers get as many requests as others"},
	{"ServerRing", "all instances of a data centre use all servers alike"},
	{"MeanLoads", "loads that other instances report count for each server, however old"},
	{"EarlySpill", "flows leave their data centre only at twice the load"},
	{"CallerLeading", "an instance that reaches no server goes on taking callers"},
	{"ReportedLoads", "flows leave their data centre without regard to the load of the others"},
	{"SpareElsewhere", "callers are rejected while other data centres have free slots"},
}

// All returns all mechanisms, in the order of their values.
func All() []Mechanism {
	all := make([]Mechanism, len(descriptions))
	for i := range all {
		all[i] = Mechanism(i)
	}
	return all
}

// String returns the name that settings and logs use.
func (m Mechanism) String() string { return descriptions[m].name }

// Without says what happens while the mechanism is off.
func (m Mechanism) Without() string { return descriptions[m].without }

// Set is a set of mechanisms. The zero value is empty.
type Set uint32

// With returns the set with a mechanism.
func (s Set) With(m Mechanism) Set { return s | 1<<m }

// Has reports whether the set contains a mechanism.
func (s Set) Has(m Mechanism) bool { return s&(1<<m) != 0 }

// String returns the names, separated by commas.
func (s Set) String() string {
	var names []string
	for _, m := range All() {
		if s.Has(m) {
			names = append(names, m.String())
		}
	}
	return strings.Join(names, ", ")
}

// UnknownError is about a name that is no mechanism's.
type UnknownError struct {
	Name string
}

// Error returns the unknown name and all known ones.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("%q isn't one of %s", e.Name, Names())
}

// Names returns the names of all mechanisms, separated by commas.
func Names() string {
	var all Set
	for _, m := range All() {
		all = all.With(m)
	}
	return all.String()
}

// Parse reads names that are separated by commas. An error is an *UnknownError.
func Parse(names string) (Set, error) {
	var s Set
	for name := range strings.SplitSeq(names, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		i := slices.IndexFunc(All(), func(m Mechanism) bool { return m.String() == name })
		if i < 0 {
			return 0, &UnknownError{Name: name}
		}
		s = s.With(Mechanism(i))
	}
	return s, nil
}
