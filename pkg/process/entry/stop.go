package entry

import (
	"context"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
)

const (
	// routerDelay is how long routers may still send new flows after the readiness
	// probe begins to fail: probes come twice a second, two of them have to fail,
	// and one may just have succeeded.
	routerDelay = 1600 * time.Millisecond
	// quietPeriod is how long no packet may arrive before the instance ends.
	quietPeriod = 300 * time.Millisecond
	// stopReserve is the part of the grace time that is left when the instance ends
	// although packets still arrive. Of it drainLimit is for those that wait.
	stopReserve = 1500 * time.Millisecond
	// stopPoll is how often a stopping instance checks whether it may end.
	stopPoll = 50 * time.Millisecond
)

// Stop drains the instance: its readiness probe fails, so that routers send new
// packets elsewhere, while it forwards the packets that still arrive. It returns
// when none arrive any more, and at the latest shortly before grace is over, once those
// that were received are forwarded. Flows
// continue at other instances, which find their backend servers by the marks.
func (i *Instance) Stop(grace time.Duration) {
	i.engine.Stop(context.Background(), grace)
	i.drain(context.Background())
}

// Stop drains as Instance.Stop does; it returns early if the context ends.
func (e *Engine) Stop(ctx context.Context, grace time.Duration) {
	e.readiness.setStopping()
	began := e.host.Now()
	e.log.InfoContext(logs.Always(), "Instance: stopping; packets are still forwarded.", "Grace", grace)
	for ctx.Err() == nil {
		e.host.Pause(ctx, stopPoll)
		spent := e.host.Now() - began
		quiet := e.host.Now() - time.Duration(e.decider.lastPacket.Load())
		if spent >= routerDelay && quiet >= quietPeriod || spent >= grace-stopReserve {
			break
		}
	}
	e.log.InfoContext(logs.Always(), "Instance: stopped.", "After", e.host.Now()-began)
}
