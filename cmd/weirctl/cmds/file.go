package cmds

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"

	"github.com/tanagerweir/tanagerweir/cmd/internal/tree"
	"github.com/tanagerweir/tanagerweir/service/api"
)

// changeFile is the content of a configuration file.
type changeFile struct {
	// baseVersion is the version that the changes are based on, 0 for none.
	baseVersion uint64
	reason      string
	changes     []*api.Change
}

// fileReader collects a file's changes and all its problems.
type fileReader struct {
	file     changeFile
	problems []string
}

// readChangeFile reads a configuration file: INI sections [Change], [Service NAME],
// [Class NAME], [Backend NAME] and [DataCentre NAME]. The error lists all problems
// of the file.
func readChangeFile(path string) (changeFile, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, KeyValueDelimiters: "="}, path)
	if err != nil {
		return changeFile{}, errors.Wrap(tree.ErrUsage, err.Error())
	}
	r := &fileReader{}
	for _, s := range file.Sections() {
		r.section(s)
	}
	if len(r.problems) > 0 {
		return changeFile{}, errors.Wrap(tree.ErrUsage, path+":\n"+strings.Join(r.problems, "\n"))
	}
	return r.file, nil
}

func (r *fileReader) section(s *ini.Section) {
	kind, name, _ := strings.Cut(s.Name(), " ")
	values := &section{reader: r, name: s.Name(), unread: make(map[string]string)}
	for _, k := range s.Keys() {
		if len(k.ValueWithShadows()) > 1 {
			r.addProblem(s.Name(), k.Name(), "given more than once")
		}
		values.unread[k.Name()] = k.Value()
	}
	switch kind {
	case ini.DefaultSection:
	case "Change":
		r.file.reason = values.text("Reason", "")
		r.file.baseVersion = values.number("Version", 0)
	case "Service", "Class", "Backend", "DataCentre":
		r.file.changes = append(r.file.changes, values.change(kind, strings.TrimSpace(name)))
	default:
		r.problems = append(r.problems, fmt.Sprintf("[%s]: unknown section; allowed: Change, Service NAME, Class NAME, Backend NAME, DataCentre NAME", s.Name()))
		return
	}
	for _, k := range s.Keys() {
		if _, unknown := values.unread[k.Name()]; unknown {
			r.addProblem(s.Name(), k.Name(), "unknown key")
		}
	}
}

func (r *fileReader) addProblem(section, key, problem string) {
	r.problems = append(r.problems, fmt.Sprintf("[%s] %s: %s", section, key, problem))
}

// section is one section with the values of the keys that weren't read yet. Its
// methods take a key once each, and report a value that isn't allowed as a problem.
type section struct {
	reader *fileReader
	name   string
	unread map[string]string
}

func (s *section) change(kind, name string) *api.Change {
	remove := s.flag("Remove")
	switch kind {
	case "Service":
		if remove {
			return &api.Change{Edit: &api.Change_RemoveService{RemoveService: name}}
		}
		return &api.Change{Edit: &api.Change_PutService{PutService: s.service(name)}}
	case "Class":
		if remove {
			return &api.Change{Edit: &api.Change_RemoveClass{RemoveClass: name}}
		}
		return &api.Change{Edit: &api.Change_PutClass{PutClass: s.class(name)}}
	case "Backend":
		if remove {
			return &api.Change{Edit: &api.Change_RemoveBackend{RemoveBackend: name}}
		}
		return &api.Change{Edit: &api.Change_PutBackend{PutBackend: &api.Backend{Name: name, Service: s.text("Service", "")}}}
	}
	if remove {
		s.reader.addProblem(s.name, "Remove", "a data centre is taken out, not removed")
	}
	return &api.Change{Edit: &api.Change_PutDataCentre{PutDataCentre: s.dataCentre(name)}}
}

func (s *section) service(name string) *api.Service {
	protocol := api.Protocol_PROTOCOL_TCP
	switch s.text("Protocol", "TCP") {
	case "TCP":
	case "UDP":
		protocol = api.Protocol_PROTOCOL_UDP
	default:
		s.reader.addProblem(s.name, "Protocol", "allowed: TCP, UDP")
	}
	return &api.Service{Name: name, Protocol: protocol}
}

func (s *section) class(name string) *api.Class {
	return &api.Class{
		Name:       name,
		Service:    s.text("Service", ""),
		Repeatable: s.flag("Repeatable"),
		Target: &api.Target{
			Share:              s.share("Share", 0.99),
			WithinMilliseconds: s.duration("Within", time.Second).Milliseconds(),
			WindowSeconds:      int64(s.duration("Window", 24*time.Hour) / time.Second),
			FlowShare:          s.share("FlowShare", 0.999),
		},
	}
}

func (s *section) dataCentre(name string) *api.DataCentre {
	state := api.DataCentreState_DATA_CENTRE_STATE_IN
	switch s.text("State", "In") {
	case "In":
	case "Out":
		state = api.DataCentreState_DATA_CENTRE_STATE_OUT
	default:
		s.reader.addProblem(s.name, "State", "allowed: In, Out")
	}
	return &api.DataCentre{Name: name, State: state}
}

func (s *section) text(key, fallback string) string {
	value, ok := s.unread[key]
	delete(s.unread, key)
	if !ok {
		return fallback
	}
	return value
}

func (s *section) flag(key string) bool {
	value, err := strconv.ParseBool(s.text(key, "false"))
	if err != nil {
		s.reader.addProblem(s.name, key, "allowed: true, false")
	}
	return value
}

func (s *section) share(key string, fallback float64) float64 {
	value, err := strconv.ParseFloat(s.text(key, strconv.FormatFloat(fallback, 'g', -1, 64)), 64)
	if err != nil {
		s.reader.addProblem(s.name, key, "allowed: a number from 0 to 1")
	}
	return value
}

func (s *section) number(key string, fallback uint64) uint64 {
	value, err := strconv.ParseUint(s.text(key, strconv.FormatUint(fallback, 10)), 10, 64)
	if err != nil {
		s.reader.addProblem(s.name, key, "allowed: a whole number")
	}
	return value
}

func (s *section) duration(key string, fallback time.Duration) time.Duration {
	value, err := time.ParseDuration(s.text(key, fallback.String()))
	if err != nil {
		s.reader.addProblem(s.name, key, "allowed: a duration such as 500ms")
	}
	return value
}
