// Package catalogue represents the operators' configuration as an immutable value.
//
// A Catalogue lists the services with their addresses, the classes of work
// with their targets, the backend servers, and the data centres that take part.
// Every accepted change makes a new Catalogue whose Version is one higher, so
// two instances that hold the same Version hold the same configuration.
//
// # Usage
//
//	next, err := current.Apply(operation, changes)
//	if err != nil {
//		return err // a *ProblemsError that lists every problem at once
//	}
//	backend, ok := next.Backend("board-1")
//
// The package does no I/O and imports nothing of this project.
package catalogue
