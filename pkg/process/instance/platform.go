package instance

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/control"
	"github.com/tanagerweir/tanagerweir/pkg/process/listing"
	"github.com/tanagerweir/tanagerweir/pkg/process/registrar"
	"github.com/tanagerweir/tanagerweir/pkg/process/store"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/gossip"
	"github.com/tanagerweir/tanagerweir/pkg/version/watcher"
)

const (
	watchRetryPause = 1 * time.Second        // before a watch that failed is opened again
	maxPollPause    = 250 * time.Millisecond // longest time between two checks of what is due
	callTimeout     = 2 * time.Second        // limits one call to the platform
	repairTimeout   = 5 * time.Second        // limits writing back what the platform lost
)

// platformSync follows the configuration and the list of instances in the
// platform's store. The watcher core decides when to read what. Its log part is
// Keeper.
type platformSync struct {
	node   *Instance
	reopen chan struct{}

	mu   sync.Mutex
	core *watcher.Core

	listMu   sync.Mutex
	follower *listing.Follower
}

func newPlatformSync(i *Instance, o Options) *platformSync {
	self := watcher.Instance{Name: i.settings.Name, DataCentre: i.settings.DataCentre}
	return &platformSync{
		node:     i,
		reopen:   make(chan struct{}, 1),
		core:     watcher.New(self, o.Incarnation),
		follower: listing.NewFollower(i.store),
	}
}

func (p *platformSync) withCore(f func(now time.Time, c *watcher.Core)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.node.now(), p.core)
}

// runPolls reads the head and the list whenever the watcher core says that they
// are due.
func (p *platformSync) runPolls(ctx context.Context) {
	for ctx.Err() == nil {
		instances := p.aliveInstances()
		empty := p.node.state.accepted().Version() == 0
		var d watcher.Tasks
		p.withCore(func(now time.Time, c *watcher.Core) {
			c.SetFleet(now, instances)
			d = c.Due(now, empty)
		})
		if d.Poll {
			p.pollHead(ctx)
		}
		if d.List {
			p.readList(ctx)
		}
		p.waitNextPoll(ctx)
	}
}

func (p *platformSync) aliveInstances() []watcher.Instance {
	var instances []watcher.Instance
	for _, m := range p.node.state.alive() {
		instances = append(instances, watcher.Instance{Name: m.Name, DataCentre: m.DataCentre})
	}
	return instances
}

func (p *platformSync) waitNextPoll(ctx context.Context) {
	var wait time.Duration
	p.withCore(func(now time.Time, c *watcher.Core) { wait = c.Next().Sub(now) })
	sleep(ctx, min(max(wait, time.Millisecond), maxPollPause))
}

// pollHead reads the head if its revision differs from the one last read, or if
// the store has none although this instance holds a configuration.
func (p *platformSync) pollHead(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := p.node.store.KeyRevision(limited, registrar.HeadKey)
	if err != nil {
		p.withCore(func(_ time.Time, c *watcher.Core) { c.Failed() })
		p.node.log.Debug("Keeper: the platform is not answering.", "Error", err)
		return
	}
	var read, reopen, watching bool
	p.withCore(func(now time.Time, c *watcher.Core) {
		read, reopen = c.Polled(now, revision)
		watching = c.Watching()
	})
	if reopen {
		p.node.log.Warn("Keeper: the watch on the configuration stopped delivering changes; opening another.")
		p.reopenWatch()
	}
	if read || revision == 0 && p.node.state.accepted().Version() > 0 {
		p.readHead(ctx)
	}
	if watching {
		p.applyMarks(ctx)
	}
}

// reopenWatch ends the open watch, so that runWatch opens another. It never
// blocks.
func (p *platformSync) reopenWatch() {
	select {
	case p.reopen <- struct{}{}:
	default:
	}
}

func (p *platformSync) readHead(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, _, err := p.node.store.Get(limited, registrar.HeadKey)
	if err != nil {
		p.withCore(func(_ time.Time, c *watcher.Core) { c.Failed() })
		return
	}
	if p.reconcileHead(ctx, entry) {
		p.withCore(func(_ time.Time, c *watcher.Core) { c.Read(entry.Revision) })
	}
}

// reconcileHead compares the stored head with the configuration that this instance
// holds, and adopts the stored one or repairs the store. It returns false if that
// has to be tried again.
func (p *platformSync) reconcileHead(ctx context.Context, entry store.Entry) bool {
	head, err := registrar.DecodeHead(entry.Value)
	if err != nil {
		p.node.log.Error("Keeper: the stored configuration can't be read.", "Error", err)
		return true
	}
	held := p.node.state.accepted()
	switch watcher.Compare(gossip.Digest{Version: held.Version(), History: held.Digest()}, head.Digest) {
	case watcher.Adopt:
		return p.adopt(ctx, head)
	case watcher.Restore:
		return p.repair(ctx, func(ctx context.Context) error { return p.node.registrar.Restore(ctx, held) })
	case watcher.Join:
		return p.repair(ctx, func(ctx context.Context) error { return p.node.registrar.JoinHistories(ctx, held, p.node.now()) })
	case watcher.Nothing:
	}
	return true
}

func (p *platformSync) adopt(ctx context.Context, head registrar.Head) bool {
	p.node.state.update("platform", func(now time.Time, c *control.Core) bool {
		return c.ApplyUpdate(now, "platform", head.Update)
	})
	if p.node.state.accepted().Version() >= head.Digest.Version {
		return true
	}
	c, _, err := p.node.registrar.Stored(ctx)
	if err != nil {
		return false
	}
	p.node.state.offer(c, "platform")
	return true
}

// repair writes back what the platform lost, or joins histories that diverged. It
// returns false if the head has to be read again. Only watching instances repair.
func (p *platformSync) repair(ctx context.Context, write func(ctx context.Context) error) bool {
	watching := false
	p.withCore(func(_ time.Time, c *watcher.Core) { watching = c.Watching() })
	if !watching {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	if err := write(ctx); err != nil {
		p.node.log.Warn("Keeper: the platform lost an accepted configuration; writing it back failed.", "Error", err)
		return false
	}
	p.node.log.Warn("Keeper: the platform had lost an accepted configuration; it was written back.")
	return false
}

// applyMarks records emergency marks as changes of the configuration in the
// platform.
func (p *platformSync) applyMarks(ctx context.Context) {
	var marks []catalogue.Mark
	var local registrar.LocalView
	p.node.state.withCore(func(_ time.Time, c *control.Core) {
		marks = c.EmergencyMarks()
		local = registrar.LocalView{Catalogue: c.Accepted(), Newest: c.NewestKnown()}
	})
	if local.Catalogue.Version() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	for _, m := range marks {
		next, err := p.node.registrar.ApplyMark(ctx, local, m)
		if err != nil {
			p.node.log.Debug("Keeper: an emergency mark couldn't be recorded in the platform yet.", "DataCentre", m.DataCentre, "Error", err)
			continue
		}
		p.node.state.offer(next, "emergency mark")
	}
}

// runWatch keeps a watch on the head open while the watcher core says that this
// instance watches.
func (p *platformSync) runWatch(ctx context.Context) {
	for ctx.Err() == nil {
		watching := false
		var revision int64
		p.withCore(func(_ time.Time, c *watcher.Core) {
			watching, revision = c.Watching(), c.LastRead()
			if watching {
				c.Opened(revision)
			}
		})
		if !watching {
			sleep(ctx, watchRetryPause)
			continue
		}
		if err := p.watchHead(ctx, revision); err != nil && !errors.Is(err, context.Canceled) {
			p.node.log.Debug("Keeper: the watch on the configuration ended.", "Error", err)
			sleep(ctx, watchRetryPause)
		}
	}
}

func (p *platformSync) watchHead(ctx context.Context, revision int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.node.tasks.Go(func() { p.waitReopen(ctx, cancel) })
	return p.node.store.Watch(ctx, registrar.HeadKey, revision+1, func(e store.Event) {
		if e.Deleted {
			return
		}
		p.withCore(func(_ time.Time, c *watcher.Core) { c.Delivered(e.Entry.Revision) })
		if !p.reconcileHead(ctx, e.Entry) {
			p.withCore(func(_ time.Time, c *watcher.Core) { c.Read(0) })
		}
	})
}

// waitReopen ends the watch when reopenWatch is called.
func (p *platformSync) waitReopen(ctx context.Context, end context.CancelFunc) {
	select {
	case <-ctx.Done():
	case <-p.reopen:
		end()
	}
}

func (p *platformSync) readList(ctx context.Context) []listing.Entry {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := p.follower.Read(ctx)
	if err != nil {
		p.node.log.Debug("Keeper: the platform's list can't be read.", "Error", err)
		return nil
	}
	p.node.state.withCore(func(now time.Time, c *control.Core) { c.SetList(now, entries) })
	return entries
}

// listOrLast reads the list. If that fails it returns the list that was last read.
func (p *platformSync) listOrLast(ctx context.Context) []listing.Entry {
	if entries := p.readList(ctx); entries != nil {
		return entries
	}
	var entries []listing.Entry
	p.node.state.withCore(func(_ time.Time, c *control.Core) { entries = c.ListEntries() })
	return entries
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
