// Package day reads and checks the settings of an emulated day: a deployment, its
// load, and the faults that are injected.
//
// # Usage
//
//	d, err := day.Load("examples/emulation/dakar.ini")
//	if err != nil {
//		return err // a *settings.ProblemsError lists every invalid key
//	}
//	d = d.WithFaults(d.Faults[1:])
package day

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// Day is a deployment, its load, and the faults that are injected.
type Day struct {
	Name string
	// Warmup is the time from the start of the instances to the first request, and
	// Length is how long requests arrive after that. Times of faults count from the
	// end of Warmup.
	Warmup, Length time.Duration
	// ModuloHash makes routers choose an instance by the remainder of a hash, so that
	// nearly all flows move to another instance when one joins or leaves.
	ModuloHash bool
	// Health says that the platform calls for observing the health of backend servers.
	Health      bool
	Bounds      Bounds
	Links       Links
	Instances   Instances
	Callers     Callers
	Store       Store
	Goal        Goal
	Prices      Prices
	DataCentres []DataCentre
	Services    []Service
	Classes     []Class
	Faults      []Fault
	// Policy says how instances decide.
	Policy Policy
}

// WithFaults returns a copy of the day with these faults in place of its own. It
// copies the slice.
func (d Day) WithFaults(faults []Fault) Day {
	d.Faults = slices.Clone(faults)
	return d
}

// WithPolicy returns the day with another policy.
func (d Day) WithPolicy(p Policy) Day {
	d.Policy = p
	return d
}

// Bounds are the limits within which the emulator's promises must hold.
type Bounds struct {
	// Stable is how long an instance and the store must have been free of faults
	// before promises with a time bound apply.
	Stable time.Duration
	// Drain is how long after the store acknowledged that a backend server drains
	// or is gone it may still get new flows, and Evacuation the same for a data
	// centre that is taken out.
	Drain time.Duration
	// Configuration is the time from the acknowledgement of a configuration until
	// every instance must act on it.
	Configuration time.Duration
	Evacuation    time.Duration
	// Recovery is the time until service must have returned, counted from when all
	// instances may start again after they were lost together.
	Recovery time.Duration
	// FlowTimeout is how long the packets of a flow may reach another backend server
	// than its own.
	FlowTimeout time.Duration
	// MaxFlow is the age beyond which instances may forget a flow.
	MaxFlow time.Duration
	// Grace is how long a planned stop of an instance may take before its process
	// is killed.
	Grace time.Duration
	// ColdFactor and ColdSlack bound the flows that a cold backend server gets in a
	// second: its ColdRate times ColdFactor, plus ColdSlack.
	ColdFactor, ColdSlack float64
}

// Links are one-way delays and losses in the network.
type Links struct {
	WithinDataCentre   time.Duration
	BetweenDataCentres time.Duration
	ToCallers          time.Duration
	// Loss is the share of datagrams, 0 to 1, that are lost without any fault.
	Loss float64
}

// Instances are the settings that all instances share.
type Instances struct {
	// StartTime is the time from the start of a process to its first packet.
	StartTime time.Duration
	// StartSpread is the upper bound of a random delay before a start, so that
	// instances that are started together don't all start at the same moment.
	StartSpread time.Duration
	// PacketTime is the processor time of one packet on a whole core.
	PacketTime time.Duration
	// QueuePackets is how many packets may wait for the processor; further ones are
	// dropped.
	QueuePackets int
}

// Callers are the settings of the callers' transport protocol and retries.
type Callers struct {
	// FirstCopy and SecondCopy are when copies of an opening packet follow, and
	// OpenTimeout is when the attempt fails, all counted from its first packet.
	FirstCopy, SecondCopy, OpenTimeout time.Duration
	// SendAgain is the first retransmission timeout; it doubles with each
	// retransmission up to SendAgainMost.
	SendAgain, SendAgainMost time.Duration
	// Window is how many packets may be in flight, and PacketBytes how many bytes of
	// data one holds at most.
	Window, PacketBytes int
	// AcknowledgeDelay is how long the acknowledgement of a packet is delayed if no
	// second packet arrives and no data is sent that carries it.
	AcknowledgeDelay time.Duration
	// RetryPause is the time between a failed attempt and the next.
	RetryPause time.Duration
}

// Store are the settings of the platform's store.
type Store struct {
	// AnswerTime is the time from the arrival of a call until it is executed.
	AnswerTime time.Duration
	// PageKeys is how many keys one answer holds at most.
	PageKeys int
	// Heartbeat is the interval at which backend servers write to the store; the
	// entry of one that missed three heartbeats lapses.
	Heartbeat time.Duration
	// Eras says that the store sends its era with each answer. Drawn days then restore
	// it from copies too.
	Eras bool
}

// Goal holds the weights of a day's worth: of the benefit of the whole day, of its
// worst windows, of the class and of the data centre that are served worst. The
// weights add up to 1.
type Goal struct{ Day, Windows, Class, DataCentre float64 }

// Prices are costs that are subtracted from a day's benefit, after their sum is
// divided by what all requests of the day are worth.
type Prices struct {
	StoreCall       float64
	MachineSecond   float64
	GigabyteBetween float64
}

// DataCentre is one data centre with its instances and callers.
type DataCentre struct {
	Name string
	// Instances is how many run from the start, and Spare how many more a fault can
	// add.
	Instances, Spare int
	// Cores is how much of a processor core an instance has, and Megabits the
	// bandwidth of its link in megabits per second.
	Cores, Megabits float64
	// Requests is the mean number of requests per second from its callers. The rate
	// follows a sine wave of that Period, whose amplitude is Swing times the mean.
	Requests, Swing float64
	Period          time.Duration
	// Users is how many long flows its callers keep open from the start; they open
	// more when all are busy.
	Users int
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// Servers is how many there are in each data centre, in the order of
	// Day.DataCentres.
	Servers []int
	// Slots is how many requests a server runs at a time, and Queue how many more
	// may wait; it refuses further ones.
	Slots int
	Queue int
	// Connections is how many flows a server holds at most, and Handshake how long it
	// takes to answer an opening packet.
	Connections int
	Handshake   time.Duration
	// ColdFor is how long a server is cold after its start. Meanwhile its work takes
	// ColdWork times as long, and it is meant to get ColdRate flows a second.
	ColdFor  time.Duration
	ColdWork float64
	ColdRate float64
	// IdleClose is how long a flow may be idle before the server closes it.
	IdleClose time.Duration
}

// Class is a class of work: requests of one kind to one service.
type Class struct {
	Name    string
	Service string
	Kind    directory.Kind
	// Share is its weight among the classes when the class of a request is drawn.
	Share float64
	// LongFlows says that its requests follow one another on flows that stay open;
	// otherwise the server closes a flow after one answer.
	LongFlows bool
	// Work is the mean time that a warm server takes for a request, WorkSpread its
	// standard deviation divided by the mean, and WorkMost the maximum.
	Work       time.Duration
	WorkSpread float64
	WorkMost   time.Duration
	// RequestBytes is the mean length of a request's body, and AnswerBytes that of an
	// answer. The emulator gives each request and answer this length.
	RequestBytes, AnswerBytes int
	// Target is the time within which an answer is on time, and Budget how long a
	// caller waits at most, over all attempts.
	Target, Budget time.Duration
	// Worth is what an answer on time is worth, and LateWorth a late one.
	Worth, LateWorth float64
	// Retries is how many attempts may follow the first.
	Retries int
	// Priority is 0 for the most important requests.
	Priority int
}

// Fault is a fault or another event that is injected during a day.
type Fault struct {
	Name string
	// Kind is one of [Kinds].
	Kind string
	// At counts from the end of Day.Warmup.
	At time.Duration
	// For is how long the fault lasts, and Gap the time between its steps.
	For, Gap time.Duration
	// Share, 0 to 1, or Count says how many instances or backend servers are
	// affected, and Factor how strongly. 0 means the default of the kind.
	Share  float64
	Count  int
	Factor float64
	// How are the words that choose variants of the kind.
	How []string
	// DataCentre and Service limit the fault to one; empty means all, or one drawn at
	// random where the kind affects a single one.
	DataCentre, Service string
}

// HasVariant reports whether How contains the word for a variant.
func (f Fault) HasVariant(word string) bool { return slices.Contains(f.How, word) }

// String returns the fault's name, kind, time, variant, strength and place in one line,
// without what is the default. Results list faults in this form.
func (f Fault) String() string {
	words := append([]string{f.Name, f.Kind, "at", f.At.String()}, f.How...)
	for _, d := range []struct {
		name  string
		value time.Duration
	}{{"for", f.For}, {"each", f.Gap}} {
		if d.value > 0 {
			words = append(words, d.name, d.value.String())
		}
	}
	for _, n := range []struct {
		name  string
		value float64
	}{{"share", f.Share}, {"count", float64(f.Count)}, {"factor", f.Factor}} {
		if n.value > 0 {
			words = append(words, n.name, strconv.FormatFloat(n.value, 'g', 4, 64))
		}
	}
	for _, place := range []string{f.DataCentre, f.Service} {
		if place != "" {
			words = append(words, "in", place)
		}
	}
	return strings.Join(words, " ")
}
