// Command standin plays the cases of the review that are scripts. It starts the processes of
// the deploy file on loopback addresses around a stand-in of the platform's store, with
// stand-ins of routers, backend servers and a caller.
//
// # Usage
//
//	standin squeeze review/1/record.txt
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
// With TROUBLE=0 in the environment the case runs without its disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario is a case: its deployment, and what happens there. Play gets the deployment before
// its start, and whether to bring the disruption about.
type scenario struct {
	site site
	play func(f *fleet, trouble bool) error
}

var scenarios = map[string]scenario{
	"storm":   {pinceKelet, playStorm},
	"squeeze": {dakar, playSqueeze},
	"loop":    {dakar, playLoop},
	"marks":   {dakar, playMarks},
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitFailed
	}
	r, closeRecord, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer closeRecord()
	if err := play(r, scenarios[args[0]]); err != nil {
		r.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return exitFailed
	}
	if n := r.breaches(); n > 0 {
		r.add("the rule was broken %d times", n)
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

func play(r *record, s scenario) error {
	f, err := newFleet(r, s.site)
	if err != nil {
		return err
	}
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	played := make(chan error, 1)
	go func() { played <- s.play(f, os.Getenv("TROUBLE") != "0") }()
	select {
	case err := <-played:
		return err
	case <-signals:
		return errInterrupted
	}
}

var (
	// errNoFollower says that no instance alone follows the store.
	errNoFollower  = errors.New("no instance alone follows the store")
	errInterrupted = errors.New("it was interrupted")
)
