package instance

import (
	"context"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/reconciler"
	"github.com/tanagerweir/tanagerweir/pkg/version/watcher"
)

const (
	reconcilePeriod  = 5 * time.Second // between two readings of the list by the holder of the role
	reconcileTimeout = 5 * time.Second // limits one of them
)

// listReconciler writes changes in the platform's list to the configuration while
// this instance holds the reconciler role. Only instances that watch the platform
// try to take the role. Its log part is Registrar.
type listReconciler struct {
	node *Instance
	role *reconciler.Role
}

func newListReconciler(i *Instance) *listReconciler {
	return &listReconciler{node: i, role: reconciler.New(i.store, i.settings.Name)}
}

func (r *listReconciler) run(ctx context.Context) {
	for {
		sleep(ctx, reconcilePeriod)
		if ctx.Err() != nil {
			return
		}
		if err := r.reconcileList(ctx); err != nil {
			r.node.log.Debug("Registrar: updating the configuration from the platform's list failed.", "Error", err)
		}
	}
}

func (r *listReconciler) reconcileList(ctx context.Context) error {
	watching := false
	r.node.platformSync.withCore(func(_ time.Time, c *watcher.Core) { watching = c.Watching() })
	if !watching || r.node.stopping.Load() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	hasRole, err := r.role.AcquireOrRenew(ctx)
	if err != nil || !hasRole {
		return err
	}
	local := newAdmin(r.node).localConfiguration()
	list := r.node.platformSync.readList(ctx)
	if len(reconciler.Plan(local.Catalogue, list)) == 0 {
		return nil
	}
	next, err := r.role.Reconcile(ctx, local, list, r.node.now())
	if err != nil {
		return err
	}
	r.node.log.Info("Registrar: the configuration was updated from the platform's list.", "Version", next.Version())
	r.node.state.offer(next, "the platform's list")
	return nil
}
