package api

// This file converts between the wire types and the types of the core packages,
// which don't depend on the wire types.

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/archive"
	"github.com/tanagerweir/tanagerweir/pkg/process/condition"
	"github.com/tanagerweir/tanagerweir/pkg/process/roster"
	"github.com/tanagerweir/tanagerweir/pkg/request/budget"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/health"
)

// CatalogueToWire converts a catalogue.
func CatalogueToWire(c catalogue.Catalogue) *Catalogue {
	p := c.Parts()
	return partsToWire(p)
}

func partsToWire(p catalogue.Parts) *Catalogue {
	w := &Catalogue{Version: uint64(p.Version), Horizon: uint64(p.Horizon)}
	for _, s := range p.Services {
		w.Services = append(w.Services, ServiceToWire(s))
	}
	for _, l := range p.Classes {
		w.Classes = append(w.Classes, ClassToWire(l))
	}
	for _, b := range p.Backends {
		w.Backends = append(w.Backends, BackendToWire(b))
	}
	for _, d := range p.DataCentres {
		w.DataCentres = append(w.DataCentres, DataCentreToWire(d))
	}
	for _, o := range p.History {
		w.History = append(w.History, OperationToWire(o))
	}
	for _, r := range p.Removals {
		w.Removals = append(w.Removals, removalToWire(r))
	}
	return w
}

// CatalogueFromWire converts a catalogue. It fails on an address that can't
// be parsed.
func CatalogueFromWire(w *Catalogue) (catalogue.Catalogue, error) {
	p, err := partsFromWire(w)
	if err != nil {
		return catalogue.Catalogue{}, err
	}
	return catalogue.FromParts(p), nil
}

func partsFromWire(w *Catalogue) (catalogue.Parts, error) {
	p := catalogue.Parts{Version: catalogue.Version(w.GetVersion()), Horizon: catalogue.Version(w.GetHorizon())}
	for _, s := range w.GetServices() {
		converted, err := ServiceFromWire(s)
		if err != nil {
			return p, err
		}
		p.Services = append(p.Services, converted)
	}
	for _, l := range w.GetClasses() {
		p.Classes = append(p.Classes, ClassFromWire(l))
	}
	for _, b := range w.GetBackends() {
		converted, err := BackendFromWire(b)
		if err != nil {
			return p, err
		}
		p.Backends = append(p.Backends, converted)
	}
	for _, d := range w.GetDataCentres() {
		p.DataCentres = append(p.DataCentres, DataCentreFromWire(d))
	}
	for _, o := range w.GetHistory() {
		p.History = append(p.History, OperationFromWire(o))
	}
	for _, r := range w.GetRemovals() {
		converted, err := removalFromWire(r)
		if err != nil {
			return p, err
		}
		p.Removals = append(p.Removals, converted)
	}
	return p, nil
}

// ServiceToWire converts a service.
func ServiceToWire(s catalogue.Service) *Service {
	return &Service{Name: s.Name, Address: addressToWire(s.Address), Protocol: protocolToWire(s.Protocol), Changed: uint64(s.Changed)}
}

// ServiceFromWire converts a service. An empty address becomes the invalid
// address; one that can't be parsed is an error.
func ServiceFromWire(w *Service) (catalogue.Service, error) {
	address, err := addressFromWire(w.GetAddress())
	if err != nil {
		return catalogue.Service{}, errors.Wrapf(err, "service %q", w.GetName())
	}
	return catalogue.Service{
		Name:     w.GetName(),
		Address:  address,
		Protocol: protocolFromWire(w.GetProtocol()),
		Changed:  catalogue.Version(w.GetChanged()),
	}, nil
}

// ClassToWire converts a class of work.
func ClassToWire(l catalogue.Class) *Class {
	return &Class{
		Name:       l.Name,
		Service:    l.Service,
		Repeatable: l.Repeatable,
		Changed:    uint64(l.Changed),
		Target: &Target{
			Share:              l.Target.Share,
			WithinMilliseconds: l.Target.Within.Milliseconds(),
			WindowSeconds:      int64(l.Target.Window / time.Second),
			FlowShare:          l.Target.FlowShare,
		},
	}
}

// ClassFromWire converts a class of work.
func ClassFromWire(w *Class) catalogue.Class {
	t := w.GetTarget()
	return catalogue.Class{
		Name:       w.GetName(),
		Service:    w.GetService(),
		Repeatable: w.GetRepeatable(),
		Changed:    catalogue.Version(w.GetChanged()),
		Target: catalogue.Target{
			Share:     t.GetShare(),
			Within:    time.Duration(t.GetWithinMilliseconds()) * time.Millisecond,
			Window:    time.Duration(t.GetWindowSeconds()) * time.Second,
			FlowShare: t.GetFlowShare(),
		},
	}
}

// BackendToWire converts a backend server.
func BackendToWire(b catalogue.Backend) *Backend {
	return &Backend{
		Name:       b.Name,
		Service:    b.Service,
		DataCentre: b.DataCentre,
		Packets:    addressToWire(b.Packets),
		Requests:   addressToWire(b.Requests),
		Slots:      b.Slots,
		State:      BackendState(b.State),
		Changed:    uint64(b.Changed),
	}
}

// BackendFromWire converts a backend server. An empty address becomes the
// invalid address; one that can't be parsed is an error.
func BackendFromWire(w *Backend) (catalogue.Backend, error) {
	packets, err := addressFromWire(w.GetPackets())
	if err != nil {
		return catalogue.Backend{}, errors.Wrapf(err, "backend %q", w.GetName())
	}
	requests, err := addressFromWire(w.GetRequests())
	if err != nil {
		return catalogue.Backend{}, errors.Wrapf(err, "backend %q", w.GetName())
	}
	return catalogue.Backend{
		Name:       w.GetName(),
		Service:    w.GetService(),
		DataCentre: w.GetDataCentre(),
		Packets:    packets,
		Requests:   requests,
		Slots:      w.GetSlots(),
		State:      catalogue.BackendState(w.GetState()),
		Changed:    catalogue.Version(w.GetChanged()),
	}, nil
}

// DataCentreToWire converts a data centre.
func DataCentreToWire(d catalogue.DataCentre) *DataCentre {
	return &DataCentre{Name: d.Name, State: DataCentreState(d.State), Changed: uint64(d.Changed), Mark: d.Mark}
}

// DataCentreFromWire converts a data centre.
func DataCentreFromWire(w *DataCentre) catalogue.DataCentre {
	return catalogue.DataCentre{
		Name:    w.GetName(),
		State:   catalogue.DataCentreState(w.GetState()),
		Changed: catalogue.Version(w.GetChanged()),
		Mark:    w.GetMark(),
	}
}

// OperationToWire converts an operation.
func OperationToWire(o catalogue.Operation) *Operation {
	return &Operation{
		Identifier:       o.Identifier,
		Version:          uint64(o.Version),
		Author:           o.Author,
		Reason:           o.Reason,
		UnixMilliseconds: o.At.UnixMilli(),
		Summary:          o.Summary,
		Digest:           o.Digest,
	}
}

// OperationFromWire converts an operation.
func OperationFromWire(w *Operation) catalogue.Operation {
	return catalogue.Operation{
		Identifier: w.GetIdentifier(),
		Version:    catalogue.Version(w.GetVersion()),
		Author:     w.GetAuthor(),
		Reason:     w.GetReason(),
		At:         timeFromWire(w.GetUnixMilliseconds()),
		Summary:    w.GetSummary(),
		Digest:     w.GetDigest(),
	}
}

// ChangeFromWire converts one edit of the configuration. It fails if the
// change has no edit or an address can't be parsed.
func ChangeFromWire(w *Change) (catalogue.Change, error) {
	switch edit := w.GetEdit().(type) {
	case *Change_PutService:
		s, err := ServiceFromWire(edit.PutService)
		return catalogue.PutService{Service: s}, err
	case *Change_RemoveService:
		return catalogue.RemoveService{Name: edit.RemoveService}, nil
	case *Change_PutClass:
		return catalogue.PutClass{Class: ClassFromWire(edit.PutClass)}, nil
	case *Change_RemoveClass:
		return catalogue.RemoveClass{Name: edit.RemoveClass}, nil
	case *Change_PutBackend:
		b, err := BackendFromWire(edit.PutBackend)
		return catalogue.PutBackend{Backend: b}, err
	case *Change_RemoveBackend:
		return catalogue.RemoveBackend{Name: edit.RemoveBackend}, nil
	case *Change_PutDataCentre:
		return catalogue.PutDataCentre{DataCentre: DataCentreFromWire(edit.PutDataCentre)}, nil
	}
	return nil, errors.New("the change has no edit")
}

// VerdictToWire converts a verdict; any but NotRun and Ran becomes
// VERDICT_MAY_HAVE_RUN.
func VerdictToWire(v verdict.Verdict) Verdict {
	switch v {
	case verdict.NotRun:
		return Verdict_VERDICT_NOT_RUN
	case verdict.Ran:
		return Verdict_VERDICT_RAN
	}
	return Verdict_VERDICT_MAY_HAVE_RUN
}

// VerdictFromWire converts a verdict; any but VERDICT_NOT_RUN and VERDICT_RAN
// becomes MayHaveRun.
func VerdictFromWire(w Verdict) verdict.Verdict {
	switch w {
	case Verdict_VERDICT_NOT_RUN:
		return verdict.NotRun
	case Verdict_VERDICT_RAN:
		return verdict.Ran
	}
	return verdict.MayHaveRun
}

// MemberToWire converts the record of a member of the roster.
func MemberToWire(m roster.Member) *Member {
	return &Member{
		Name:        m.Name,
		DataCentre:  m.DataCentre,
		Incarnation: m.Incarnation,
		Heartbeat:   m.Heartbeat,
		Version:     uint64(m.Version),
		Leaving:     m.Leaving,
		Peer:        addressToWire(m.Peer),
		Passed:      addressToWire(m.Passed),
		Admin:       addressToWire(m.Admin),
		Health:      uint32(m.Health),
	}
}

// RosterToWire converts a roster message, by which instances exchange which
// of them are alive.
func RosterToWire(m roster.Message) *Roster {
	return &Roster{
		From:    MemberToWire(m.From),
		View:    m.ViewDigest,
		Known:   uint32(m.KnownMembers),
		Members: MembersToWire(m.Members),
	}
}

// RosterFromWire converts a roster message. It fails on an address that can't
// be parsed.
func RosterFromWire(w *Roster) (roster.Message, error) {
	from, err := MemberFromWire(w.GetFrom())
	if err != nil {
		return roster.Message{}, err
	}
	members, err := MembersFromWire(w.GetMembers())
	if err != nil {
		return roster.Message{}, err
	}
	return roster.Message{From: from, ViewDigest: w.GetView(), KnownMembers: int(w.GetKnown()), Members: members}, nil
}

// MemberFromWire converts the record of a member of the roster. An unknown
// health becomes Dead; an address that can't be parsed is an error.
func MemberFromWire(w *Member) (roster.Member, error) {
	peer, err := addressFromWire(w.GetPeer())
	if err != nil {
		return roster.Member{}, errors.Wrapf(err, "member %q", w.GetName())
	}
	passed, err := addressFromWire(w.GetPassed())
	if err != nil {
		return roster.Member{}, errors.Wrapf(err, "member %q", w.GetName())
	}
	admin, err := addressFromWire(w.GetAdmin())
	if err != nil {
		return roster.Member{}, errors.Wrapf(err, "member %q", w.GetName())
	}
	return roster.Member{
		Name:        w.GetName(),
		DataCentre:  w.GetDataCentre(),
		Incarnation: w.GetIncarnation(),
		Heartbeat:   w.GetHeartbeat(),
		Version:     catalogue.Version(w.GetVersion()),
		Leaving:     w.GetLeaving(),
		Peer:        peer,
		Passed:      passed,
		Admin:       admin,
		Health:      roster.Health(min(w.GetHealth(), uint32(roster.Dead))),
	}, nil
}

// MarksToWire converts the conditions of backend servers.
func MarksToWire(marks []condition.Mark) []*Mark {
	wire := make([]*Mark, 0, len(marks))
	for _, m := range marks {
		wire = append(wire, &Mark{
			Backend:               m.Backend,
			State:                 uint32(m.State),
			SinceUnixMilliseconds: m.Since.UnixMilli(),
			Sequence:              m.Sequence,
		})
	}
	return wire
}

// MarksFromWire converts the conditions of backend servers.
func MarksFromWire(wire []*Mark) []condition.Mark {
	marks := make([]condition.Mark, 0, len(wire))
	for _, w := range wire {
		marks = append(marks, condition.Mark{
			Backend:  w.GetBackend(),
			State:    health.State(w.GetState()),
			Since:    time.UnixMilli(w.GetSinceUnixMilliseconds()).UTC(),
			Sequence: w.GetSequence(),
		})
	}
	return marks
}

// MembersToWire converts records of members of the roster.
func MembersToWire(members []roster.Member) []*Member {
	wire := make([]*Member, 0, len(members))
	for _, m := range members {
		wire = append(wire, MemberToWire(m))
	}
	return wire
}

// MembersFromWire converts records of members of the roster. It fails on an
// address that can't be parsed.
func MembersFromWire(wire []*Member) ([]roster.Member, error) {
	members := make([]roster.Member, 0, len(wire))
	for _, w := range wire {
		m, err := MemberFromWire(w)
		if err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	return members, nil
}

// SeriesToWire converts the counts of one class's requests or flows.
func SeriesToWire(s budget.Series) []*Interval {
	intervals := make([]*Interval, 0, len(s))
	for _, i := range s {
		w := &Interval{StartUnixSeconds: i.Start.Unix(), Good: i.Counts[budget.Good]}
		for _, cause := range budget.BadCauses(i.Counts) {
			w.Bad = append(w.Bad, &CauseCount{Cause: string(cause), Count: i.Counts[cause]})
		}
		intervals = append(intervals, w)
	}
	return intervals
}

// SeriesFromWire converts the counts of one class's requests or flows.
func SeriesFromWire(intervals []*Interval) budget.Series {
	s := make(budget.Series, 0, len(intervals))
	for _, w := range intervals {
		i := budget.Interval{Start: time.Unix(w.GetStartUnixSeconds(), 0).UTC(), Counts: make(map[budget.Cause]uint64)}
		if w.GetGood() > 0 {
			i.Counts[budget.Good] = w.GetGood()
		}
		for _, bad := range w.GetBad() {
			i.Counts[budget.Cause(bad.GetCause())] = bad.GetCount()
		}
		s = append(s, i)
	}
	return s
}

// totalsToWire converts counts by cause, the good ones included, sorted by
// cause.
func totalsToWire(counts map[budget.Cause]uint64) []*CauseCount {
	var wire []*CauseCount
	for _, cause := range slices.Sorted(maps.Keys(counts)) {
		wire = append(wire, &CauseCount{Cause: string(cause), Count: counts[cause]})
	}
	return wire
}

func totalsFromWire(wire []*CauseCount) map[budget.Cause]uint64 {
	counts := make(map[budget.Cause]uint64, len(wire))
	for _, w := range wire {
		counts[budget.Cause(w.GetCause())] += w.GetCount()
	}
	return counts
}

// HourToWire converts the counts of one hour.
func HourToWire(h archive.Hour) *HourCounts {
	w := &HourCounts{StartUnixSeconds: h.Start.Unix(), Contributors: h.Contributors}
	for _, class := range slices.Sorted(maps.Keys(h.Classes)) {
		t := h.Classes[class]
		w.Classes = append(w.Classes, &ClassTotals{
			Class: class, Requests: totalsToWire(t.Requests), Flows: totalsToWire(t.Flows),
		})
	}
	return w
}

// HourFromWire converts the counts of one hour.
func HourFromWire(w *HourCounts) archive.Hour {
	h := archive.Hour{
		Start:        time.Unix(w.GetStartUnixSeconds(), 0).UTC(),
		Classes:      make(map[string]archive.Totals, len(w.GetClasses())),
		Contributors: w.GetContributors(),
	}
	for _, c := range w.GetClasses() {
		h.Classes[c.GetClass()] = archive.Totals{
			Requests: totalsFromWire(c.GetRequests()), Flows: totalsFromWire(c.GetFlows()),
		}
	}
	return h
}

func protocolToWire(p catalogue.Protocol) Protocol {
	if p == catalogue.UDP {
		return Protocol_PROTOCOL_UDP
	}
	return Protocol_PROTOCOL_TCP
}

func protocolFromWire(w Protocol) catalogue.Protocol {
	if w == Protocol_PROTOCOL_UDP {
		return catalogue.UDP
	}
	return catalogue.TCP
}

func addressToWire(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func addressFromWire(address string) (netip.AddrPort, error) {
	if address == "" {
		return netip.AddrPort{}, nil
	}
	return netip.ParseAddrPort(address)
}

func timeFromWire(milliseconds int64) time.Time { return time.UnixMilli(milliseconds).UTC() }
