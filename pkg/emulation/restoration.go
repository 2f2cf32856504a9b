package emulation

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
)

const (
	// copyPeriod is the time between two copies of the store's contents, and keptCopies
	// how many are kept: drawn faults go back by up to 8 s.
	copyPeriod = 250 * time.Millisecond
	keptCopies = 40
	// operatorRewrite is the time until operators write again what a restored store has
	// lost. Backend servers do so with their next heartbeat.
	operatorRewrite = time.Second
)

// storeCopy is a copy of the store's contents, and the time at which it was made.
type storeCopy struct {
	at   time.Duration
	keys Keys
}

// prepareRestorations lets the store send its era and make copies, where the day asks for
// it.
func (w *world) prepareRestorations() {
	if w.day.Store.Eras {
		w.store.keys.SetEra(1)
	}
	if !slices.ContainsFunc(w.day.Faults, func(f day.Fault) bool { return f.Kind == day.StoreRestored }) {
		return
	}
	w.every(copyPeriod, func() {
		s := w.store
		s.copies = append(s.copies, storeCopy{at: w.clock.Now(), keys: s.keys.Copy()})
		s.copies = s.copies[max(len(s.copies)-keptCopies, 0):]
	})
}

func (w *world) storeRestored(f day.Fault) {
	if len(w.store.copies) == 0 {
		return
	}
	from := w.store.copies[0]
	for _, c := range w.store.copies {
		if c.at <= w.clock.Now()-f.For {
			from = c
		}
	}
	if f.HasVariant("Down") {
		w.storeDown(day.Fault{For: f.Gap})
		w.clock.After(f.Gap, func() { w.restoreStore(from.keys) })
	} else {
		w.restoreStore(from.keys)
	}
	if f.HasVariant("Twice") {
		w.clock.After(2*f.Gap, func() { w.restoreStore(from.keys) })
	}
}

// restoreStore restores the store from a copy. Calls and watches that are pending are
// answered from the restored contents. Leases of the copy last for their whole time again.
func (w *world) restoreStore(from Keys) {
	s := w.store
	s.keys = s.keys.Restored(from)
	clear(s.leaseEnds)
	leases := s.keys.Leases()
	for _, lease := range slices.Sorted(maps.Keys(leases)) {
		s.extendLease(lease, leases[lease])
	}
	for _, v := range w.servers {
		v.noticeRestoration()
	}
	w.operator.noticeRestoration()
	s.answerWatches()
}

// noticeRestoration compares the server's entry in the restored store with what it wrote,
// so that the next heartbeat writes again what was lost.
func (v *server) noticeRestoration() {
	w := v.world
	key, _ := w.platform.ServerEntry(v.entry())
	value, exists := w.store.keys.Value(key)
	v.lastWriteAt = w.clock.Now() // heartbeats are counted from the store's return
	if exists == v.hasEntry && bytes.Equal(value, v.writtenValue) {
		return
	}
	v.hasEntry, v.writtenState = exists, ""
	if v.listening && v.leaveKnownAt > 0 && w.clock.Now()-v.leaveKnownAt < w.day.Bounds.Drain {
		// Not every instance can have learnt of it; it is written again.
		v.leaveKnownAt = 0
	}
}

// noticeRestoration writes again what the restored store has lost, after operatorRewrite.
// Bounds on writes that may not have reached all instances are counted from then on.
func (o *operator) noticeRestoration() {
	w := o.world
	again := w.clock.Now() + operatorRewrite
	key, value, err := w.platform.ConfigurationEntry(o.current)
	if err != nil {
		w.fail(err)
		return
	}
	if restored, _ := w.store.keys.Value(key); !bytes.Equal(restored, value) {
		o.rewrittenAt = again
	}
	for centre, since := range o.evacuatedAt {
		if _, kept := w.store.keys.Value(w.platform.EvacuationKey(centre)); !kept && w.clock.Now()-since < w.day.Bounds.Evacuation {
			o.evacuatedAt[centre] = again
		}
	}
	w.clock.At(again, o.rewrite)
}

// rewrite writes what the store lacks of the operators' writes, and deletes what it has in
// excess. While the store is down, it tries again.
func (o *operator) rewrite() {
	w := o.world
	if w.store.down {
		w.clock.After(operatorRetry, o.rewrite)
		return
	}
	key, value, err := w.platform.ConfigurationEntry(o.current)
	if err != nil {
		w.fail(err)
		return
	}
	w.store.change(func(k Keys) {
		if restored, _ := k.Value(key); !bytes.Equal(restored, value) {
			k.Put(key, value)
		}
		for _, c := range w.day.DataCentres {
			evacuation := w.platform.EvacuationKey(c.Name)
			_, out := o.evacuatedAt[c.Name]
			switch _, written := k.Value(evacuation); {
			case out && !written:
				k.Put(evacuation, nil)
			case !out && written:
				k.Delete(evacuation)
			}
		}
	})
}
