package forwarding

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
)

// view is what this instance's flows tell of a backend server.
type view struct {
	open    int
	running int
}

func (w *view) suspect(time.Duration) bool { return false }

func (w *view) doubt(time.Duration) float64 { return 0 }

func (c *Core) placed(_ time.Duration, f *flow, v *server) {
	for i := range f.tries {
		if f.tries[i] == nil {
			f.tries[i] = v
			return
		}
	}
}

func (c *Core) observe(_ time.Duration, s segment.Segment, v *server) {}
