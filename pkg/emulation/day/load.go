package day

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// loadOptions keep # and ; within a line as part of the value.
var loadOptions = ini.LoadOptions{IgnoreInlineComment: true}

// Load reads and checks the settings of a day. Settings that the file lacks come
// from its base, which Base in the section [Day] names relative to the file's folder.
// Invalid settings give a *settings.ProblemsError that lists all of them.
func Load(file string) (Day, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Day{}, errors.Wrap(err, "read settings of the emulated day")
	}
	parsed, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		return Day{}, &settings.ProblemsError{List: []string{err.Error()}}
	}
	base := parsed.Section("Day").Key("Base").Value()
	if base == "" {
		return Parse(data)
	}
	baseData, err := os.ReadFile(filepath.Join(filepath.Dir(file), base))
	if err != nil {
		return Day{}, errors.Wrapf(err, "read the base of emulated day %q", file)
	}
	return Parse(baseData, data)
}

// Parse reads and checks settings from memory; a key in a later part overrides the
// same key in an earlier one. Errors are as for [Load].
func Parse(parts ...[]byte) (Day, error) {
	sources := make([]any, len(parts))
	for i, part := range parts {
		sources[i] = part
	}
	parsed, err := ini.LoadSources(loadOptions, sources[0], sources[1:]...)
	if err != nil {
		return Day{}, &settings.ProblemsError{List: []string{err.Error()}}
	}
	r := &reader{file: parsed}
	d := r.day()
	r.reportUnknown()
	if len(r.problems) == 0 {
		r.checkReferences(d)
	}
	if len(r.problems) > 0 {
		return Day{}, &settings.ProblemsError{List: r.problems}
	}
	return d, nil
}

// IsDay reports whether settings in the INI format are those of an emulated day.
func IsDay(data []byte) bool {
	parsed, err := ini.Load(data)
	return err == nil && parsed.HasSection("Day")
}

// reader reads values from settings and collects the problems that it finds.
type reader struct {
	file     *ini.File
	problems []string
	// requested holds the keys that were read, by section; others are unknown.
	requested map[string][]string
}

func (r *reader) addProblem(section, key, value, allowed string) {
	r.problems = append(r.problems, fmt.Sprintf("[%s] %s = %q: allowed: %s", section, key, value, allowed))
}

// value returns the text of a key, or the fallback if the key is missing. Where the
// caller rejects an empty text, an empty fallback makes the key required.
func (r *reader) value(section, key, fallback string) string {
	if r.requested == nil {
		r.requested = make(map[string][]string)
	}
	r.requested[section] = append(r.requested[section], key)
	s, err := r.file.GetSection(section)
	if err == nil && s.HasKey(key) {
		return s.Key(key).Value()
	}
	return fallback
}

func (r *reader) duration(section, key, fallback string) time.Duration {
	text := r.value(section, key, fallback)
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		r.addProblem(section, key, text, "a duration such as 250ms")
	}
	return d
}

func (r *reader) number(section, key, fallback string) float64 {
	text := r.value(section, key, fallback)
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || n < 0 {
		r.addProblem(section, key, text, "a number, 0 or more")
	}
	return n
}

func (r *reader) integer(section, key, fallback string) int {
	text := r.value(section, key, fallback)
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		r.addProblem(section, key, text, "a whole number, 0 or more")
	}
	return n
}

func (r *reader) choice(section, key, fallback string, allowed ...string) string {
	text := r.value(section, key, fallback)
	if !slices.Contains(allowed, text) {
		r.addProblem(section, key, text, strings.Join(allowed, ", "))
	}
	return text
}

// sectionNames returns the names in the headers of sections of a kind, in the order
// of the file: step-signoff for [Class step-signoff].
func (r *reader) sectionNames(kind string) []string {
	var names []string
	for _, section := range r.file.SectionStrings() {
		if name, ok := strings.CutPrefix(section, kind+" "); ok {
			names = append(names, name)
		}
	}
	return names
}

// reportUnknown adds a problem for each key that wasn't read.
func (r *reader) reportUnknown() {
	for _, section := range r.file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		for _, key := range section.KeyStrings() {
			if !slices.Contains(r.requested[section.Name()], key) {
				r.problems = append(r.problems, fmt.Sprintf("[%s] %s: no such key", section.Name(), key))
			}
		}
	}
}

func (r *reader) day() Day {
	r.value("Day", "Base", "")
	d := Day{
		Name:       r.value("Day", "Name", ""),
		Warmup:     r.duration("Day", "Warmup", "10s"),
		Length:     r.duration("Day", "Length", "34s"),
		ModuloHash: r.choice("Day", "Hash", "Steady", "Steady", "Modulo") == "Modulo",
		Health:     r.choice("Day", "Health", "No", "No", "Yes") == "Yes",
		Bounds:     r.bounds(),
		Links:      r.links(),
		Instances: Instances{
			StartTime:    r.duration("Instances", "StartTime", "25ms"),
			StartSpread:  r.duration("Instances", "StartSpread", "300ms"),
			PacketTime:   r.duration("Instances", "PacketTime", "20us"),
			QueuePackets: r.integer("Instances", "QueuePackets", "1600"),
		},
		Callers: r.callers(),
		Store: Store{
			AnswerTime: r.duration("Store", "AnswerTime", "4ms"),
			Eras:       r.choice("Store", "Eras", "Off", "Off", "On") == "On",
			PageKeys:   r.integer("Store", "PageKeys", "500"),
			Heartbeat:  r.duration("Store", "Heartbeat", "770ms"),
		},
		Goal: Goal{
			Day: r.number("Goal", "Day", "0.6"), Windows: r.number("Goal", "Windows", "0.12"),
			Class: r.number("Goal", "Class", "0.08"), DataCentre: r.number("Goal", "DataCentre", "0.2"),
		},
		Prices: Prices{
			StoreCall: r.number("Prices", "StoreCall", "0.19"), MachineSecond: r.number("Prices", "MachineSecond", "0"),
			GigabyteBetween: r.number("Prices", "GigabyteBetween", "5100"),
		},
	}
	d.Policy = r.policy()
	for _, name := range r.sectionNames("DataCentre") {
		d.DataCentres = append(d.DataCentres, r.dataCentre(name))
	}
	for _, name := range r.sectionNames("Service") {
		d.Services = append(d.Services, r.service(name))
	}
	for _, name := range r.sectionNames("Class") {
		d.Classes = append(d.Classes, r.class(name))
	}
	for _, name := range r.sectionNames("Fault") {
		d.Faults = append(d.Faults, r.fault(name))
	}
	return d
}

func (r *reader) policy() Policy {
	const s = "Policy"
	p := Policy{Design: Design(r.choice(s, "Design", string(Product), DesignNames()...)), Part: r.number(s, "Part", "1")}
	text := r.value(s, "Off", "")
	var err error
	if p.Off, err = mechanism.Parse(text); err != nil {
		r.addProblem(s, "Off", text, mechanism.Names())
	}
	if p.Part == 0 || p.Part > 1 {
		r.addProblem(s, "Part", r.value(s, "Part", ""), "a number above 0 and up to 1")
	}
	return p
}

func (r *reader) bounds() Bounds {
	const s = "Bounds"
	return Bounds{
		Stable: r.duration(s, "Stable", "4s"), Drain: r.duration(s, "Drain", "3s"),
		Configuration: r.duration(s, "Configuration", "3s"), Evacuation: r.duration(s, "Evacuation", "5s"),
		Recovery: r.duration(s, "Recovery", "12s"), FlowTimeout: r.duration(s, "FlowTimeout", "2s"),
		MaxFlow: r.duration(s, "MaxFlow", "60s"), Grace: r.duration(s, "Grace", "6s"),
		ColdFactor: r.number(s, "ColdFactor", "1.5"), ColdSlack: r.number(s, "ColdSlack", "5"),
	}
}

func (r *reader) links() Links {
	const s = "Links"
	return Links{
		WithinDataCentre:   r.duration(s, "WithinDataCentre", "200us"),
		BetweenDataCentres: r.duration(s, "BetweenDataCentres", "900us"),
		ToCallers:          r.duration(s, "ToCallers", "1ms"),
		Loss:               r.number(s, "Loss", "0.0001"),
	}
}

func (r *reader) callers() Callers {
	const s = "Callers"
	return Callers{
		FirstCopy: r.duration(s, "FirstCopy", "200ms"), SecondCopy: r.duration(s, "SecondCopy", "600ms"),
		OpenTimeout: r.duration(s, "OpenTimeout", "1400ms"),
		SendAgain:   r.duration(s, "SendAgain", "200ms"), SendAgainMost: r.duration(s, "SendAgainMost", "1600ms"),
		Window: r.integer(s, "Window", "16"), PacketBytes: r.integer(s, "PacketBytes", "1200"),
		AcknowledgeDelay: r.duration(s, "AcknowledgeDelay", "35ms"),
		RetryPause:       r.duration(s, "RetryPause", "0s"),
	}
}

func (r *reader) dataCentre(name string) DataCentre {
	s := "DataCentre " + name
	return DataCentre{
		Name: name, Instances: r.integer(s, "Instances", ""), Spare: r.integer(s, "Spare", "0"),
		Cores: r.number(s, "Cores", "0.4"), Megabits: r.number(s, "Megabits", "1000"),
		Requests: r.number(s, "Requests", ""), Swing: r.number(s, "Swing", "0.15"),
		Period: r.duration(s, "Period", "11s"), Users: r.integer(s, "Users", ""),
	}
}

func (r *reader) service(name string) Service {
	s := "Service " + name
	v := Service{
		Name: name, Slots: r.integer(s, "Slots", ""), Queue: r.integer(s, "Queue", "8"),
		Connections: r.integer(s, "Connections", "2000"), Handshake: r.duration(s, "Handshake", "300us"),
		ColdFor: r.duration(s, "ColdFor", "2s"), ColdWork: r.number(s, "ColdWork", "1.6"),
		ColdRate: r.number(s, "ColdRate", "0"), IdleClose: r.duration(s, "IdleClose", "12s"),
	}
	text := r.value(s, "Servers", "")
	for number := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(number))
		if err != nil || n < 0 {
			r.addProblem(s, "Servers", text, "one whole number for each data centre, separated by commas")
			break
		}
		v.Servers = append(v.Servers, n)
	}
	return v
}

func (r *reader) class(name string) Class {
	s := "Class " + name
	kinds := map[string]directory.Kind{}
	var words []string
	for _, k := range []directory.Kind{directory.Unrepeatable, directory.Repeatable, directory.Upload} {
		kinds[k.String()] = k
		words = append(words, k.String())
	}
	return Class{
		Name: name, Service: r.value(s, "Service", ""), Kind: kinds[r.choice(s, "Kind", "", words...)],
		Share: r.number(s, "Share", "1"), LongFlows: r.choice(s, "LongFlows", "No", "Yes", "No") == "Yes",
		Work: r.duration(s, "Work", ""), WorkSpread: r.number(s, "WorkSpread", "0.5"), WorkMost: r.duration(s, "WorkMost", "1s"),
		RequestBytes: r.integer(s, "RequestBytes", "0"), AnswerBytes: r.integer(s, "AnswerBytes", "1000"),
		Target: r.duration(s, "Target", ""), Budget: r.duration(s, "Budget", ""),
		Worth: r.number(s, "Worth", "1"), LateWorth: r.number(s, "LateWorth", "0.5"), Retries: r.integer(s, "Retries", "2"),
		Priority: r.integer(s, "Priority", "0"),
	}
}

func (r *reader) fault(name string) Fault {
	s := "Fault " + name
	return Fault{
		Name: name, Kind: r.choice(s, "Kind", "", Kinds()...),
		At: r.duration(s, "At", ""), For: r.duration(s, "For", "5s"), Gap: r.duration(s, "Gap", "1s"),
		Share: r.number(s, "Share", "0"), Count: r.integer(s, "Count", "0"), Factor: r.number(s, "Factor", "0"),
		How: words(r.value(s, "How", "")), DataCentre: r.value(s, "DataCentre", ""), Service: r.value(s, "Service", ""),
	}
}

// checkReferences checks that the services and data centres that settings refer to
// exist, and that there is a section of each kind that a day needs.
func (r *reader) checkReferences(d Day) {
	var centres, services []string
	for _, c := range d.DataCentres {
		centres = append(centres, c.Name)
	}
	for _, v := range d.Services {
		services = append(services, v.Name)
		if len(v.Servers) != len(centres) {
			r.addProblem("Service "+v.Name, "Servers", fmt.Sprint(v.Servers), fmt.Sprintf("%d numbers, one for each data centre", len(centres)))
		}
	}
	if len(centres) == 0 || len(services) == 0 || len(d.Classes) == 0 {
		r.problems = append(r.problems, "there must be a [DataCentre ...], a [Service ...] and a [Class ...] at least")
	}
	for _, c := range d.Classes {
		if !slices.Contains(services, c.Service) {
			r.addProblem("Class "+c.Name, "Service", c.Service, strings.Join(services, ", "))
		}
	}
	for _, f := range d.Faults {
		if f.DataCentre != "" && !slices.Contains(centres, f.DataCentre) {
			r.addProblem("Fault "+f.Name, "DataCentre", f.DataCentre, strings.Join(centres, ", "))
		}
		if f.Service != "" && !slices.Contains(services, f.Service) {
			r.addProblem("Fault "+f.Name, "Service", f.Service, strings.Join(services, ", "))
		}
	}
}

// words splits a value into words, and returns nil if there is none.
func words(value string) []string {
	if value == "" {
		return nil
	}
	return strings.Fields(value)
}
