package configuration

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/registrar"
	"github.com/tanagerweir/tanagerweir/pkg/version/gossip"
	"github.com/tanagerweir/tanagerweir/pkg/version/watcher"
)

// callPlatform makes one call on the platform. It calls failed if the call fails,
// and answered if the call succeeds and the instance is alive by then.
func (f *fleet) callPlatform(n *node, answered, failed func()) {
	f.platform.calls++
	if !f.platform.answers(n.dataCentre) {
		f.after(min(platformDelay+f.platform.extraDelay, callTimeout), failed)
		return
	}
	f.after(platformDelay+f.platform.extraDelay, func() {
		if !f.platform.answers(n.dataCentre) {
			failed()
			return
		}
		if n.alive {
			answered()
		}
	})
}

// follow opens a watch, polls the head and reads the list as an instance's
// watcher core decides.
func (f *fleet) follow(n *node) {
	if n.watcher.Watching() && n.watchNumber == 0 && !f.now.Before(n.openAfter) {
		f.openWatch(n)
	}
	if !n.watcher.Watching() {
		n.watchNumber = 0
	}
	due := n.watcher.Due(f.now, n.spreader.Core().Accepted().Version() == 0)
	if due.List {
		f.callPlatform(n, func() {}, func() {})
	}
	if due.Poll {
		f.callPlatform(n, func() { f.polled(n) }, n.watcher.Failed)
	}
}

// polled handles the answer to a poll of the head's revision.
func (f *fleet) polled(n *node) {
	n.controlBytes += exchangeOverhead
	read, reopen := n.watcher.Polled(f.now, f.platform.revision)
	if reopen {
		n.watchNumber = 0
	}
	if read {
		f.callPlatform(n, func() { f.readHead(n, f.platform.revision, f.platform.head) }, n.watcher.Failed)
	}
	if n.watcher.Watching() {
		f.applyMarks(n)
	}
}

// readHead compares a head with an instance's configuration and updates the older
// of the two, as an instance's platform sync does.
func (f *fleet) readHead(n *node, revision int64, data []byte) {
	n.controlBytes += len(data) + exchangeOverhead
	head, err := registrar.DecodeHead(data)
	f.check(err)
	n.watcher.Read(revision)
	switch watcher.Compare(n.spreader.Core().Digest(), head.Digest) {
	case watcher.Adopt:
		f.recordInForce(n, n.spreader.Apply(f.now, head.Update))
		if n.spreader.Core().Accepted().Version() < head.Digest.Version {
			f.callPlatform(n, func() {
				n.controlBytes += f.platform.fullBytes + exchangeOverhead
				f.recordInForce(n, n.spreader.Offer(f.now, f.platform.stored))
			}, func() { n.watcher.Read(0) })
		}
	case watcher.Restore:
		if n.watcher.Watching() && n.spreader.Core().Accepted().Version() > f.platform.stored.Version() {
			f.platform.calls += 2
			f.check(f.platform.write(n.spreader.Core().Accepted()))
			f.notifyWatches()
		}
	case watcher.Join, watcher.Nothing:
	}
}

// openWatch opens a watch that resumes at the revision that was last read. It
// ends at once if that revision is compacted.
func (f *fleet) openWatch(n *node) {
	n.lastWatchNumber++
	number, from := n.lastWatchNumber, n.watcher.LastRead()
	n.watchNumber = number
	n.watcher.Opened(from)
	ended := func() { f.endWatch(n, number) }
	f.callPlatform(n, func() {
		if from < f.platform.compactedRevision {
			ended()
			return
		}
		if f.platform.revision > from {
			f.deliverHead(n, number)
		}
	}, ended)
}

// endWatch ends an instance's watch, unless a newer one has replaced it.
func (f *fleet) endWatch(n *node, number int) {
	if n.watchNumber == number {
		n.watchNumber, n.openAfter = 0, f.now.Add(reopenPause)
	}
}

// notifyWatches delivers the newest head on every open watch.
func (f *fleet) notifyWatches() {
	for _, n := range f.nodes {
		if n.alive && n.watchNumber != 0 {
			f.deliverHead(n, n.watchNumber)
		}
	}
}

// deliverHead delivers the newest head on a watch, unless the watch has ended or
// the platform can't deliver by then.
func (f *fleet) deliverHead(n *node, number int) {
	revision, head := f.platform.revision, f.platform.head
	f.after(platformDelay+f.platform.extraDelay, func() {
		if !n.alive || n.watchNumber != number || f.platform.watchesSilent || f.platform.cutOff[n.dataCentre] || f.platform.down {
			return
		}
		if f.direct {
			f.readCatalogue(n)
			return
		}
		n.watcher.Delivered(revision)
		f.readHead(n, revision, head)
	})
}

// endWatches ends every watch, as an outage or a compaction does.
func (f *fleet) endWatches() {
	for _, n := range f.nodes {
		f.endWatch(n, n.watchNumber)
	}
}

// applyMarks writes the emergency marks that an instance has to the platform, as
// changes of the configuration.
func (f *fleet) applyMarks(n *node) {
	for _, m := range n.spreader.Core().Marks() {
		mark := m
		f.callPlatform(n, func() { f.applyMark(n, mark) }, func() {})
	}
}

// watchDirectly is a tick of the baseline, in which each instance keeps a watch on
// the whole stored value, renews it, and reads the list.
func (f *fleet) watchDirectly(n *node) {
	if !f.now.Before(n.nextListRead) {
		n.nextListRead = f.now.Add(listPeriod)
		f.callPlatform(n, func() {}, func() {})
	}
	if n.watchNumber != 0 || f.now.Before(n.openAfter) {
		return
	}
	n.lastWatchNumber++
	number := n.lastWatchNumber
	n.watchNumber = number
	ended := func() { f.endWatch(n, number) }
	f.callPlatform(n, func() {
		f.readCatalogue(n)
		f.callPlatform(n, func() { f.after(baselineRenewal, func() { f.renewWatch(n, number) }) }, ended)
	}, ended)
}

// renewWatch ends a watch of the baseline so that the next tick opens another.
func (f *fleet) renewWatch(n *node, number int) {
	if n.watchNumber == number {
		n.watchNumber, n.openAfter = 0, time.Time{}
	}
}

// readCatalogue reads the whole stored value, as the baseline does for each change.
func (f *fleet) readCatalogue(n *node) {
	n.controlBytes += f.platform.fullBytes + exchangeOverhead
	var o gossip.Outcome
	if f.platform.stored.Version() > n.spreader.Core().Accepted().Version() {
		o = n.spreader.Offer(f.now, f.platform.stored)
	}
	f.recordInForce(n, o)
}
