package instance

import (
	"log/slog"
	"sync"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/control"
	"github.com/tanagerweir/tanagerweir/pkg/process/roster"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// state guards the control core, which several goroutines share. The flow core is
// not part of it: that belongs to one goroutine, see packets.
type state struct {
	log      *slog.Logger
	now      func() time.Time
	onUpdate func(catalogue.Catalogue)

	// updateMu is held while the configuration changes and onUpdate runs, so that
	// versions are passed on in order. It is locked before mu.
	updateMu sync.Mutex

	mu   sync.Mutex
	core *control.Core
}

func newState(s settings.Settings, o Options) *state {
	self := roster.Member{
		Name:        s.Name,
		DataCentre:  s.DataCentre,
		Incarnation: o.Incarnation,
		Peer:        s.Peer,
		Passed:      s.Passed,
		Admin:       s.Admin,
	}
	return &state{
		log:      o.Logger,
		now:      o.Now,
		core:     control.New(self, o.Incarnation),
		onUpdate: func(catalogue.Catalogue) {},
	}
}

// withCore calls f with the current time and the control core, under the lock. f
// must not call methods of s.
func (s *state) withCore(f func(now time.Time, c *control.Core)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now(), s.core)
}

// offer puts a catalogue in force if it is newer. from names its source in the
// journal and the log.
func (s *state) offer(c catalogue.Catalogue, from string) {
	s.update(from, func(now time.Time, core *control.Core) bool { return core.Offer(now, c, from) })
}

// update calls f like withCore, and puts the configuration in force if f returns
// that it changed. Versions reach the packet core in order.
func (s *state) update(from string, f func(now time.Time, c *control.Core) bool) {
	s.updateMu.Lock()
	defer s.updateMu.Unlock()
	changed := false
	var next catalogue.Catalogue
	s.withCore(func(now time.Time, c *control.Core) {
		changed = f(now, c)
		next = c.Current()
	})
	if changed {
		s.putInForce(next, from)
	}
}

// applyAnswer applies a peer's answer to an exchange.
func (s *state) applyAnswer(from string, a control.Answer) {
	s.update(from, func(now time.Time, core *control.Core) bool { return core.ApplyAnswer(now, from, a) })
}

func (s *state) putInForce(c catalogue.Catalogue, from string) {
	s.onUpdate(c)
	s.log.Info("Configuration: version in force.", "Version", c.Version(), "From", from)
}

func (s *state) current() (c catalogue.Catalogue) {
	s.withCore(func(_ time.Time, core *control.Core) { c = core.Current() })
	return c
}

// accepted returns the newest catalogue that the platform accepted, without
// emergency marks.
func (s *state) accepted() (c catalogue.Catalogue) {
	s.withCore(func(_ time.Time, core *control.Core) { c = core.Accepted() })
	return c
}

func (s *state) version() catalogue.Version { return s.current().Version() }

// member returns the member of that name.
func (s *state) member(name string) (found roster.Member, ok bool) {
	s.withCore(func(_ time.Time, core *control.Core) {
		for _, m := range core.Members() {
			if m.Name == name {
				found, ok = m, true
			}
		}
	})
	return found, ok
}

func (s *state) alive() (members []roster.Member) {
	s.withCore(func(now time.Time, core *control.Core) { members = core.Alive(now) })
	return members
}
