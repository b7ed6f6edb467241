package explain

import (
	"fmt"
	"time"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// attempt appends the sentences that describe one attempt.
func (w *writer) attempt(a *attempt) {
	if a.number == 0 {
		return
	}
	name := fmt.Sprintf("Attempt %d", a.number)
	if a.placed != nil {
		w.say("%s went to endpoint %s%s%s.", name, orUnknown(a.endpoint), w.sinceArrival(a.placed), parenthesized(a.placed.Detail))
	} else {
		w.say("%s was at endpoint %s; its placement was not recorded.", name, orUnknown(a.endpoint))
	}
	w.queueWait(a)
	w.execution(a)
	w.attemptEnd(a, name)
}

func (w *writer) queueWait(a *attempt) {
	if a.admitted == nil {
		return
	}
	if a.started == nil {
		w.say("  It was admitted to the queue of %s%s.", a.endpoint, parenthesized(a.admitted.Detail))
		return
	}
	wait := timeOf(a.started).Sub(timeOf(a.admitted))
	w.say("  It waited %s in the queue of %s%s before its work began.", formatDuration(wait), a.endpoint, parenthesized(a.admitted.Detail))
}

func (w *writer) execution(a *attempt) {
	if a.pauses > 0 {
		times := "once"
		if a.pauses > 1 {
			times = fmt.Sprintf("%d times", a.pauses)
		}
		w.say("  It was paused for shorter requests %s%s.", times, totalPause(a.pausedTime))
	}
	if a.firstToken != nil {
		w.say("  The first token of the answer came%s.", w.sinceArrival(a.firstToken))
	}
}

func (w *writer) attemptEnd(a *attempt, name string) {
	switch {
	case a.end == nil && a.retried != nil:
		w.say("  %s was abandoned%s: %s.", name, w.sinceArrival(a.retried), Meaning(a.retried.Outcome))
	case a.end == nil:
	case a.end.Kind == timeline.KindFinished:
		w.say("  It was answered%s%s.", tokens(a.end.Tokens), w.sinceArrival(a.end))
	case a.end.Kind == timeline.KindCanceled:
		w.say("  It was canceled%s.", w.sinceArrival(a.end))
	case a.end.Kind == timeline.KindRefused:
		w.say("  The endpoint refused it without running it: %s%s.", Meaning(a.end.Outcome), parenthesized(a.end.Detail))
	default:
		w.say("  It failed%s: %s%s. %s", w.sinceArrival(a.end), Meaning(a.end.Outcome), parenthesized(a.end.Detail), stateSentence(a.end.State))
	}
	if a.retried != nil && a.end != nil {
		w.say("  Another attempt was made%s.", w.sinceArrival(a.retried))
	}
}

// totalPause returns the total duration of the pauses, or "" if no pause has a
// recorded end.
func totalPause(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return ", for " + formatDuration(d) + " in total"
}

func stateSentence(s outcome.State) string {
	switch s {
	case outcome.NotRun:
		return "It had not run there."
	case outcome.Ran:
		return "It had run there."
	default:
		return "It is not known whether it had run there."
	}
}

func parenthesized(detail string) string {
	if detail == "" {
		return ""
	}
	return " (" + detail + ")"
}

func tokens(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf(" with %s tokens", formatNumber(n))
}
