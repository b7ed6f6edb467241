package explain

import (
	"fmt"
	"time"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// attempt tells of one attempt.
func (t *teller) attempt(a *attempt) {
	if a.number == 0 {
		return
	}
	name := fmt.Sprintf("Attempt %d", a.number)
	if a.placed != nil {
		t.say("%s went to endpoint %s%s%s.", name, orUnknown(a.endpoint), t.after(a.placed), note(a.placed.Detail))
	} else {
		t.say("%s was at endpoint %s; its sending is not on record.", name, orUnknown(a.endpoint))
	}
	t.waiting(a)
	t.running(a)
	t.attemptEnd(a, name)
}

func (t *teller) waiting(a *attempt) {
	if a.admitted == nil {
		return
	}
	if a.started == nil {
		t.say("  It was let into the queue of %s%s.", a.endpoint, note(a.admitted.Detail))
		return
	}
	wait := timeOf(a.started).Sub(timeOf(a.admitted))
	t.say("  It waited %s in the queue of %s%s before its work began.", span(wait), a.endpoint, note(a.admitted.Detail))
}

func (t *teller) running(a *attempt) {
	if a.pauses > 0 {
		times := "once"
		if a.pauses > 1 {
			times = fmt.Sprintf("%d times", a.pauses)
		}
		t.say("  It gave way to shorter requests %s%s.", times, inAll(a.paused))
	}
	if a.token != nil {
		t.say("  The first token of the answer came%s.", t.after(a.token))
	}
}

func (t *teller) attemptEnd(a *attempt, name string) {
	switch {
	case a.end == nil && a.retried != nil:
		t.say("  %s was given up%s: %s.", name, t.after(a.retried), Meaning(a.retried.Outcome))
	case a.end == nil:
	case a.end.Kind == timeline.KindFinished:
		t.say("  It was answered%s%s.", tokens(a.end.Tokens), t.after(a.end))
	case a.end.Kind == timeline.KindCanceled:
		t.say("  It was called off%s.", t.after(a.end))
	case a.end.Kind == timeline.KindRefused:
		t.say("  The endpoint refused it without running it: %s%s.", Meaning(a.end.Outcome), note(a.end.Detail))
	default:
		t.say("  It failed%s: %s%s. %s", t.after(a.end), Meaning(a.end.Outcome), note(a.end.Detail), stateSentence(a.end.State))
	}
	if a.retried != nil && a.end != nil {
		t.say("  So another attempt was made%s.", t.after(a.retried))
	}
}

// inAll tells how long pauses took, when their ends are on record.
func inAll(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return ", for " + span(d) + " in all"
}

func stateSentence(s outcome.State) string {
	switch s {
	case outcome.NotRun:
		return "It had not run there."
	case outcome.Ran:
		return "It had run there."
	default:
		return "Whether it had run there is not known."
	}
}

func note(detail string) string {
	if detail == "" {
		return ""
	}
	return " (" + detail + ")"
}

func tokens(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf(" with %s tokens", number(n))
}
