package instance

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/certificate"
	"github.com/tanagerweir/tanagerweir/pkg/process/control"
	"github.com/tanagerweir/tanagerweir/pkg/process/listing"
	"github.com/tanagerweir/tanagerweir/pkg/process/registrar"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/service/api"
)

// changeTimeout limits how long the platform may take to accept a change that
// takes a data centre out or in; after it an emergency mark is set instead.
const changeTimeout = 1500 * time.Millisecond

// servicePort is the port of every service address.
const servicePort = 443

// Apply changes the configuration. A change of a data centre's state becomes an
// emergency mark on this instance if the platform doesn't respond in time.
func (a *admin) Apply(ctx context.Context, r *connect.Request[api.ApplyRequest]) (*connect.Response[api.ApplyResponse], error) {
	if r.Msg.GetIdentifier() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the operation has no identifier"))
	}
	r.Msg.Author = authorOf(ctx, r.Msg)
	change := dataCentreChange(r.Msg)
	limited := ctx
	if change != nil && !r.Msg.GetDryRun() {
		var cancel context.CancelFunc
		limited, cancel = context.WithTimeout(ctx, changeTimeout)
		defer cancel()
	}
	next, err := a.applyToPlatform(limited, r.Msg)
	if err != nil && change != nil && !r.Msg.GetDryRun() && isPlatformUnavailable(err) {
		if m, ok := a.setEmergencyMark(r.Msg, change); ok {
			return connect.NewResponse(&api.ApplyResponse{
				Verdict: api.Verdict_VERDICT_RAN,
				Version: uint64(a.node.state.version()),
				Mark:    m,
			}), nil
		}
	}
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&api.ApplyResponse{
		Verdict:   api.Verdict_VERDICT_RAN,
		Version:   uint64(next.Version()),
		Catalogue: api.CatalogueToWire(next),
	}), nil
}

// authorOf returns the name in the caller's certificate; without a certificate it
// returns the author that the request names.
func authorOf(ctx context.Context, r *api.ApplyRequest) string {
	if i, ok := certificate.IdentityFrom(ctx); ok {
		return i.Name
	}
	return r.GetAuthor()
}

// dataCentreChange returns the data centre of a request whose only change takes
// that data centre out or in, and nil for any other request.
func dataCentreChange(r *api.ApplyRequest) *api.DataCentre {
	if len(r.GetChanges()) != 1 {
		return nil
	}
	return r.GetChanges()[0].GetPutDataCentre()
}

func isPlatformUnavailable(err error) bool {
	var judged *verdict.Error
	return errors.As(err, &judged) && judged.Cause == registrar.CausePlatformSilent
}

// setEmergencyMark sets an emergency mark on this instance. It returns false if
// the instance doesn't know the data centre.
func (a *admin) setEmergencyMark(r *api.ApplyRequest, change *api.DataCentre) (*api.DataCentreMark, bool) {
	m := catalogue.Mark{
		DataCentre: change.GetName(), State: catalogue.DataCentreState(change.GetState()),
		Identifier: r.GetIdentifier(), Author: r.GetAuthor(), Reason: r.GetReason(), At: a.node.now(),
	}
	known := false
	a.node.state.update("operator", func(now time.Time, c *control.Core) (changed bool) {
		if _, known = c.Current().DataCentre(m.DataCentre); !known {
			return false
		}
		m, changed = c.AddMark(now, m)
		return changed
	})
	if !known {
		return nil, false
	}
	a.node.log.Warn("Configuration: the platform doesn't respond; an emergency mark is in force instead.",
		"DataCentre", m.DataCentre, "State", m.State.String(), "Author", m.Author)
	return api.DataCentreMarksToWire([]catalogue.Mark{m})[0], true
}

// connectError converts an error to one with the Connect code that operators'
// commands act on.
func connectError(err error) error {
	var problems *catalogue.ProblemsError
	var conflict *catalogue.ConflictError
	switch {
	case errors.As(err, &problems):
		return connect.NewError(connect.CodeInvalidArgument, problems)
	case errors.As(err, &conflict):
		return connect.NewError(connect.CodeAborted, conflict)
	case verdict.Of(err) == verdict.MayHaveRun:
		return connect.NewError(connect.CodeUnknown, err)
	}
	var judged *verdict.Error
	if errors.As(err, &judged) && judged.Cause == registrar.CauseConflict {
		return connect.NewError(connect.CodeAborted, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

func (a *admin) applyToPlatform(ctx context.Context, r *api.ApplyRequest) (catalogue.Catalogue, error) {
	list := a.listForBackends(ctx, r)
	var built catalogue.Catalogue
	next, err := a.node.registrar.Apply(ctx, a.localConfiguration(), r.GetIdentifier(), func(current catalogue.Catalogue) (catalogue.Catalogue, error) {
		var err error
		built, err = a.buildCatalogue(r, current, list)
		if err == nil && r.GetDryRun() {
			return current, nil
		}
		return built, err
	})
	if err == nil && r.GetDryRun() {
		return built, nil
	}
	if err == nil {
		a.node.state.offer(next, "operator")
	}
	return next, err
}

func (a *admin) localConfiguration() (v registrar.LocalView) {
	a.node.state.withCore(func(_ time.Time, c *control.Core) {
		v = registrar.LocalView{Catalogue: c.Accepted(), Newest: c.NewestKnown()}
	})
	return v
}

// buildCatalogue returns the next catalogue. It fails with a ProblemsError that
// lists all problems at once, or with a ConflictError that lists what others changed.
func (a *admin) buildCatalogue(r *api.ApplyRequest, current catalogue.Catalogue, list []listing.Entry) (catalogue.Catalogue, error) {
	changes, problems := a.convertChanges(r, current, list)
	if expected := r.GetExpectedVersion(); expected != 0 {
		if err := current.Conflicts(catalogue.Version(expected), changes); err != nil {
			return current, err
		}
	}
	o := catalogue.Operation{Identifier: r.GetIdentifier(), Author: r.GetAuthor(), Reason: r.GetReason(), At: a.node.now()}
	next, err := current.Apply(o, changes)
	var found *catalogue.ProblemsError
	if errors.As(err, &found) {
		problems = append(problems, found.List...)
	} else if err != nil {
		return current, err
	}
	if len(problems) > 0 {
		return current, &catalogue.ProblemsError{List: problems}
	}
	return next, nil
}

// convertChanges converts the edits and fills in the fields that operators don't
// set: service addresses, endpoints of backend servers and mark numbers.
func (a *admin) convertChanges(r *api.ApplyRequest, current catalogue.Catalogue, list []listing.Entry) (changes []catalogue.Change, problems []string) {
	confirmed := a.confirmedVersion()
	projected := current
	for _, w := range r.GetChanges() {
		change, err := api.ChangeFromWire(w)
		switch edit := change.(type) {
		case catalogue.PutService:
			edit.Service.Address, err = a.assignAddress(projected, edit.Service, confirmed)
			projected = projected.WithService(edit.Service)
			change = edit
		case catalogue.PutBackend:
			edit.Backend, err = fillFromList(edit.Backend, list)
			change = edit
		case catalogue.PutDataCentre:
			change = a.withNextMark(edit)
		}
		if err != nil {
			problems = append(problems, err.Error())
		}
		if change != nil {
			changes = append(changes, change)
		}
	}
	return changes, problems
}

// withNextMark gives a change of a data centre's state a mark number that
// supersedes the emergency mark that this instance knows.
func (a *admin) withNextMark(edit catalogue.PutDataCentre) catalogue.PutDataCentre {
	a.node.state.withCore(func(_ time.Time, c *control.Core) {
		d, _ := c.Current().DataCentre(edit.DataCentre.Name)
		if d.Mark > 0 {
			edit.DataCentre.Mark = catalogue.NextMark(d.Mark, edit.DataCentre.State)
		}
	})
	return edit
}

// confirmedVersion returns the newest version that every known instance holds,
// 0 if one hasn't reported its version.
func (a *admin) confirmedVersion() (v catalogue.Version) {
	a.node.state.withCore(func(_ time.Time, c *control.Core) { v = c.OldestKnown() })
	return v
}

// assignAddress returns the address of a service: the one it has, or the first
// free one of the pool.
func (a *admin) assignAddress(c catalogue.Catalogue, s catalogue.Service, confirmed catalogue.Version) (netip.AddrPort, error) {
	if existing, ok := c.Service(s.Name); ok {
		return existing.Address, nil
	}
	pool := a.node.settings.Pool
	address, ok := c.FreeAddress(pool, confirmed, a.node.now())
	if !ok {
		return netip.AddrPort{}, errors.Errorf("service %q: the address pool %s is used up, or its free addresses belonged to a removed service until just now", s.Name, pool)
	}
	return netip.AddrPortFrom(address, servicePort), nil
}

// listForBackends returns the platform's list if the request puts backend servers,
// otherwise nil. If it can't be read now, the last list that was read is returned.
func (a *admin) listForBackends(ctx context.Context, r *api.ApplyRequest) []listing.Entry {
	needed := false
	for _, w := range r.GetChanges() {
		needed = needed || w.GetPutBackend() != nil
	}
	if !needed {
		return nil
	}
	return a.node.platformSync.listOrLast(ctx)
}

// fillFromList fills in the data centre, endpoints and slots of a backend server
// from the platform's list.
func fillFromList(b catalogue.Backend, list []listing.Entry) (catalogue.Backend, error) {
	e, ok := listing.Find(list, b.Name)
	if !ok || e.Kind != listing.BackendServer {
		return b, errors.Errorf("backend %q: the platform doesn't list it", b.Name)
	}
	b.DataCentre = e.DataCentre
	b.Packets = e.Packets
	b.Requests = e.Requests
	b.Slots = e.Slots
	if b.State == 0 {
		b.State = catalogue.BackendActive
	}
	return b, nil
}
