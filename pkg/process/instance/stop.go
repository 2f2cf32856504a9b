package instance

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/control"
)

// handoverPollPeriod is the time between two checks whether the handover of flows
// is complete.
const handoverPollPeriod = 100 * time.Millisecond

// Stop makes a planned stop. The instance announces that it is leaving, refuses new
// requests with NotRun, waits for those in flight, writes its counts to the
// platform and waits for the handover of flows. If ctx ends first, the error says
// what was not finished.
func (i *Instance) Stop(ctx context.Context) error {
	i.log.Info("Instance: leaving.")
	i.state.withCore(func(_ time.Time, c *control.Core) { c.Leave() })
	i.stopping.Store(true)
	i.exchange.announceLeave(ctx)
	if err := i.activeRequests.waitIdle(ctx); err != nil {
		return err
	}
	if err := i.servers.drain(ctx, entranceServer); err != nil {
		return err
	}
	i.log.Info("Instance: nothing is in flight any more.")
	if err := i.archiver.addRemaining(ctx); err != nil {
		i.log.Warn("Instance: writing the last counts to the platform failed.", "Error", err)
	}
	return i.awaitHandover(ctx)
}

// awaitHandover waits until the peers find the owner of every flow without this
// instance.
func (i *Instance) awaitHandover(ctx context.Context) error {
	ticker := time.NewTicker(handoverPollPeriod)
	defer ticker.Stop()
	for !i.packets.handedOver.Load() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "the handover is not complete: flows that only this instance has recorded may break")
		}
	}
	i.log.Info("Instance: all flows are handed over.")
	return nil
}
