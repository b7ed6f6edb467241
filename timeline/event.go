// Package timeline keeps the events of one daemon in a bounded ring and merges
// the events of many daemons into one time line.
package timeline

import (
	"time"

	"github.com/jacinthplank/jacinthplank/outcome"
)

// Kind is the type of an event.
type Kind string

// Kinds of events of a request, in the order in which they usually come.
const (
	KindReceived   Kind = "received"    // a caller's request was read
	KindRefused    Kind = "refused"     // a duty refused; Outcome tells the state
	KindPlaced     Kind = "placed"      // the router chose an endpoint
	KindAdmitted   Kind = "admitted"    // an endpoint put the attempt in its ledger
	KindStarted    Kind = "started"     // the engine was given the attempt
	KindPaused     Kind = "paused"      // long work gave way to short work
	KindFirstToken Kind = "first_token" // the first token left the endpoint
	KindRetried    Kind = "retried"     // the router makes another attempt
	KindFinished   Kind = "finished"    // the answer is complete
	KindFailed     Kind = "failed"      // the attempt or request failed
	KindCanceled   Kind = "canceled"    // the caller went away
	KindClaimed    Kind = "claimed"     // a once-record was made
	KindRecorded   Kind = "recorded"    // the outcome of a once-call was recorded
)

// Kinds of events of the fleet.
const (
	KindJoined   Kind = "joined"   // an endpoint or daemon was first seen
	KindLeft     Kind = "left"     // it left or its lease ran out
	KindDraining Kind = "draining" // it takes no new work
	KindRevision Kind = "revision" // a configuration came in force
	KindLeader   Kind = "leader"   // the quorum has another leader
	KindOrder    Kind = "order"    // an order was passed to an engine or refused
	KindBreaker  Kind = "breaker"  // a breaker changed its state
	KindFreed    Kind = "freed"    // orphaned engine memory was freed
	KindStartup  Kind = "startup"  // the daemon started
	KindShutdown Kind = "shutdown" // the daemon began to stop
)

// Event is one thing that happened on one daemon.
type Event struct {
	WallMicros int64  // hybrid logical clock: wall part, microseconds since 1970
	Logical    uint32 // hybrid logical clock: logical part
	Daemon     string
	Kind       Kind
	Request    string
	Attempt    uint32
	Account    string
	Endpoint   string
	Step       string
	Peer       string
	Outcome    string        // code of a failure, or a finish
	Detail     string        // short text for people
	Tokens     int           // received and placed: tokens of the prompt; finished: tokens of the answer
	Remaining  time.Duration // time left to the deadline; 0 when it does not matter
	State      outcome.State // refused and failed: whether the attempt ran
}

// Recorder takes events. The daemon's name and the clock are filled in by it.
type Recorder interface {
	Record(e Event)
}

// Discard is a Recorder that keeps nothing.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}
