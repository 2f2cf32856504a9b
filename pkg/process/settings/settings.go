// Package settings reads and checks the INI settings of an instance.
//
// Every key must be present or have a default, and no other key may appear.
// All problems are reported together, one per line, each with section, key,
// value and what is allowed.
//
// # Usage
//
//	loaded, err := settings.Load("tanagerweir.ini")
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err) // a *settings.ProblemsError
//		os.Exit(2)
//	}
package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
)

// Security says how connections to other processes are protected.
type Security string

// Modes of security.
const (
	// Mutual requires certificates of both ends of a connection.
	Mutual Security = "Mutual"
	// Plain neither encrypts nor authenticates. It has to be chosen
	// explicitly.
	Plain Security = "Plain"
)

// Settings are the settings of one instance; Keys describes each of them.
type Settings struct {
	Name       string
	DataCentre string
	Region     string

	Packets  netip.AddrPort
	Passed   netip.AddrPort
	Requests netip.AddrPort
	Admin    netip.AddrPort
	Peer     netip.AddrPort
	Metrics  netip.AddrPort

	Platform netip.AddrPort
	Pool     netip.Prefix
	// Seeds are peer endpoints of other instances. They are contacted at a
	// start while the platform is down.
	Seeds []netip.AddrPort

	Security    Security
	Certificate string
	Key         string
	Authority   string

	Grace  time.Duration
	Levels logs.Levels
}

// ProblemsError lists all problems of a settings file.
type ProblemsError struct{ List []string }

// Error returns the problems, one per line.
func (p *ProblemsError) Error() string { return strings.Join(p.List, "\n") }

// Load reads and checks the file. An error is a *ProblemsError.
func Load(file string) (Settings, error) {
	return parse(file)
}

// Parse reads and checks settings from memory. An error is a *ProblemsError.
func Parse(data []byte) (Settings, error) {
	return parse(data)
}

// parse reads and checks settings from a file name or from the bytes of a
// file.
func parse(source any) (Settings, error) {
	// Shadows keep every value of a key that is given twice, so that it can
	// be reported.
	options := ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true}
	parsed, err := ini.LoadSources(options, source)
	if err != nil {
		return Settings{}, &ProblemsError{List: []string{strings.TrimSpace(err.Error())}}
	}
	return readKeys(parsed)
}

func readKeys(parsed *ini.File) (Settings, error) {
	var s Settings
	var problems []string
	for _, k := range Keys() {
		problems = append(problems, k.apply(parsed, &s)...)
	}
	problems = append(problems, unknownKeys(parsed)...)
	problems = append(problems, duplicateEndpoints(s)...)
	if len(problems) > 0 {
		return Settings{}, &ProblemsError{List: problems}
	}
	return s, nil
}

// duplicateEndpoints returns a problem for each endpoint that two keys of one
// transport protocol share.
func duplicateEndpoints(s Settings) []string {
	udp := []endpoint{{"Packets", s.Packets}, {"Passed", s.Passed}}
	tcp := []endpoint{{"Requests", s.Requests}, {"Admin", s.Admin}, {"Peer", s.Peer}, {"Metrics", s.Metrics}}
	return append(duplicates(udp), duplicates(tcp)...)
}

// endpoint is a listening endpoint with the key that sets it.
type endpoint struct {
	key     string
	address netip.AddrPort
}

// duplicates returns a problem for each endpoint that an earlier one in the
// list has already taken. Port 0 never conflicts, as the system chooses a
// free port.
func duplicates(endpoints []endpoint) []string {
	var problems []string
	first := make(map[netip.AddrPort]string, len(endpoints))
	for _, e := range endpoints {
		if !e.address.IsValid() || e.address.Port() == 0 {
			continue
		}
		if other, ok := first[e.address]; ok {
			problems = append(problems, problem("Listen", e.key, e.address.String(), "taken by "+other))
			continue
		}
		first[e.address] = e.key
	}
	return problems
}

// unknownKeys returns a problem for each key in the file that Keys doesn't
// list.
func unknownKeys(parsed *ini.File) []string {
	var problems []string
	for _, section := range parsed.Sections() {
		for _, key := range section.Keys() {
			if !isKnownKey(section.Name(), key.Name()) {
				problems = append(problems, problem(section.Name(), key.Name(), key.Value(), "no such key"))
			}
		}
	}
	return problems
}

func isKnownKey(section, name string) bool {
	for _, k := range Keys() {
		if k.Section == section && k.Name == name {
			return true
		}
	}
	return false
}

// problem returns the line for one problem; reason says what is allowed or
// what is wrong.
func problem(section, name, value, reason string) string {
	return fmt.Sprintf("[%s] %s = %q: %s", section, name, value, reason)
}
