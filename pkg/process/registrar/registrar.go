// Package registrar writes the configuration to the platform's store.
//
// The configuration is one value that is replaced by compare-and-swap. A
// second, small value, the head, holds the latest differences; instances
// watch the head and not the configuration. A write whose answer was lost is
// resolved by reading the value back. If the operation's identifier is in the
// history, the verdict is Ran. If it isn't, the value is rewritten so that
// the lost write can no longer succeed, and the verdict is NotRun. If the
// store stays unreachable, the verdict is MayHaveRun.
//
// # Usage
//
//	r := registrar.New(client)
//	accepted, err := r.Apply(ctx, registrar.LocalView{Catalogue: held, Newest: newest}, identifier, build)
//	if verdict.Of(err) == verdict.MayHaveRun { ... }
package registrar

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/store"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/service/api"
)

// Keys of the configuration in the platform's store.
const (
	CatalogueKey = "/tanagerweir/catalogue"
	HeadKey      = "/tanagerweir/head"
)

const (
	attempts        = 8                      // compare-and-swaps tried for one operation
	resolveAttempts = 4                      // reads to resolve one lost answer
	resolvePause    = 100 * time.Millisecond // before the second read; doubles after each read
	callTimeout     = 2 * time.Second        // for one call to the store
	sizeLimit       = 1 << 20                // bytes of a stored catalogue
)

// Causes of refusals.
const (
	CausePlatformSilent = "PlatformSilent"
	CauseConflict       = "Conflict"
	CauseStoreBehind    = "StoreBehind"
	CauseRefused        = "Refused"
	CauseTooLarge       = "TooLarge"
)

// keyValue is the part of the store that a registrar uses.
type keyValue interface {
	Get(ctx context.Context, key string) (store.Entry, bool, error)
	Swap(ctx context.Context, key string, expected int64, value []byte, others ...store.Write) (int64, error)
}

// LocalView is what the writing instance knows of accepted configurations.
type LocalView struct {
	// Catalogue is the newest one that the instance holds.
	Catalogue catalogue.Catalogue
	// Newest is the highest version that any instance is known to hold.
	Newest catalogue.Version
}

// Build returns the next catalogue made from the current one, or an error
// that refuses the operation. It may be called several times. A catalogue of
// the same version means that nothing is to be written.
type Build func(current catalogue.Catalogue) (catalogue.Catalogue, error)

// BehindError says that the stored catalogue lacks versions that were
// accepted.
type BehindError struct{ Stored, Known catalogue.Version }

// Error names both versions and what to do.
func (e *BehindError) Error() string {
	return fmt.Sprintf("the store holds version %d, but version %d was accepted; wait until an instance has restored it",
		e.Stored, e.Known)
}

// Registrar writes the configuration. It is safe for use from several
// goroutines.
type Registrar struct{ store keyValue }

// New returns a registrar over the store.
func New(s keyValue) *Registrar { return &Registrar{store: s} }

// Stored returns the stored catalogue and its revision in the store. Both are
// zero if nothing is stored.
func (r *Registrar) Stored(ctx context.Context) (catalogue.Catalogue, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, found, err := r.store.Get(ctx, CatalogueKey)
	if err != nil || !found {
		return catalogue.Catalogue{}, 0, err
	}
	c, err := api.DecodeCatalogue(entry.Value)
	return c, entry.Revision, err
}

// Apply accepts an operation: it builds the next catalogue from the newest
// one and writes it by compare-and-swap. Repeating an operation that was
// accepted returns a catalogue that includes it and writes nothing. An error
// is a *verdict.Error or was returned by build, which means NotRun.
func (r *Registrar) Apply(ctx context.Context, v LocalView, identifier string, build Build) (catalogue.Catalogue, error) {
	for range attempts {
		next, done, err := r.attempt(ctx, v, identifier, build)
		if err != nil {
			return catalogue.Catalogue{}, err
		}
		if done {
			return next, nil
		}
	}
	return catalogue.Catalogue{}, verdict.New(verdict.NotRun, CauseConflict, errors.New("every attempt conflicted with another change; repeat the command"))
}

// attempt makes one compare-and-swap. If it returns neither done nor an
// error, another change came first and this write can no longer take effect.
func (r *Registrar) attempt(ctx context.Context, v LocalView, identifier string, build Build) (next catalogue.Catalogue, done bool, err error) {
	stored, revision, err := r.Stored(ctx)
	if err != nil {
		return next, false, verdict.New(verdict.NotRun, CausePlatformSilent, err)
	}
	current, err := buildBase(stored, v)
	if err != nil {
		return next, false, err
	}
	if _, ok := current.Operation(identifier); ok {
		return current, true, nil
	}
	next, err = build(current)
	if err != nil || next.Version() == current.Version() {
		return next, true, err
	}
	err = r.swap(ctx, revision, next)
	switch {
	case err == nil:
		return next, true, nil
	case verdict.Of(err) == verdict.MayHaveRun:
		return r.resolve(ctx, identifier, revision)
	case errors.Is(err, store.ErrConflict):
		return next, false, nil
	}
	return next, false, err
}

// buildBase returns the catalogue that a change is built from: the newer of
// the stored one and the instance's own. A store that was wiped or restored
// from a copy may hold less than instances do, and what they hold was
// accepted.
func buildBase(stored catalogue.Catalogue, v LocalView) (catalogue.Catalogue, error) {
	current := stored
	if v.Catalogue.Version() > stored.Version() {
		current = v.Catalogue
	}
	if v.Newest > current.Version() {
		behind := &BehindError{Stored: current.Version(), Known: v.Newest}
		return current, verdict.New(verdict.NotRun, CauseStoreBehind, behind)
	}
	return current, nil
}

func (r *Registrar) swap(ctx context.Context, revision int64, next catalogue.Catalogue) error {
	data, err := api.EncodeCatalogue(next)
	if err != nil {
		return verdict.New(verdict.NotRun, CauseRefused, err)
	}
	if len(data) > sizeLimit {
		tooLarge := errors.Errorf("the configuration takes %d bytes, but a stored value may have at most %d", len(data), sizeLimit)
		return verdict.New(verdict.NotRun, CauseTooLarge, tooLarge)
	}
	head, err := EncodeHead(next)
	if err != nil {
		return verdict.New(verdict.NotRun, CauseRefused, err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = r.store.Swap(ctx, CatalogueKey, revision, data, store.Write{Key: HeadKey, Value: head})
	return err
}

// resolve finds out whether a write whose answer was lost took effect. Once
// the revision has changed, the compare of a write still under way fails.
func (r *Registrar) resolve(ctx context.Context, identifier string, revision int64) (catalogue.Catalogue, bool, error) {
	pause := resolvePause
	for range resolveAttempts {
		stored, current, err := r.Stored(ctx)
		switch {
		case err != nil:
		case current != revision:
			_, ran := stored.Operation(identifier)
			return stored, ran, nil
		case r.touch(ctx, stored, revision):
			return stored, false, nil
		}
		if !sleep(ctx, pause) {
			break
		}
		pause *= 2
	}
	unresolved := errors.Errorf("the store doesn't answer; repeat the command with operation %q to find out whether it took effect", identifier)
	return catalogue.Catalogue{}, false, verdict.New(verdict.MayHaveRun, CausePlatformSilent, unresolved)
}

// touch rewrites the stored value unchanged, so that the compare of a write
// still under way fails on the new revision.
func (r *Registrar) touch(ctx context.Context, stored catalogue.Catalogue, revision int64) bool {
	return r.swap(ctx, revision, stored) == nil
}

// Restore writes the instance's catalogue to a store that holds an older one.
func (r *Registrar) Restore(ctx context.Context, held catalogue.Catalogue) error {
	stored, revision, err := r.Stored(ctx)
	if err != nil || stored.Version() >= held.Version() {
		return err
	}
	return r.swap(ctx, revision, held)
}

// JoinHistories accepts the stored configuration again under the next version, so that
// instances that hold another history of the same version adopt it.
func (r *Registrar) JoinHistories(ctx context.Context, held catalogue.Catalogue, at time.Time) error {
	stored, revision, err := r.Stored(ctx)
	if err != nil || stored.Version() != held.Version() || stored.Digest() == held.Digest() {
		return err
	}
	next := stored.WithOperation(catalogue.Operation{
		Identifier: fmt.Sprintf("join-%d-%x-%x", stored.Version(), stored.Digest(), held.Digest()),
		Author:     "tanagerweir",
		Reason:     "two histories of one version met; the stored one stays in force",
		At:         at,
		Summary:    "join histories",
	})
	return r.swap(ctx, revision, next)
}

// MarkIdentifier returns the identifier of the operation that applies an
// emergency mark to the configuration.
func MarkIdentifier(m catalogue.Mark) string {
	return fmt.Sprintf("mark-%s-%d-%s", m.DataCentre, m.Number, m.Identifier)
}

// ApplyMark applies an emergency mark as a change of the configuration. A mark
// that was already applied changes nothing.
func (r *Registrar) ApplyMark(ctx context.Context, v LocalView, m catalogue.Mark) (catalogue.Catalogue, error) {
	identifier := MarkIdentifier(m)
	return r.Apply(ctx, v, identifier, func(current catalogue.Catalogue) (catalogue.Catalogue, error) {
		if current.Reflects(m) {
			return current, nil
		}
		d := catalogue.DataCentre{Name: m.DataCentre, State: m.State, Mark: m.Number}
		o := catalogue.Operation{Identifier: identifier, Author: m.Author, Reason: m.Reason, At: m.At}
		return current.Apply(o, []catalogue.Change{catalogue.PutDataCentre{DataCentre: d}})
	})
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
