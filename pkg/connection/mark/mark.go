// Package mark names backend servers by numbers that flows carry.
//
// A mark is a hash of the backend server's identifier, so that every instance
// finds the same one without agreement, blank instances included.
//
// # Usage
//
//	m := mark.Of("i-7f3a91c2")
package mark

import "github.com/cespare/xxhash/v2"

// Mark names a backend server in the packets of a flow.
type Mark uint32

// None is carried by packets of flows that have no backend server yet.
const None Mark = 0

// Of returns the mark of a backend server, which is never None.
func Of(id string) Mark {
	sum := xxhash.Sum64String(id)
	if m := Mark(sum); m != None {
		return m
	}
	return Mark(sum>>32) | 1
}
