package trial

import "github.com/tanagerweir/tanagerweir/pkg/request/verdict"

// Counts is the amount of work in a trial. It shows whether a promise was kept
// under load or only because nothing was tried.
type Counts struct {
	Opened      int // flows that callers opened
	Established int // flows that reached a backend server
	Sent        int // packets that callers sent
	Delivered   int // packets that reached their flow's backend server
	Requests    int // requests that callers sent
	GivenUp     int // established flows left out of the promise, such as those of a data centre taken out
	Broken      int // established flows that broke
	Served      int // requests whose caller got the verdict Ran
	Ran         int // submissions with the verdict Ran
	Refused     int // submissions with the verdict NotRun
	Uncertain   int // submissions with the verdict MayHaveRun
	Versions    int // configurations that the platform accepted
}

// Counts returns the counts so far.
func (t *Trial) Counts() Counts {
	c := t.counts
	c.Opened = len(t.flows)
	c.Requests = t.requestCount
	c.Versions = int(t.accepted.Version())
	for _, f := range t.flows {
		if f.home != nil {
			c.Established++
		}
		if f.givenUpReason != "" {
			c.GivenUp++
		}
		if f.broken {
			c.Broken++
		}
	}
	return c
}

func (c *Counts) countVerdict(v verdict.Verdict) {
	switch v {
	case verdict.Ran:
		c.Ran++
	case verdict.NotRun:
		c.Refused++
	case verdict.MayHaveRun:
		c.Uncertain++
	}
}

// Plus returns the sum of c and other.
func (c Counts) Plus(other Counts) Counts {
	c.Opened += other.Opened
	c.Established += other.Established
	c.Sent += other.Sent
	c.Delivered += other.Delivered
	c.Requests += other.Requests
	c.GivenUp += other.GivenUp
	c.Broken += other.Broken
	c.Served += other.Served
	c.Ran += other.Ran
	c.Refused += other.Refused
	c.Uncertain += other.Uncertain
	c.Versions += other.Versions
	return c
}
