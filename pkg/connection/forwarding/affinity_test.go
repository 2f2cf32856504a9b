package forwarding_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/timeline"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// dataCentreLoad is one data centre of instances and servers with short requests, at a
// given part of what the servers can carry.
type dataCentreLoad struct {
	clock           timeline.Timeline
	random          *rand.Rand
	cores           []*forwarding.Core
	queues          map[mark.Mark]*serverQueue
	requests, sheds int
}

// serverQueue is a backend server that runs two requests at once and queues eight.
type serverQueue struct {
	running int
	waiting []func()
}

const (
	loadInstances, loadServers = 22, 40
	loadSlots, loadQueue       = 2, 8
	loadWork                   = 30 * time.Millisecond
	loadDelay                  = 6 * time.Millisecond
)

func newDataCentreLoad(o forwarding.Options) *dataCentreLoad {
	l := &dataCentreLoad{clock: *timeline.New(), random: rand.New(rand.NewPCG(5, 5)), queues: make(map[mark.Mark]*serverQueue)}
	d := configured()
	for n := range loadServers {
		s := serverOf(feedService, near, n+1)
		s.Slots = loadSlots
		d = d.WithServer(s)
		l.queues[mark.Of(s.ID)] = &serverQueue{}
	}
	for n := range loadInstances {
		d = d.WithInstance(directory.Instance{Name: fmt.Sprintf("entry-%02d", n), DataCentre: near, Endpoint: netip.MustParseAddrPort("10.0.0.1:1")})
	}
	for _, i := range d.Instances() {
		o.Name, o.DataCentre, o.Seed = i.Name, near, l.random.Uint64()
		c := forwarding.New(o)
		c.Confirm(0, clock.At(1))
		c.Adopt(0, d)
		l.cores = append(l.cores, c)
	}
	return l
}

// run sends requests at the given part of the servers' capacity for a while.
func (l *dataCentreLoad) run(part float64, length time.Duration) {
	rate := part * loadServers * loadSlots / loadWork.Seconds()
	var next func()
	next = func() {
		if l.clock.Now() < length {
			l.request(l.cores[l.random.IntN(len(l.cores))])
			l.clock.After(time.Duration(l.random.ExpFloat64()/rate*float64(time.Second)), next)
		}
	}
	next()
	for n, c := range l.cores {
		l.every(forwardingTick, length, func() { c.Tick(l.clock.Now(), maxFlow) })
		// One report fits into the messages of each period.
		l.every(reportPeriod, length, func() {
			if to := l.random.IntN(len(l.cores)); to != n {
				l.cores[to].ReceiveLoads(l.clock.Now(), fmt.Sprintf("entry-%02d", n), c.Loads(l.clock.Now()), len(l.cores)-1)
			}
		})
	}
	l.clock.Run(length + time.Second)
}

const forwardingTick, reportPeriod = 100 * time.Millisecond, 250 * time.Millisecond

func (l *dataCentreLoad) every(period, until time.Duration, do func()) {
	if l.clock.Now() < until {
		do()
		l.clock.After(period, func() { l.every(period, until, do) })
	}
}

// request opens a flow, sends its request and finishes the flow after the answer.
func (l *dataCentreLoad) request(c *forwarding.Core) {
	l.requests++
	p := newCaller(feedRoute)
	p.mark = uint32(c.Decide(l.clock.Now(), p.open(0)).Mark)
	l.clock.After(2*loadDelay, func() {
		c.Decide(l.clock.Now(), p.request())
		q := l.queues[p.markNumber()]
		done := func() {
			l.clock.After(loadDelay, func() {
				c.Decide(l.clock.Now(), p.acknowledge())
				c.Decide(l.clock.Now(), p.finish())
			})
		}
		switch {
		case q.running < loadSlots:
			l.work(q, done)
		case len(q.waiting) < loadQueue:
			q.waiting = append(q.waiting, done)
		default:
			l.sheds++
			done()
		}
	})
}

// work runs a request, and then the ones that wait.
func (l *dataCentreLoad) work(q *serverQueue, done func()) {
	q.running++
	const spread = 0.5
	work := time.Duration(float64(loadWork) * math.Exp(spread*l.random.NormFloat64()-spread*spread/2))
	l.clock.After(work, func() {
		q.running--
		done()
		if len(q.waiting) > 0 {
			next := q.waiting[0]
			q.waiting = q.waiting[1:]
			l.work(q, next)
		}
	})
}

// Reports of other instances are older than requests last in a data centre of many
// instances. Ranked by them, servers shed requests while others are idle; instances that
// prefer servers of their own know their load. The load is nearly all that the servers
// can carry.
func TestFewRequestsAreShedNearFullLoadByManyInstances(t *testing.T) {
	const part, length = 0.95, 8 * time.Second
	shedPart := func(o forwarding.Options) float64 {
		l := newDataCentreLoad(o)
		l.run(part, length)
		return float64(l.sheds) / float64(l.requests)
	}
	withoutPreference := func(c placement.Candidate) float64 {
		c.Distance = 0
		return placement.Score(c)
	}
	preferred, shared := shedPart(forwarding.Options{}), shedPart(forwarding.Options{Policy: withoutPreference})
	if preferred > 0.01 {
		t.Errorf("%.4f of the requests were shed, want at most 0.01", preferred)
	}
	if preferred > shared/2 {
		t.Errorf("%.4f of the requests were shed, %.4f without preferred servers", preferred, shared)
	}
	t.Logf("shed: %.4f, without preferred servers %.4f", preferred, shared)
}
