// Package matrix runs every fault at every step of operation and checks the
// promises.
//
// A Cell is one step under one or two faults, each of which may occur twice.
// Its seed determines when the faults occur, how long they last and which
// instances, backend servers or data centres they affect. Running a cell
// returns the violations of promises.
//
// # Usage
//
//	for _, c := range matrix.DrawCells(seed, 200) {
//		for _, v := range c.Run() {
//			fmt.Println(c, v)
//		}
//	}
package matrix
