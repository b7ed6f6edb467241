// Package explain tells in plain sentences what happened to one request, from
// the events of the daemons that met it.
package explain

import (
	"strings"
	"time"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// story is what the events tell of one request.
type story struct {
	request  string
	account  string
	entry    string // daemon that received it
	received *timeline.Event
	attempts []*attempt
	claimed  *timeline.Event
	recorded *timeline.Event
	final    *timeline.Event // what the caller was told
	first    time.Time       // time of the first event
}

// attempt is what the events tell of one attempt.
type attempt struct {
	number   uint32
	endpoint string
	placed   *timeline.Event
	admitted *timeline.Event
	started  *timeline.Event
	token    *timeline.Event
	end      *timeline.Event // finished, refused, failed or canceled at the endpoint
	retried  *timeline.Event // the entry gave the attempt up for another
	pauses   int
	paused   time.Duration
	pause    *timeline.Event // pause that goes on
}

// read gathers the story of a request from a line in order.
func read(line timeline.Line, request string) *story {
	s := &story{request: request}
	for i := range line.Events {
		e := &line.Events[i]
		if e.Request == request {
			s.add(e)
		}
	}
	return s
}

func (s *story) add(e *timeline.Event) {
	if s.first.IsZero() {
		s.first = timeOf(e)
	}
	if s.account == "" {
		s.account = e.Account
	}
	switch e.Kind {
	case timeline.KindReceived:
		s.received, s.entry = e, e.Daemon
	case timeline.KindClaimed:
		s.claimed = e
	case timeline.KindRecorded:
		s.recorded = e
	case timeline.KindRetried:
		s.final = nil
		s.retried(e)
	case timeline.KindFinished, timeline.KindRefused, timeline.KindFailed, timeline.KindCanceled:
		s.ended(e)
	case timeline.KindPlaced:
		s.placed(e)
	default:
		s.attempt(e.Attempt).add(e)
	}
}

// placed takes the start of an attempt. Calls of plain services have no numbers
// of attempts: theirs are counted here.
func (s *story) placed(e *timeline.Event) {
	number := e.Attempt
	if number == 0 {
		number = uint32(len(s.attempts)) + 1
	}
	s.attempt(number).add(e)
}

// ended takes the end of the request, told by its entry, or of an attempt, told
// by an endpoint.
func (s *story) ended(e *timeline.Event) {
	fromEntry := strings.HasPrefix(e.Step, stepEntry)
	if s.entry == "" && fromEntry {
		s.entry = e.Daemon
	}
	if e.Daemon == s.entry && (fromEntry || e.Attempt == 0) && !s.answered() {
		s.final = e
	}
	if e.Attempt == 0 || (fromEntry && e.Kind != timeline.KindFinished) {
		return
	}
	if a := s.attempt(e.Attempt); a.end == nil {
		a.end = e
	}
}

// answered reports whether the caller got the whole answer. What is given up
// after that does not matter to it.
func (s *story) answered() bool {
	return s.final != nil && s.final.Kind == timeline.KindFinished
}

// repeated reports whether the caller got the recorded outcome of an earlier
// call.
func (s *story) repeated() bool {
	return s.recorded != nil && s.claimed == nil && len(s.attempts) == 0 && s.received != nil
}

// refusedAtOnce reports whether the entry refused it before it was taken in.
func (s *story) refusedAtOnce() bool {
	return s.received == nil && s.final != nil && s.final.Kind == timeline.KindRefused && len(s.attempts) == 0
}

// stepEntry begins the steps of events that the entry records for the whole
// request.
const stepEntry = "entry"

func (s *story) retried(e *timeline.Event) {
	for i := len(s.attempts) - 1; i >= 0; i-- {
		if a := s.attempts[i]; a.retried == nil && a.placed != nil {
			a.retried = e
			return
		}
	}
}

func (s *story) attempt(number uint32) *attempt {
	for _, a := range s.attempts {
		if a.number == number {
			return a
		}
	}
	a := &attempt{number: number}
	s.attempts = append(s.attempts, a)
	return a
}

func (a *attempt) add(e *timeline.Event) {
	if a.endpoint == "" {
		a.endpoint = e.Endpoint
	}
	switch e.Kind {
	case timeline.KindPlaced:
		a.placed = e
	case timeline.KindAdmitted:
		a.admitted = e
		if a.endpoint == "" {
			a.endpoint = e.Daemon
		}
	case timeline.KindStarted:
		a.resume(e)
		if a.started == nil {
			a.started = e
		}
	case timeline.KindPaused:
		a.pauses++
		a.pause = e
	case timeline.KindFirstToken:
		a.resume(e)
		if a.token == nil {
			a.token = e
		}
	}
}

func (a *attempt) resume(e *timeline.Event) {
	if a.pause == nil {
		return
	}
	a.paused += timeOf(e).Sub(timeOf(a.pause))
	a.pause = nil
}

// ran reports whether an engine or service is known to have worked on it.
func (s *story) ran() bool {
	if s.final != nil && (s.final.Kind == timeline.KindFinished || s.final.State == outcome.Ran) {
		return true
	}
	for _, a := range s.attempts {
		if a.token != nil {
			return true
		}
		if a.end != nil && (a.end.Kind == timeline.KindFinished || a.end.State == outcome.Ran) {
			return true
		}
	}
	return false
}

// began reports whether an engine or service was given it.
func (s *story) began() bool {
	for _, a := range s.attempts {
		if a.started != nil {
			return true
		}
	}
	return false
}

func timeOf(e *timeline.Event) time.Time { return e.Stamp().Time() }
