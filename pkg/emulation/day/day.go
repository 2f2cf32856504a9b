// Package day reads and checks the settings of an emulated day: a deployment, its
// load, and what happens to it.
//
// # Usage
//
//	d, err := day.Load("examples/emulation/dakar.ini")
//	if err != nil {
//		return err // a *settings.ProblemsError lists every wrong key
//	}
//	d = d.WithFaults(d.Faults[1:])
package day

import (
	"slices"
	"strings"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// Day is a deployment, its load, and what happens to it.
type Day struct {
	Name string
	// Warmup is the time from the start of the instances to the first request, and
	// Length the time of traffic after that. Faults count from the first request.
	Warmup, Length time.Duration
	// ModuloHash lets routers spread flows by the remainder of a hash, so that
	// nearly all flows move when an instance joins or leaves.
	ModuloHash  bool
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
}

// WithFaults returns the day with other faults.
func (d Day) WithFaults(faults []Fault) Day {
	d.Faults = slices.Clone(faults)
	return d
}

// Bounds are the times and figures of the promises.
type Bounds struct {
	// Stable is how long an instance and the store must have been undisturbed for
	// promises with a time bound to hold.
	Stable        time.Duration
	Drain         time.Duration
	Configuration time.Duration
	Evacuation    time.Duration
	Recovery      time.Duration
	// FlowTimeout is the time in which a flow's packets may go astray.
	FlowTimeout time.Duration
	// MaxFlow is the age from which on a flow may be forgotten.
	MaxFlow time.Duration
	Grace   time.Duration
	// ColdFactor and ColdSlack bound a cold backend server's requests in a second:
	// its rate times ColdFactor, plus ColdSlack.
	ColdFactor, ColdSlack float64
}

// Links are one-way delays and losses.
type Links struct {
	WithinDataCentre   time.Duration
	BetweenDataCentres time.Duration
	ToCallers          time.Duration
	// Loss is the share of datagrams that are lost without any fault.
	Loss float64
}

// Instances are what all instances have in common.
type Instances struct {
	// StartTime is the time from the start of a process to its first packet.
	StartTime time.Duration
	// StartSpread parts the starts of instances that start together.
	StartSpread time.Duration
	// PacketTime is the processor time of one packet on a whole core.
	PacketTime time.Duration
	// QueuePackets is how many packets wait for the processor at most.
	QueuePackets int
}

// Callers are how callers use flows.
type Callers struct {
	// FirstCopy and SecondCopy are when copies of an opening packet follow, and
	// OpenTimeout is when the attempt ends, all counted from its first packet.
	FirstCopy, SecondCopy, OpenTimeout time.Duration
	// SendAgain is the time until a packet is sent again, which doubles up to
	// SendAgainMost.
	SendAgain, SendAgainMost time.Duration
	// Window is how many packets may be in flight, and PacketBytes their data.
	Window, PacketBytes int
	// AcknowledgeDelay is how long a lone packet waits for its acknowledgement.
	AcknowledgeDelay time.Duration
	// RetryPause is the time between a failed attempt and the next.
	RetryPause time.Duration
}

// Store is the platform's store.
type Store struct {
	AnswerTime time.Duration
	// PageKeys is how many keys one answer holds.
	PageKeys int
	// Heartbeat is how often backend servers write; their entries lapse after
	// three of them.
	Heartbeat time.Duration
	// Delay is how long an entry takes to change after its server changed.
	Delay time.Duration
}

// Goal weighs what a day is judged by; the weights add up to 1.
type Goal struct{ Day, Windows, Class, DataCentre float64 }

// Prices are taken off, per hundred requests owed.
type Prices struct {
	StoreCall       float64
	MachineSecond   float64
	GigabyteBetween float64
}

// DataCentre is one data centre with its instances and callers.
type DataCentre struct {
	Name string
	// Instances run from the start, Spare ones can be added.
	Instances, Spare int
	// Cores is the share of a core that an instance has, and Megabits its link.
	Cores, Megabits float64
	// Requests is how many its callers ask a second, Swing how far that varies, in
	// waves of Period.
	Requests, Swing float64
	Period          time.Duration
	// Users is how many long flows its callers hold open.
	Users int
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// Servers is how many there are in each data centre, in the day's order.
	Servers     []int
	Slots       int
	Queue       int
	Connections int
	Handshake   time.Duration
	// ColdFor is how long a server is cold after its start, ColdWork by how much
	// its work takes longer, and ColdRate how many requests a second it bears.
	ColdFor   time.Duration
	ColdWork  float64
	ColdRate  float64
	IdleClose time.Duration
}

// Class is a class of requests.
type Class struct {
	Name    string
	Service string
	Kind    directory.Kind
	// Share is its part of the requests, relative to the others.
	Share float64
	// LongFlows says that its requests share flows that stay open.
	LongFlows bool
	// Work is the mean time that a request takes a server, WorkSpread the standard
	// deviation relative to it, and WorkMost the longest.
	Work       time.Duration
	WorkSpread float64
	WorkMost   time.Duration
	// RequestBytes and AnswerBytes are means.
	RequestBytes, AnswerBytes int
	// Target is the time to an answer that is on time, Budget the longest that a
	// caller waits over all attempts.
	Target, Budget time.Duration
	// Worth is what an answer on time is worth, LateWorth a later one.
	Worth, LateWorth float64
	Retries          int
}

// Fault is something that happens during a day.
type Fault struct {
	Name string
	Kind string
	At   time.Duration
	// For is how long it lasts, and Gap the time between its steps.
	For, Gap time.Duration
	// Share or Count says how many things it affects, Factor how strongly.
	Share  float64
	Count  int
	Factor float64
	// How are words that choose the variant.
	How []string
	// DataCentre and Service say where, empty for a drawn one or all.
	DataCentre, Service string
}

// Has says whether a word chooses a variant.
func (f Fault) Has(word string) bool { return slices.Contains(f.How, word) }

// String returns the fault in one line.
func (f Fault) String() string {
	words := append([]string{f.Name, f.Kind, "at", f.At.String()}, f.How...)
	if f.For > 0 {
		words = append(words, "for", f.For.String())
	}
	if f.DataCentre != "" {
		words = append(words, "in", f.DataCentre)
	}
	return strings.Join(words, " ")
}
