package day

import (
	"slices"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
)

// Design is a policy for the choice of a backend server for new flows.
type Design string

// Designs that a day can be run with.
const (
	// Product is the policy of the real instances.
	Product Design = "Product"
	// Anywhere ranks servers by load alone, without regard to their data centre.
	Anywhere Design = "Anywhere"
	// OwnDataCentre keeps flows within the instance's data centre while a server is
	// available there.
	OwnDataCentre Design = "OwnDataCentre"
	// RoundRobin sends flows to the servers in turn, without regard to their load.
	RoundRobin Design = "RoundRobin"
	// FullKnowledge ranks servers by the requests that really run and wait there,
	// which no instance can know. It marks the limit of what placement can achieve.
	FullKnowledge Design = "FullKnowledge"
)

// Designs returns all designs.
func Designs() []Design { return []Design{Product, Anywhere, OwnDataCentre, RoundRobin, FullKnowledge} }

// DesignNames returns the names of all designs.
func DesignNames() []string {
	var names []string
	for _, d := range Designs() {
		names = append(names, string(d))
	}
	return names
}

// Known reports whether a design of that name exists.
func (d Design) Known() bool { return slices.Contains(Designs(), d) }

// Policy says how instances decide. The zero value is the product's own way.
type Policy struct {
	// Design is empty for Product.
	Design Design
	// Off are the mechanisms that are switched off.
	Off mechanism.Set
	// Part is the part of each data centre's instances, above 0 and up to 1, for which the policy
	// holds; 0 stands for all. The others decide in the product's own way, as old and new
	// versions side by side do during an upgrade.
	Part float64
}

// Holds reports whether the policy holds for an instance, by its number within its data centre,
// from 0 on. The instances for which it holds are spread evenly.
func (p Policy) Holds(number int) bool {
	return p.Part == 0 || int(float64(number+1)*p.Part) > int(float64(number)*p.Part)
}
