package mechanism

import (
	"fmt"
	"strings"
)

// Decision is a decision that can be taken in several ways.
type Decision uint8

// Decisions, each with its ways. The first way of each is the one that instances use unless
// the policy names another.
const (
	// Placing is which of the usable servers a flow goes to.
	Placing Decision = iota
	decisionCount
)

// Way is one way to take a decision. Its number is its place in the list of the decision.
type Way uint8

// Ways of Placing.
const (
	LeastLoad Way = iota
	TwoChoices
	LeastWait
)

type wayDescription struct{ name, meaning string }

// decisions holds the name of each decision and the names and meanings of its ways.
var decisions = [decisionCount]struct {
	name string
	ways []wayDescription
}{
	{"Placing", []wayDescription{
		{"LeastLoad", "the server with the least load, in requests a slot"},
		{"TwoChoices", "the less loaded one of two that are drawn"},
		{"LeastWait", "the server with the least expected wait, its load times its answer time"},
	}},
}

// String returns the name that settings and logs use.
func (d Decision) String() string { return decisions[d].name }

// Ways holds the way of each decision. The zero value holds the standard ones.
type Ways [decisionCount]Way

// Of returns the way of a decision.
func (w Ways) Of(d Decision) Way { return w[d] }

// With returns w with another way of a decision.
func (w Ways) With(d Decision, way Way) Ways {
	w[d] = way
	return w
}

// String returns the decisions whose ways aren't the standard ones, as ParseWays reads them.
func (w Ways) String() string {
	var parts []string
	for d, way := range w {
		if way != 0 {
			parts = append(parts, Decision(d).String()+"="+decisions[d].ways[way].name)
		}
	}
	return strings.Join(parts, ", ")
}

// UnknownWayError is about a decision or a way that doesn't exist.
type UnknownWayError struct {
	Decision, Way string
}

// Error returns what is unknown and all that exists.
func (e *UnknownWayError) Error() string {
	return fmt.Sprintf("\"%s=%s\" isn't one of %s", e.Decision, e.Way, WayNames())
}

// RepeatedDecisionError is about a decision that is given more than one way.
type RepeatedDecisionError struct {
	Decision Decision
}

// Error names the decision.
func (e *RepeatedDecisionError) Error() string {
	return fmt.Sprintf("%v has more than one way", e.Decision)
}

// WayNames returns all decisions with their ways, the standard one first.
func WayNames() string {
	parts := make([]string, len(decisions))
	for i, d := range decisions {
		names := make([]string, len(d.ways))
		for n, w := range d.ways {
			names[n] = w.name
		}
		parts[i] = d.name + "=" + strings.Join(names, "|")
	}
	return strings.Join(parts, ", ")
}

// WayMeaning describes one way of a decision.
type WayMeaning struct {
	Decision, Way, Meaning string
}

// WayMeanings describes all ways of all decisions.
func WayMeanings() []WayMeaning {
	var all []WayMeaning
	for _, d := range decisions {
		for _, w := range d.ways {
			all = append(all, WayMeaning{Decision: d.name, Way: w.name, Meaning: w.meaning})
		}
	}
	return all
}

// ParseWays reads pairs DECISION=WAY that are separated by commas. An error is an
// *UnknownWayError or a *RepeatedDecisionError.
func ParseWays(text string) (Ways, error) {
	var w Ways
	var given [decisionCount]bool
	for pair := range strings.SplitSeq(text, ",") {
		pair = strings.TrimSpace(pair)
		if pair == "" {
			continue
		}
		decision, way, _ := strings.Cut(pair, "=")
		d, n, ok := findWay(strings.TrimSpace(decision), strings.TrimSpace(way))
		if !ok {
			return Ways{}, &UnknownWayError{Decision: decision, Way: way}
		}
		if given[d] {
			return Ways{}, &RepeatedDecisionError{Decision: d}
		}
		w[d], given[d] = n, true
	}
	return w, nil
}

func findWay(decision, way string) (Decision, Way, bool) {
	for d := range decisions {
		for n := range decisions[d].ways {
			if decisions[d].name == decision && decisions[d].ways[n].name == way {
				return Decision(d), Way(n), true
			}
		}
	}
	return 0, 0, false
}
