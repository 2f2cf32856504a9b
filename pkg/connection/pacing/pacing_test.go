package pacing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/connection/pacing"
)

// packet is a packet of a caller.
type packet struct {
	flow   uint64
	number int
	bytes  int
	sent   time.Duration
}

// link carries packets at its bandwidth and drops those that its buffer can't hold.
type link struct {
	bytesPerSecond float64
	buffer         time.Duration
	freeAt         time.Duration
}

// carry returns how long the packet takes, and false if it is dropped.
func (l *link) carry(now time.Duration, bytes int) (time.Duration, bool) {
	if l.freeAt-now > l.buffer {
		return 0, false
	}
	l.freeAt = max(l.freeAt, now) + time.Duration(float64(bytes)/l.bytesPerSecond*float64(time.Second))
	return l.freeAt - now, true
}

// slowLink returns a link of 2 Mbit/s.
func slowLink() *link { return &link{bytesPerSecond: 250e3, buffer: 50 * time.Millisecond} }

const (
	requestBytes = 400
	uploadFlow   = 1 << 20
	step         = time.Millisecond
)

// load returns the packets of a second: 40 short requests, and four uploads of 16
// packets that each come at once.
func load() []packet {
	random := rand.New(rand.NewPCG(1, 1))
	var packets []packet
	for n := range 40 {
		packets = append(packets, packet{flow: uint64(n), bytes: requestBytes, sent: time.Duration(random.Int64N(int64(time.Second))).Truncate(step)})
	}
	for upload := range 4 {
		for n := range 16 {
			at := time.Duration(upload)*250*time.Millisecond + 20*time.Millisecond
			packets = append(packets, packet{flow: uploadFlow + uint64(upload), number: n, bytes: 1231, sent: at})
		}
	}
	return packets
}

// outcome is what became of the callers' packets.
type outcome struct {
	Lost, LateRequests int
	carried            []packet
}

// late is how long a request may take on the link to count as in time.
const late = 40 * time.Millisecond

func (o *outcome) carry(l *link, now time.Duration, p packet) {
	took, ok := l.carry(now, p.bytes)
	switch {
	case !ok:
		o.Lost++
	case p.flow < uploadFlow && now+took-p.sent > late:
		o.LateRequests++
	}
	if ok {
		o.carried = append(o.carried, p)
	}
}

// play sends the load over a link. Without a queue, packets are sent as they come.
func play(l *link, q *pacing.Queue[packet]) outcome {
	var o outcome
	for now := time.Duration(0); now < 3*time.Second; now += step {
		for _, p := range load() {
			switch {
			case p.sent != now:
			case q == nil || q.Pass(now, p.bytes):
				o.carry(l, now, p)
			default:
				q.Add(now, p.flow, p.bytes, p)
			}
		}
		for q != nil {
			p, ok := q.Next(now)
			if !ok {
				break
			}
			o.carry(l, now, p)
		}
	}
	return o
}

// Uploads must not cost callers packets, nor delay short requests by the time that an
// upload takes.
func TestPacedPacketsArriveAndShortRequestsDoNotWaitBehindUploads(t *testing.T) {
	if o := play(slowLink(), nil); o.Lost == 0 {
		t.Fatal("the load loses nothing without pacing, so it shows nothing")
	}
	o := play(slowLink(), pacing.New[packet](slowLink().bytesPerSecond))
	if d := cmp.Diff(outcome{}, outcome{Lost: o.Lost, LateRequests: o.LateRequests}, cmp.AllowUnexported(outcome{})); d != "" {
		t.Error(d)
	}
}

func TestPacketsOfAFlowStayInOrder(t *testing.T) {
	o := play(slowLink(), pacing.New[packet](slowLink().bytesPerSecond))
	next := make(map[uint64]int)
	for _, p := range o.carried {
		if p.number != next[p.flow] {
			t.Fatalf("flow %d: packet %d where %d was expected", p.flow, p.number, next[p.flow])
		}
		next[p.flow]++
	}
}

func TestWhatWaitsTooLongIsDropped(t *testing.T) {
	q := pacing.New[int](10e3)
	for n := range 200 {
		q.Add(0, uint64(n), 1000, n)
	}
	sent := 0
	for now := time.Duration(0); now < 30*time.Second; now += step {
		for _, ok := q.Next(now); ok; _, ok = q.Next(now) {
			sent++
		}
	}
	if _, waits := q.Wait(30 * time.Second); waits || q.Dropped()+uint64(sent) != 200 || sent > 5 {
		t.Errorf("%d sent, %d dropped, waits %v", sent, q.Dropped(), waits)
	}
}

func TestQueueIsBounded(t *testing.T) {
	q := pacing.New[int](10e3)
	added := 0
	for n := range 5000 {
		if q.Add(0, uint64(n), 1000, n) {
			added++
		}
	}
	if added != 1024 {
		t.Errorf("%d packets wait", added)
	}
}

func TestFastLinkHoldsNothingBack(t *testing.T) {
	for _, bytesPerSecond := range []float64{0, 125e6} {
		q := pacing.New[packet](bytesPerSecond)
		for n := range 200 {
			if !q.Pass(0, 1231) {
				t.Fatalf("%v bytes/s: packet %d has to wait", bytesPerSecond, n)
			}
		}
	}
}

func TestWaitIsOverWhenTheNextMayBeSent(t *testing.T) {
	q := pacing.New[int](100e3)
	now := time.Duration(0)
	for n := range 20 {
		if !q.Pass(now, 1000) {
			q.Add(now, 1, 1000, n)
		}
	}
	wait, ok := q.Wait(now)
	if !ok || wait <= 0 {
		t.Fatalf("wait %v, %v", wait, ok)
	}
	if _, sends := q.Next(now + wait - step); sends {
		t.Error("sends before the wait is over")
	}
	if _, sends := q.Next(now + wait); !sends {
		t.Error("sends nothing after the wait")
	}
}

func BenchmarkPass(b *testing.B) {
	q := pacing.New[packet](125e6)
	for n := range b.N {
		q.Pass(time.Duration(n)*time.Microsecond, 100)
	}
}
