package forwarding

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
)

const (
	// maxFlows bounds the flows that are remembered: 4.4 million open flows over
	// 490 instances are 9,000 each, and several times as many after a loss.
	maxFlows = 32768
	// maxTries is how many backend servers an opening packet and its copies reach.
	maxTries = 3
)

// flow is what this instance has seen of a flow.
type flow struct {
	key segment.Flow
	// tries are the backend servers that opening packets went to.
	tries [maxTries]*server
	// at is the backend server that the flow is open at.
	at       *server
	mark     mark.Mark
	seen     time.Duration
	opening  time.Duration
	sent     uint32
	answered uint32
	// waiting says that data was sent and nothing answered since.
	waiting bool
	asked   time.Duration
	repeats int
}

func (f *flow) tried(v *server) bool {
	for _, t := range f.tries {
		if t == v {
			return true
		}
	}
	return false
}

// flows are the remembered flows.
type flows struct {
	byKey map[segment.Flow]*flow
}

func newFlows() flows { return flows{byKey: make(map[segment.Flow]*flow)} }

// opened returns the record of a flow that is being opened.
func (t *flows) opened(now time.Duration, s segment.Segment) *flow {
	f, ok := t.byKey[s.Flow]
	if !ok {
		f = &flow{key: s.Flow, opening: now}
		if len(t.byKey) < maxFlows {
			t.byKey[s.Flow] = f
		}
	}
	f.seen = now
	return f
}
