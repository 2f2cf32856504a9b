package trial

import "time"

// platformLocation is the end of a link at the platform, which stands outside
// all data centres.
const platformLocation = "platform"

// callerLocation is the end of a link at callers and operators, which are never
// cut off.
const callerLocation = "callers"

const (
	maxJitter      = 2 * time.Millisecond
	loseOneIn      = 50 // one packet in this many is lost
	duplicateOneIn = 20 // one answer in this many arrives twice
)

// pair is the link between two locations, in alphabetical order.
type pair struct{ a, b string }

// link returns the pair of two locations given in any order.
func link(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// Cut cuts the link between two data centres for d. Overlapping cuts add up.
func (t *Trial) Cut(a, b string, d time.Duration) {
	t.noteDisturbance(d)
	t.cuts[link(a, b)]++
	t.after(d, func() { t.cuts[link(a, b)]-- })
}

// CutPlatform cuts the link between a data centre and the platform for d.
func (t *Trial) CutPlatform(centre string, d time.Duration) { t.Cut(centre, platformLocation, d) }

// Isolate cuts one instance off from the platform and from all other instances
// for d. It still reaches callers and backend servers.
func (t *Trial) Isolate(n *Node, d time.Duration) {
	t.noteDisturbance(d)
	n.isolated++
	t.after(d, func() { n.isolated-- })
}

func (t *Trial) connected(a, b string) bool { return a == b || t.cuts[link(a, b)] == 0 }

// send calls deliver after the delay of the link, or never if the link is cut
// now.
func (t *Trial) send(from, to string, deliver func()) {
	if !t.connected(from, to) {
		return
	}
	t.after(t.delay(from, to), deliver)
}

func (t *Trial) delay(from, to string) time.Duration {
	d := time.Duration(t.random.Int64N(int64(maxJitter)))
	switch {
	case from == callerLocation || to == callerLocation:
		d += t.plan.CallerDelay
	case from != to:
		d += t.plan.CentreDelay
	}
	return d
}

// lost draws whether a packet is lost in transit.
func (t *Trial) lost() bool { return t.random.IntN(loseOneIn) == 0 }
