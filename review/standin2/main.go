// Command standin2 runs the review cases that are scripts.
//
// It starts instances as separate processes with the command of the deploy file, plays the
// platform's store, routers, clients and targets around them, and judges one rule by what
// clients and targets saw.
//
// # Usage
//
//	standin2 CASE FOLDER
//
// The record goes to FOLDER/record.txt. The exit status is 1 if the rule was broken, 0 if it
// held, and 2 if the case couldn't run. With TROUBLE=0 in the environment the case runs
// without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// endOnSignal ends the case's processes when it is interrupted.
func (w *world) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	<-signals
	for _, i := range w.instances {
		i.close()
	}
	_ = os.RemoveAll(w.directory)
	os.Exit(exitFailed)
}

// runCase plays one case, and returns whether the rule was broken.
type runCase func(w *world, trouble bool) (broken bool, err error)

var cases = map[string]runCase{
	"restart": runRestart,
	"office":  runOffice,
	"upgrade": runUpgrade,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return exitFailed
	}
	w, err := newWorld(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	go w.endOnSignal()
	trouble := os.Getenv("TROUBLE") != "0"
	w.record("case %s, trouble %t", args[0], trouble)
	broken, err := cases[args[0]](w, trouble)
	switch {
	case err != nil:
		w.record("the case couldn't run: %v", err)
		return exitFailed
	case broken:
		w.record("verdict: the rule was broken")
		return exitBroken
	}
	w.record("verdict: the rule held")
	return exitHeld
}
