// Package reconciler applies the platform's list of backend servers to the
// configuration, on the one instance that holds a leased role.
//
// An instance holds the role by a claim under a lease in the platform's
// store, so only one holds it at a time. Every write requires that the
// writer's claim still exists; a holder that was paused beyond its lease
// therefore writes nothing. Plan alone decides what is written, from the
// configuration and the list.
//
// # Usage
//
//	role := reconciler.New(client, "entry-1")
//	held, err := role.AcquireOrRenew(ctx)
//	if held {
//		next, err := role.Reconcile(ctx, local, list, now)
//	}
package reconciler

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/listing"
	"github.com/tanagerweir/tanagerweir/pkg/process/registrar"
	"github.com/tanagerweir/tanagerweir/pkg/process/store"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// ClaimKey is the key of the holder's claim in the platform's store.
const ClaimKey = "/tanagerweir/reconciler"

// LeaseFor is how long a holder keeps the role without renewing it.
const LeaseFor = 15 * time.Second

// Plan returns the changes that apply the list to the configuration: new
// endpoints of backend servers that moved, and the state Leaving where the
// list has it. A server that was leaving becomes active again only at new
// endpoints, which show that it restarted. A server that the list lacks stays
// as it is, since the list lags.
func Plan(current catalogue.Catalogue, list []listing.Entry) []catalogue.Change {
	var changes []catalogue.Change
	for _, b := range current.Backends() {
		e, ok := listing.Find(list, b.Name)
		if !ok || e.Kind != listing.BackendServer {
			continue
		}
		if next := withEntry(b, e); next != b {
			changes = append(changes, catalogue.PutBackend{Backend: next})
		}
	}
	return changes
}

// withEntry returns b with the endpoints, slots and state that its list entry
// e asks for.
func withEntry(b catalogue.Backend, e listing.Entry) catalogue.Backend {
	moved := b.Packets != e.Packets || b.Requests != e.Requests
	b.DataCentre, b.Packets, b.Requests, b.Slots = e.DataCentre, e.Packets, e.Requests, e.Slots
	switch {
	case e.State == listing.Leaving:
		b.State = catalogue.BackendLeaving
	case moved:
		b.State = catalogue.BackendActive
	}
	return b
}

// Role is one instance's claim on the role, held or not. It may be used from
// one goroutine only.
type Role struct {
	client *store.Client
	name   string
	lease  store.LeaseID
	// fence identifies the claim in the store; zero means that the role isn't
	// held.
	fence int64
}

// New returns the role for the named instance, which doesn't hold it yet.
func New(client *store.Client, name string) *Role { return &Role{client: client, name: name} }

// AcquireOrRenew renews the role or tries to acquire it, and reports whether the
// instance holds it now.
func (r *Role) AcquireOrRenew(ctx context.Context) (bool, error) {
	if r.fence != 0 {
		kept, err := r.client.KeepAlive(ctx, r.lease)
		if err != nil {
			return false, err
		}
		if kept {
			return true, nil
		}
		r.fence = 0
	}
	return r.claim(ctx)
}

// claim acquires the role if nobody holds it.
func (r *Role) claim(ctx context.Context) (bool, error) {
	if _, held, err := r.client.Get(ctx, ClaimKey); err != nil || held {
		return false, err
	}
	lease, err := r.client.Grant(ctx, LeaseFor)
	if err != nil {
		return false, err
	}
	fence, err := r.client.Claim(ctx, ClaimKey, []byte(r.name), lease)
	if errors.Is(err, store.ErrConflict) {
		return false, r.client.Revoke(ctx, lease)
	}
	if err != nil {
		return false, err
	}
	r.lease, r.fence = lease, fence
	return true, nil
}

// Reconcile writes the changes that Plan returns and returns the catalogue
// that includes them. An error has a verdict; NotRun with a conflict means
// that the role was lost or that other changes came first.
func (r *Role) Reconcile(ctx context.Context, v registrar.LocalView, list []listing.Entry, now time.Time) (catalogue.Catalogue, error) {
	identifier := fmt.Sprintf("reconcile-%d-%d", r.fence, now.UnixNano())
	writer := registrar.New(fencedStore{Client: r.client, fence: r.fence})
	return writer.Apply(ctx, v, identifier, func(current catalogue.Catalogue) (catalogue.Catalogue, error) {
		changes := Plan(current, list)
		if len(changes) == 0 {
			return current, nil
		}
		o := catalogue.Operation{Identifier: identifier, Author: r.name, Reason: "the platform's list", At: now}
		return current.Apply(o, changes)
	})
}

// fencedStore is the store as a holder writes to it: every write requires the
// holder's claim.
type fencedStore struct {
	*store.Client
	fence int64
}

// Swap writes as Client.Swap does, if the claim still exists.
func (f fencedStore) Swap(ctx context.Context, key string, expected int64, value []byte, others ...store.Write) (int64, error) {
	return f.SwapFenced(ctx, key, expected, value, ClaimKey, f.fence, others...)
}
