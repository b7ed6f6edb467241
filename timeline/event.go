// Package timeline keeps the events of one daemon in a ring buffer and merges the
// events of many daemons into one timeline.
package timeline

import (
	"time"

	"github.com/jacinthplank/jacinthplank/outcome"
)

// Kind is the type of an event.
type Kind string

// Kinds of events of a request, in their usual order.
const (
	KindReceived   Kind = "received"    // a request of a caller was read
	KindRefused    Kind = "refused"     // a duty refused the request; Outcome has the code
	KindPlaced     Kind = "placed"      // the router chose an endpoint
	KindAdmitted   Kind = "admitted"    // an endpoint added the attempt to its ledger
	KindStarted    Kind = "started"     // the attempt was passed to the engine
	KindPaused     Kind = "paused"      // the attempt was paused for shorter work
	KindFirstToken Kind = "first_token" // the first token left the endpoint
	KindRetried    Kind = "retried"     // the router makes another attempt
	KindFinished   Kind = "finished"    // the answer is complete
	KindFailed     Kind = "failed"      // the attempt or request failed
	KindCanceled   Kind = "canceled"    // the caller canceled or disconnected
	KindClaimed    Kind = "claimed"     // a record of an at-most-once call was created
	KindRecorded   Kind = "recorded"    // the outcome of an at-most-once call was recorded
)

// Kinds of events of the fleet.
const (
	KindJoined   Kind = "joined"   // an endpoint or daemon was first seen
	KindLeft     Kind = "left"     // it left or its lease expired
	KindDraining Kind = "draining" // it accepts no new work
	KindRevision Kind = "revision" // a configuration took effect
	KindLeader   Kind = "leader"   // the quorum has another leader
	KindOrder    Kind = "order"    // an order was passed to an engine, or refused
	KindBreaker  Kind = "breaker"  // a circuit breaker changed state
	KindFreed    Kind = "freed"    // orphaned engine memory was freed
	KindStartup  Kind = "startup"  // the daemon started
	KindShutdown Kind = "shutdown" // the daemon began to stop
)

// Event is an event recorded by one daemon.
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
	Outcome    string        // code of a failure, or finish reason
	Detail     string        // short human-readable text
	Tokens     int           // received and placed: tokens of the prompt; finished: tokens of the answer
	Remaining  time.Duration // time left until the deadline; 0 if not applicable
	State      outcome.State // refused and failed: whether the attempt ran
}

// Recorder records events. It sets the daemon name and the stamp.
type Recorder interface {
	Record(e Event)
}

// Discard is a Recorder that drops all events.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}
