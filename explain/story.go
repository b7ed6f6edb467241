// Package explain describes in plain sentences what happened to one request,
// based on the events of the daemons that handled it.
package explain

import (
	"strings"
	"time"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// history is the record of one request, collected from its events.
type history struct {
	request    string
	account    string
	entry      string // daemon that received the request
	received   *timeline.Event
	attempts   []*attempt
	claimed    *timeline.Event
	recorded   *timeline.Event
	final      *timeline.Event // result sent to the caller
	firstEvent time.Time       // time of the first event
}

// attempt is the record of one attempt, collected from its events.
type attempt struct {
	number     uint32
	endpoint   string
	placed     *timeline.Event
	admitted   *timeline.Event
	started    *timeline.Event
	firstToken *timeline.Event
	end        *timeline.Event // finished, refused, failed or canceled at the endpoint
	retried    *timeline.Event // the entry abandoned the attempt and made another
	pauses     int
	pausedTime time.Duration
	openPause  *timeline.Event // start of a pause that has not ended
}

// collect builds the history of a request from a line in order.
func collect(line timeline.Timeline, request string) *history {
	s := &history{request: request}
	for i := range line.Events {
		e := &line.Events[i]
		if e.Request == request {
			s.add(e)
		}
	}
	return s
}

func (s *history) add(e *timeline.Event) {
	if s.firstEvent.IsZero() {
		s.firstEvent = timeOf(e)
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

// placed adds the start of an attempt. Calls of plain services carry no attempt
// numbers, so their attempts are numbered here.
func (s *history) placed(e *timeline.Event) {
	number := e.Attempt
	if number == 0 {
		number = uint32(len(s.attempts)) + 1
	}
	s.attempt(number).add(e)
}

// ended adds the end of the request, reported by its entry, or of an attempt,
// reported by an endpoint.
func (s *history) ended(e *timeline.Event) {
	fromEntry := strings.HasPrefix(e.Step, entryStepPrefix)
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

// answered reports whether the caller got the complete answer. A cancellation
// after that does not affect the caller.
func (s *history) answered() bool {
	return s.final != nil && s.final.Kind == timeline.KindFinished
}

// repeated reports whether the caller got the recorded outcome of an earlier
// call.
func (s *history) repeated() bool {
	return s.recorded != nil && s.claimed == nil && len(s.attempts) == 0 && s.received != nil
}

// refusedOnArrival reports whether the entry refused the request before accepting
// it.
func (s *history) refusedOnArrival() bool {
	return s.received == nil && s.final != nil && s.final.Kind == timeline.KindRefused && len(s.attempts) == 0
}

// entryStepPrefix is the prefix of the steps of events that the entry records for
// the whole request.
const entryStepPrefix = "entry"

func (s *history) retried(e *timeline.Event) {
	for i := len(s.attempts) - 1; i >= 0; i-- {
		if a := s.attempts[i]; a.retried == nil && a.placed != nil {
			a.retried = e
			return
		}
	}
}

func (s *history) attempt(number uint32) *attempt {
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
		a.openPause = e
	case timeline.KindFirstToken:
		a.resume(e)
		if a.firstToken == nil {
			a.firstToken = e
		}
	}
}

func (a *attempt) resume(e *timeline.Event) {
	if a.openPause == nil {
		return
	}
	a.pausedTime += timeOf(e).Sub(timeOf(a.openPause))
	a.openPause = nil
}

// ran reports whether an engine or service is known to have worked on the request.
func (s *history) ran() bool {
	if s.final != nil && (s.final.Kind == timeline.KindFinished || s.final.State == outcome.Ran) {
		return true
	}
	for _, a := range s.attempts {
		if a.firstToken != nil {
			return true
		}
		if a.end != nil && (a.end.Kind == timeline.KindFinished || a.end.State == outcome.Ran) {
			return true
		}
	}
	return false
}

// started reports whether the request was passed to an engine or service.
func (s *history) started() bool {
	for _, a := range s.attempts {
		if a.started != nil {
			return true
		}
	}
	return false
}

func timeOf(e *timeline.Event) time.Time { return e.Stamp().Time() }
