// Command standin2 runs the cases of the second independent review. It starts entry processes with
// the command of the deploy file, a stand-in of the platform's store, and engines as processes of
// their own, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		if err := runEngine(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ENTRY FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

// runCase runs a case with the given program of the entry processes, writes record.txt in the
// folder and returns the exit code.
func runCase(name, entry, folder string, trouble bool) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, start: time.Now()}
	f, err := newFleet(rec, entry)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		f.close()
		os.Exit(exitNotRun)
	}()
	cases := map[string]func(bool) (bool, error){"crash": f.crashCase, "removal": f.removalCase, "crowd": f.crowdCase, "part": f.partCase}
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", name)
		return exitNotRun
	}
	broken, err := run(trouble)
	if err != nil {
		rec.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	code, result := exitHeld, "the rule held"
	if broken {
		code, result = exitBroken, "the rule was broken"
	}
	rec.log("%s", result)
	if err := rec.merge(filepath.Join(f.scratch, "runs")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}
