// Package entry holds the messages that instances exchange on a platform
// whose flows carry marks, and converts them to and from the types of the
// core packages.
//
// # Usage
//
//	datagram, err := entry.Encode(entry.Message{Hello: hello, Loads: loads})
//	message, err := entry.Decode(datagram)
package entry
