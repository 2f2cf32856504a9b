package settings

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"

	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
)

const graceLimit = 10 * time.Minute

// Key describes one key of the settings file.
type Key struct {
	Section string
	Name    string
	// Default is the value where the key is missing. A missing key with
	// Required set is a problem.
	Default  string
	Required bool
	// Allowed says which values are accepted. It completes a problem's line.
	Allowed string
	// Meaning says what the key is for, in the reference of the settings.
	Meaning string
	set     func(s *Settings, value string) error
}

// Keys returns every key, in the order of the settings reference.
func Keys() []Key {
	return slices.Concat(instanceKeys(), listenKeys(), platformKeys(), peersKeys(), securityKeys(), processKeys())
}

func instanceKeys() []Key {
	return []Key{
		nameKey("Instance", "Name", "name of the instance in the platform's list", func(s *Settings) *string { return &s.Name }),
		nameKey("Instance", "DataCentre", "data centre that the instance stands in", func(s *Settings) *string { return &s.DataCentre }),
		nameKey("Instance", "Region", "region that the data centre belongs to", func(s *Settings) *string { return &s.Region }),
	}
}

func listenKeys() []Key {
	return []Key{
		endpointKey("Listen", "Packets", "UDP endpoint for encapsulated packets from the fabric", func(s *Settings) *netip.AddrPort { return &s.Packets }),
		endpointKey("Listen", "Passed", "UDP endpoint for packets passed by other instances", func(s *Settings) *netip.AddrPort { return &s.Passed }),
		endpointKey("Listen", "Requests", "TCP endpoint for callers' requests", func(s *Settings) *netip.AddrPort { return &s.Requests }),
		endpointKey("Listen", "Admin", "TCP endpoint for operators", func(s *Settings) *netip.AddrPort { return &s.Admin }),
		endpointKey("Listen", "Peer", "TCP endpoint for other instances", func(s *Settings) *netip.AddrPort { return &s.Peer }),
		endpointKey("Listen", "Metrics", "TCP endpoint for metrics and health", func(s *Settings) *netip.AddrPort { return &s.Metrics }),
	}
}

func platformKeys() []Key {
	return []Key{
		endpointKey("Platform", "Endpoint", "TCP endpoint of the platform's key-value service", func(s *Settings) *netip.AddrPort { return &s.Platform }),
		{
			Section: "Addresses", Name: "Pool", Required: true,
			Allowed: "an IP prefix such as 192.0.2.0/24",
			Meaning: "addresses that services are given",
			set: func(s *Settings, value string) (err error) {
				s.Pool, err = netip.ParsePrefix(value)
				return err
			},
		},
	}
}

func peersKeys() []Key {
	return []Key{{
		Section: "Peers", Name: "Seeds",
		Allowed: "IP addresses with ports, separated by commas, such as 127.0.0.1:7005,127.0.0.1:7105",
		Meaning: "peer endpoints of instances to ask first, for a start while the platform is down",
		set:     setSeeds,
	}}
}

func setSeeds(s *Settings, value string) error {
	for item := range strings.SplitSeq(value, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			continue
		}
		endpoint, err := netip.ParseAddrPort(item)
		if err != nil {
			return err
		}
		s.Seeds = append(s.Seeds, endpoint)
	}
	return nil
}

func securityKeys() []Key {
	return []Key{
		{
			Section: "Security", Name: "Mode", Required: true,
			Allowed: "Mutual or Plain",
			Meaning: "whether admin and peer connections demand certificates",
			set:     setSecurity,
		},
		pemFileKey("Certificate", "PEM file with the instance's certificate", func(s *Settings) *string { return &s.Certificate }),
		pemFileKey("Key", "PEM file with the instance's private key", func(s *Settings) *string { return &s.Key }),
		pemFileKey("Authority", "PEM file with the authority that signs certificates", func(s *Settings) *string { return &s.Authority }),
	}
}

func processKeys() []Key {
	return []Key{
		{
			Section: "Stop", Name: "Grace", Default: "30s",
			Allowed: "a duration above 0s and at most 10m",
			Meaning: "how long a planned stop waits for requests in flight and the handover of flows",
			set:     setGrace,
		},
		{
			Section: "Log", Name: "Level", Default: "info",
			Allowed: "debug, info, warn or error, then Part=level pairs, such as info,Keeper=debug",
			Meaning: "least level that is logged, for all parts or a part",
			set: func(s *Settings, value string) (err error) {
				s.Levels, err = logs.ParseLevels(value)
				return err
			},
		},
	}
}

// apply sets the key's field from the parsed file or from the default, and
// returns the problems that it finds.
func (k Key) apply(parsed *ini.File, s *Settings) []string {
	value := k.Default
	section, err := parsed.GetSection(k.Section)
	if err == nil && section.HasKey(k.Name) {
		values := section.Key(k.Name).ValueWithShadows()
		if len(values) > 1 {
			return []string{problem(k.Section, k.Name, strings.Join(values, ", "), "given more than once")}
		}
		value = section.Key(k.Name).Value()
	} else if k.Required {
		return []string{problem(k.Section, k.Name, "", "missing; allowed: "+k.Allowed)}
	}
	if err := k.set(s, value); err != nil {
		return []string{problem(k.Section, k.Name, value, "allowed: "+k.Allowed)}
	}
	return nil
}

// nameKey returns a required key that holds a name.
func nameKey(section, name, meaning string, field func(*Settings) *string) Key {
	return Key{
		Section: section, Name: name, Required: true, Meaning: meaning,
		Allowed: "1 to 63 characters a-z, 0-9 and '-'",
		set: func(s *Settings, value string) error {
			if !isName(value) {
				return errors.New("not a name")
			}
			*field(s) = value
			return nil
		},
	}
}

// isName reports whether value has 1 to 63 characters a-z, 0-9 and '-'.
func isName(value string) bool {
	if value == "" || len(value) > 63 {
		return false
	}
	for _, r := range value {
		if r != '-' && (r < 'a' || r > 'z') && (r < '0' || r > '9') {
			return false
		}
	}
	return true
}

// endpointKey returns a required key that holds an IP address with a port.
func endpointKey(section, name, meaning string, field func(*Settings) *netip.AddrPort) Key {
	return Key{
		Section: section, Name: name, Required: true, Meaning: meaning,
		Allowed: "an IP address with a port, such as 127.0.0.1:7001",
		set: func(s *Settings, value string) (err error) {
			*field(s), err = netip.ParseAddrPort(value)
			return err
		},
	}
}

// pemFileKey returns a key of the section Security that names a PEM file.
func pemFileKey(name, meaning string, field func(*Settings) *string) Key {
	return Key{
		Section: "Security", Name: name, Meaning: meaning,
		Allowed: "the path of a PEM file; required when Mode is Mutual",
		set: func(s *Settings, value string) error {
			if value == "" && s.Security == Mutual {
				return errors.New("missing")
			}
			*field(s) = value
			return nil
		},
	}
}

func setSecurity(s *Settings, value string) error {
	s.Security = Security(value)
	if s.Security != Mutual && s.Security != Plain {
		return errors.New("unknown mode")
	}
	return nil
}

func setGrace(s *Settings, value string) error {
	d, err := time.ParseDuration(value)
	if err != nil {
		return err
	}
	if d <= 0 || d > graceLimit {
		return errors.New("out of range")
	}
	s.Grace = d
	return nil
}
