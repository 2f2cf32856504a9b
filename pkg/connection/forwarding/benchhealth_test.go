package forwarding_test

import (
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
)

// BenchmarkRequest sends requests in an open flow and acknowledges their answers. It shows
// what the observation of health costs for packets that it looks at.
func BenchmarkRequest(b *testing.B) {
	bySize(b, func(b *testing.B, c *forwarding.Core) {
		p := newCaller(routeOf(0))
		p.mark = uint32(c.Decide(0, p.open(0)).Mark)
		c.Decide(time.Millisecond, p.acknowledge())
		now := 2 * time.Millisecond
		b.ReportAllocs()
		for b.Loop() {
			c.Decide(now, p.request())
			now += 10 * time.Millisecond
			c.Decide(now, p.acknowledge())
			if now%(100*time.Millisecond) < 10*time.Millisecond {
				b.StopTimer()
				c.Tick(now, maxFlow)
				b.StartTimer()
			}
		}
	})
}
