// Package policy reads and checks the operators' policy for hard load: which
// components are active, and their limits. It is an INI file with the section
// [Policy]; keys that it lacks have their defaults, and no other key may appear.
// All problems are reported together.
//
// # Usage
//
//	p, err := policy.Load("policy.ini")
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err) // a *settings.ProblemsError
//		os.Exit(2)
//	}
package policy

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
)

// section is the section of all keys.
const section = "Policy"

// Policy is the policy of one instance; Keys describes each field.
type Policy struct {
	Admission           bool
	LongestStarvation   time.Duration
	Ejection            bool
	GreatestEjectedPart float64
	ShortestEjection    time.Duration
	LongestEjection     time.Duration
	// Off are the mechanisms that are switched off.
	Off mechanism.Set
}

// Key describes one key of the file.
type Key struct {
	Name    string
	Default string
	// Allowed says which values are accepted, and Meaning what the key is for.
	Allowed string
	Meaning string
	set     func(p *Policy, value string) error
}

// Limits of the durations. A second is the shortest time in which rejected callers can
// return in turn, and a minute is longer than any flow.
const (
	leastStarvation, mostStarvation = time.Second, time.Minute
	leastEjection, mostEjection     = 100 * time.Millisecond, 10 * time.Minute
)

// Keys returns every key, in the order of the settings reference.
func Keys() []Key {
	return []Key{
		switchKey("Admission", "whether requests are rejected while a service is short of capacity, the least urgent first", func(p *Policy) *bool { return &p.Admission }),
		durationKey("LongestStarvation", "5s", "time in which each caller of an overloaded service is admitted once, as far as more urgent requests leave room", leastStarvation, mostStarvation, func(p *Policy) *time.Duration { return &p.LongestStarvation }),
		switchKey("Ejection", "whether backend servers that fail more than their peers get no flows for a time", func(p *Policy) *bool { return &p.Ejection }),
		{
			Name: "GreatestEjectedPart", Default: "0.3", Allowed: "a number above 0, at most 1",
			Meaning: "largest part of a service's usable slots that is ejected at a time", set: setPart,
		},
		durationKey("ShortestEjection", "2s", "how long a server's first ejection lasts; each further one lasts twice as long", leastEjection, mostEjection, func(p *Policy) *time.Duration { return &p.ShortestEjection }),
		durationKey("LongestEjection", "16s", "how long an ejection lasts at most, not below ShortestEjection", leastEjection, mostEjection, func(p *Policy) *time.Duration { return &p.LongestEjection }),
		{
			Name: "Off", Default: "", Allowed: "names of mechanisms, separated by commas: " + mechanism.Names(),
			Meaning: "mechanisms that are switched off, to find out what they are worth; promises hang on none of them", set: setOff,
		},
	}
}

func setOff(p *Policy, value string) (err error) {
	p.Off, err = mechanism.Parse(value)
	return err
}

func switchKey(name, meaning string, field func(*Policy) *bool) Key {
	return Key{Name: name, Default: "On", Allowed: "On or Off", Meaning: meaning, set: func(p *Policy, value string) error {
		if value != "On" && value != "Off" {
			return errors.Errorf("%q is neither On nor Off", value)
		}
		*field(p) = value == "On"
		return nil
	}}
}

func durationKey(name, standard, meaning string, least, most time.Duration, field func(*Policy) *time.Duration) Key {
	return Key{
		Name: name, Default: standard, Allowed: fmt.Sprintf("a duration from %v to %v", least, most), Meaning: meaning,
		set: func(p *Policy, value string) error {
			d, err := time.ParseDuration(value)
			if err != nil {
				return err
			}
			if d < least || d > most {
				return errors.Errorf("%v is out of range", d)
			}
			*field(p) = d
			return nil
		},
	}
}

func setPart(p *Policy, value string) error {
	part, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return err
	}
	if !(part > 0 && part <= 1) {
		return errors.Errorf("%v is out of range", part)
	}
	p.GreatestEjectedPart = part
	return nil
}

// Default returns the policy of an empty file.
func Default() Policy {
	var p Policy
	for _, k := range Keys() {
		if err := k.set(&p, k.Default); err != nil {
			panic("policy: default of " + k.Name + ": " + err.Error())
		}
	}
	return p
}

// Load reads and checks a file. An error that isn't about reading is a
// *settings.ProblemsError.
func Load(file string) (Policy, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Policy{}, errors.Wrap(err, "read policy")
	}
	return Parse(data)
}

// IsPolicy reports whether the content of an INI file has the section of a policy.
func IsPolicy(data []byte) bool {
	parsed, err := ini.Load(data)
	return err == nil && parsed.HasSection(section)
}

// Parse reads and checks a policy from memory. An error is a *settings.ProblemsError.
func Parse(data []byte) (Policy, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true}, data)
	if err != nil {
		return Policy{}, &settings.ProblemsError{List: []string{strings.TrimSpace(err.Error())}}
	}
	p := Default()
	var problems []string
	for _, s := range parsed.Sections() {
		for _, k := range s.Keys() {
			if problem := apply(&p, s.Name(), k); problem != "" {
				problems = append(problems, fmt.Sprintf("[%s] %s = %q: %s", s.Name(), k.Name(), strings.Join(k.ValueWithShadows(), ", "), problem))
			}
		}
	}
	if p.LongestEjection < p.ShortestEjection {
		problems = append(problems, fmt.Sprintf("[%s] LongestEjection = %q: below ShortestEjection", section, p.LongestEjection))
	}
	if len(problems) > 0 {
		return Policy{}, &settings.ProblemsError{List: problems}
	}
	return p, nil
}

// apply sets the field of a key of the file, and returns what is wrong with it.
func apply(p *Policy, sectionName string, key *ini.Key) string {
	for _, k := range Keys() {
		if sectionName != section || k.Name != key.Name() {
			continue
		}
		if len(key.ValueWithShadows()) > 1 {
			return "given more than once"
		}
		if err := k.set(p, key.Value()); err != nil {
			return "allowed: " + k.Allowed
		}
		return ""
	}
	return "no such key"
}
