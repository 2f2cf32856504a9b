package entry

import (
	"context"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
)

const (
	// turnAway is how long routers may still send new flows here after the gate
	// closed: two probes at two a second have to miss, and one may just have
	// succeeded.
	turnAway = 1600 * time.Millisecond
	// quietFor is how long no packet has to come before the instance ends.
	quietFor = 300 * time.Millisecond
	// stopReserve is what remains of the grace time when the instance ends even
	// though packets still come.
	stopReserve = 1500 * time.Millisecond
	// stopPoll is how often the instance looks whether it may end.
	stopPoll = 50 * time.Millisecond
)

// Stop asks routers to turn away and returns when no more packets come. Flows
// go on at other instances, to which their marks say all.
func (i *Instance) Stop(grace time.Duration) { i.duties.Stop(context.Background(), grace) }

// Stop is Instance.Stop for duties.
func (d *Duties) Stop(ctx context.Context, grace time.Duration) {
	d.gate.close()
	began := d.host.Now()
	d.log.InfoContext(logs.Always(), "Instance: stopping, packets are still forwarded.", "Grace", grace)
	for ctx.Err() == nil {
		d.host.Pause(ctx, stopPoll)
		spent := d.host.Now() - began
		quiet := d.host.Now() - time.Duration(d.decider.last.Load())
		if spent >= turnAway && quiet >= quietFor || spent >= grace-stopReserve {
			break
		}
	}
	d.log.InfoContext(logs.Always(), "Instance: stopped.", "After", d.host.Now()-began)
}
