// Command standin3 plays the cases of review 3: the store of the platform, engines, clients and the
// entry processes of a small deployment on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) == 3 && os.Args[1] == "engine" {
		runEngine(os.Args[2])
		return
	}
	cases := map[string]func(*world){
		"pinned-prefixes": pinnedPrefixes, "endless-reports": endlessReports, "refused-cuts": refusedCuts,
		"rolling-restart": rollingRestart, "denied-lookups": deniedLookups,
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		check(fmt.Errorf("ended by %v", <-signals))
	}()
	cases[os.Args[1]](newWorld())
}
