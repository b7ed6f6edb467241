// Command standin runs one script case of the review. It starts the system's processes with
// the command of the deploy file, and plays replicas, clients, the operator and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxRun is the longest that a case may take.
const maxRun = 115 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// environment is what a case works with.
type environment struct {
	record  *record
	folder  string
	trouble bool
}

var cases = map[string]func(e *environment) (broken bool, err error){
	"first-loss":      firstLoss,
	"first-start":     firstStart,
	"loss-at-restart": lossAtRestart,
	"wiped-member":    wipedMember,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(e *environment) (bool, error), output string) int {
	r, err := newRecord(filepath.Join(output, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println("folder:", folder)
	}
	signal.Ignore(syscall.SIGPIPE)
	e := &environment{record: r, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case s := <-stopped:
			r.printf("stopped by a signal: %s", s)
		case <-time.After(maxRun):
			r.printf("stopped after %s", maxRun)
		}
		stopFleets()
		_ = os.RemoveAll(folder)
		os.Exit(exitFailed)
	}()
	r.printf("trouble: %t", e.trouble)
	broken, err := play(e)
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitFailed
	case broken:
		r.printf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	r.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
