// Command review2 plays the cases of this review that are scripts. Each starts processes of the
// project with stand-ins for the platform, the operator, clients and replicas around them.
package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenarios are the cases by name. Each returns whether the rule held.
var scenarios = map[string]func(r *record, f *fleet, trouble bool) bool{
	"lonevote":      playLoneVote,
	"threevoters":   playThreeVoters,
	"deadvoters":    playDeadVoters,
	"deadlyslow":    playDeadlySlow,
	"deadlyrestart": playDeadlyRestart,
}

// limit is the longest time that a case may take.
const limit = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		cannotRun("usage: review2 CASE RECORD")
	}
	play := scenarios[os.Args[1]]
	if play == nil {
		cannotRun("no case %q", os.Args[1])
	}
	rec := newRecord(os.Args[2])
	f := newFleet(rec)
	atExit = append(atExit, f.stop, rec.close)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
			cannotRun("stopped")
		case <-time.After(limit):
			cannotRun("it took longer than %v", limit)
		}
	}()
	held := play(rec, f, os.Getenv("TROUBLE") != "0")
	if held {
		rec.event("result: the rule held")
		exit(exitHeld)
	}
	rec.event("result: the rule was broken")
	exit(exitBroken)
}
