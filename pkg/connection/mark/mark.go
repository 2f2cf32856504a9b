// Package mark identifies backend servers by numbers that the packets of flows
// carry.
//
// A mark is a hash of the backend server's identifier. Every instance, also one
// that has just started, computes the same mark without exchanging messages.
//
// # Usage
//
//	m := mark.Of("i-7f3a91c2")
package mark

import "github.com/cespare/xxhash/v2"

// Mark identifies a backend server in the packets of a flow.
type Mark uint32

// None is the mark in packets of a flow that has no backend server yet.
const None Mark = 0

// Of returns the mark of the backend server with that identifier, which is never
// None.
func Of(id string) Mark {
	sum := xxhash.Sum64String(id)
	if m := Mark(sum); m != None {
		return m
	}
	return Mark(sum>>32) | 1
}
