// Package health defines the health states of a backend server.
//
// Package condition decides on the state of each server; packages flow and
// dispatch decide which flows and requests go to a server in that state.
//
// # Usage
//
//	if mark.State == health.Cold {
//		share = ramp(now.Sub(mark.Since))
//	}
package health

// State is the health state of one backend server.
type State uint8

// States of a backend server.
const (
	// Serving takes its full share of new work.
	Serving State = iota
	// Cold can take only a little work at first, and more as time passes.
	Cold
	// Leaving takes no new work.
	Leaving
	// Ejected has failed too often and takes no new work for some time.
	Ejected
)

var stateNames = [...]string{"Serving", "Cold", "Leaving", "Ejected"}

// String returns the state's name as reports and the journal use it.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "Unknown"
	}
	return stateNames[s]
}
