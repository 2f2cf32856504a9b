// Package api holds the wire types: the messages that operators and callers
// exchange with an instance over connect, and those that instances exchange
// with each other over gRPC.
//
// The types are generated from the .proto files in this folder. The
// conversions to and from the types of the core packages are in
// conversions.go, codec.go and flows.go.
//
// # Usage
//
//	wire := api.CatalogueToWire(current)
//	current, err := api.CatalogueFromWire(wire)
package api
