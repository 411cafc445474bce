//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held    = 0
	broken  = 1
	didNot  = 2 // the case could not run
	numArgs = 3

	maxTime = 115 * time.Second
)

// cases are the scripted cases by name; the file of each adds it. A case returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){}

// main runs a case: standin CASE RECORD. TROUBLE=0 leaves out the disruption.
func main() {
	if len(os.Args) != numArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(didNot)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(w *world, trouble bool) (bool, error), record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return didNot
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("disruption: %v", trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := play(w, trouble)
		ended <- outcome{broken, err}
	}()
	var isBroken bool
	select {
	case o := <-ended:
		isBroken, err = o.broken, o.err
	case s := <-stop:
		err = fmt.Errorf("stopped by %v", s)
	case <-time.After(maxTime):
		err = fmt.Errorf("not done after %v", maxTime)
	}
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return didNot
	case isBroken:
		w.note("the rule was broken")
		return broken
	}
	w.note("the rule held")
	return held
}
