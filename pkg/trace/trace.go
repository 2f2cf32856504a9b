// Package trace reads, writes and replays traces: the inputs of the instances
// of a deployment and the outcomes that they must have.
//
// A trace is a text file with one JSON object on each line: a Header, then one
// Line for each input. Replay drives the production decision cores with the
// inputs and compares their decisions with the outcomes that the lines state.
// docs/TRACE.md describes every field.
//
// # Usage
//
//	recorded, err := trace.Read(file)
//	if err != nil {
//		return err // a *LineError that names the line
//	}
//	result, difference := trace.Replay(recorded)
package trace

import (
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// Format is the value of Header.Format in every trace.
const Format = "tanagerweir-trace"

// Version is the version of the format that this package reads and writes.
const Version = 1

// Header is the first line of a trace.
type Header struct {
	Format     string
	Version    int
	Deployment string
	// Lines is the number of lines that follow. It shows whether the file is
	// truncated.
	Lines int
}

// Input is the kind of input on a line.
type Input string

// Inputs of a trace.
const (
	// Accepted states a configuration that the platform accepted. It drives no
	// core; later lines refer to it by its version.
	Accepted Input = "Accepted"
	// Start starts an instance with empty state.
	Start Input = "Start"
	// Kill ends an instance without warning.
	Kill Input = "Kill"
	// Leave begins the planned stop of an instance.
	Leave Input = "Leave"
	// Tick advances the instance's heartbeat.
	Tick Input = "Tick"
	// Exchange is a complete exchange of members and conditions between the
	// instance and Peer.
	Exchange Input = "Exchange"
	// Silence is an exchange with Peer that the instance began and that got no
	// answer.
	Silence Input = "Silence"
	// FlowTick advances the packet core. Its messages to peers arrive at once
	// at those that run.
	FlowTick Input = "FlowTick"
	// Spread is a complete comparison of the configuration between the instance
	// and Peer.
	Spread Input = "Spread"
	// Configuration offers the accepted configuration Version to the instance.
	Configuration Input = "Configuration"
	// List gives the instance the platform's list.
	List Input = "List"
	// Report gives the instance a report of a backend server.
	Report Input = "Report"
	// Packet gives the instance a packet of a flow.
	Packet Input = "Packet"
	// Request gives the instance a request and says how its attempts end.
	Request Input = "Request"
)

// Line is one input with its stated outcome. Fields that do not belong to the
// input are omitted.
type Line struct {
	// At is the time of the input in milliseconds since the trace began.
	At       int64
	Input    Input
	Instance string `json:",omitempty"`
	// DataCentre is the data centre of an instance that starts.
	DataCentre string `json:",omitempty"`
	Peer       string `json:",omitempty"`

	Version   catalogue.Version `json:",omitempty"`
	Catalogue *catalogue.Parts  `json:",omitempty"`
	Members   []Member          `json:",omitempty"`

	// Backend, Cold, Leaving and Busy belong to a report.
	Backend string `json:",omitempty"`
	Cold    bool   `json:",omitempty"`
	Leaving bool   `json:",omitempty"`
	Busy    uint32 `json:",omitempty"`

	// Source, Destination and Starts belong to a TCP packet. Starts says that
	// it opens its flow.
	Source      netip.AddrPort `json:",omitzero"`
	Destination netip.AddrPort `json:",omitzero"`
	Starts      bool           `json:",omitempty"`

	// Class belongs to a request. Ends says how each of its attempts ends.
	Class string `json:",omitempty"`
	Ends  End    `json:",omitempty"`

	Outcome *Outcome `json:",omitempty"`
}

// Member is an instance on the platform's list.
type Member struct {
	Name       string
	DataCentre string
	Leaving    bool `json:",omitempty"`
}

// End says how every attempt of a request ends.
type End string

// Ends of an attempt.
const (
	// EndRan is a complete answer.
	EndRan End = "Ran"
	// EndRefused is a refusal by the backend server before the request ran.
	EndRefused End = "Refused"
	// EndLate means that no answer came before the deadline.
	EndLate End = "Late"
)

// Outcome is the outcome that a line states. An empty field states nothing.
type Outcome struct {
	// InForce is the version in force at the instance after the input.
	InForce catalogue.Version `json:",omitempty"`
	// Service is the service of the backend server that the packet or request
	// is sent to, if it is sent to any.
	Service string `json:",omitempty"`
	// Home says that the packet, if it is forwarded, goes to the backend server
	// that the first packet of its flow went to.
	Home bool `json:",omitempty"`
	// Forwarded says that the packet must be forwarded.
	Forwarded bool `json:",omitempty"`
	// Avoid names a backend server that the packet or request must not be sent
	// to.
	Avoid string `json:",omitempty"`
	// AvoidCentre names a data centre that the packet or request must not be
	// sent to.
	AvoidCentre string `json:",omitempty"`
	// Verdict is the verdict of the request.
	Verdict string `json:",omitempty"`
	// AttemptsMost is the largest number of attempts of the request. Zero
	// states nothing.
	AttemptsMost int `json:",omitempty"`
}

// Trace is a header and all lines of a trace.
type Trace struct {
	Header Header
	Lines  []Line
}

// time returns the simulated time of the line.
func (l Line) time() time.Time { return startTime.Add(time.Duration(l.At) * time.Millisecond) }

// startTime is the simulated time at which every replay begins.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
