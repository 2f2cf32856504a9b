// Package entry holds the messages between instances on a platform whose flows
// carry marks, and their conversions to the cores' types.
//
// # Usage
//
//	datagram, err := entry.Encode(entry.Word{Hello: hello, Loads: loads})
//	word, err := entry.Decode(datagram)
package entry
