// Command standin plays the review's scripted cases. It starts the program of the
// deploy file as separate processes on loopback addresses, together with stand-ins of
// the platform's store, of engines and of callers, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds a case.
const maxRunTime = 115 * time.Second

// cases holds the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, recordPath string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	f, err := newFleet(program, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	done := make(chan int, 1)
	go func() {
		broken, err := play(f, os.Getenv("TROUBLE") != "0")
		switch {
		case err != nil:
			rec.log("the case could not run: %v", err)
			fmt.Fprintln(os.Stderr, err)
			done <- exitNotRun
		case broken:
			done <- exitBroken
		default:
			done <- exitHeld
		}
	}()
	select {
	case code := <-done:
		return code
	case <-interrupted:
	case <-time.After(maxRunTime):
		fmt.Fprintln(os.Stderr, "the case took too long")
	}
	return exitNotRun
}
