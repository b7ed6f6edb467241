package explain

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// timeLayout is the format of times in sentences.
const timeLayout = "2006-01-02 15:04:05.000 UTC"

// Write writes the sentences about the request, one per line.
func Write(w io.Writer, line timeline.Timeline, request string) error {
	_, err := io.WriteString(w, strings.Join(Sentences(line, request), "\n")+"\n")
	return err
}

// Sentences describes what happened to the request: its arrival, its estimated
// prompt length, where and why it waited, its attempts, the result sent to the
// caller, whether it ran, and which of this is unknown.
func Sentences(line timeline.Timeline, request string) []string {
	s := collect(line, request)
	w := &writer{history: s, line: line}
	if s.firstEvent.IsZero() {
		w.noEvents()
		w.missingEvents()
		return w.lines
	}
	w.arrival()
	w.claim()
	for _, a := range s.attempts {
		w.attempt(a)
	}
	w.result()
	w.runState()
	w.missingEvents()
	return w.lines
}

// Found reports whether the line contains any event of the request.
func Found(line timeline.Timeline, request string) bool {
	return !collect(line, request).firstEvent.IsZero()
}

// writer turns the history of a request into sentences.
type writer struct {
	history *history
	line    timeline.Timeline
	lines   []string
}

func (w *writer) say(format string, args ...any) {
	w.lines = append(w.lines, fmt.Sprintf(format, args...))
}

func (w *writer) noEvents() {
	w.say("Nothing is on record about request %s.", w.history.request)
	if len(w.line.Asked) == 0 {
		w.say("No daemon could be asked.")
		return
	}
	if w.line.Complete() {
		w.say("All %d daemons were asked and none has met it since %s. Check the number that the caller was given.",
			len(w.line.Asked), w.completeSince().Format(timeLayout))
	}
}

// completeSince returns the earliest time from which all asked daemons have kept
// every event.
func (w *writer) completeSince() time.Time {
	var oldest time.Time
	for _, a := range w.line.Asked {
		if a.Since.After(oldest) {
			oldest = a.Since
		}
	}
	return oldest
}

func (w *writer) arrival() {
	s := w.history
	if s.refusedOnArrival() {
		w.say("Request %s came from client account %s to %s at %s and was refused at once.",
			s.request, orUnknown(s.account), s.entry, s.firstEvent.Format(timeLayout))
		return
	}
	if s.received == nil {
		w.say("The arrival of request %s is no longer recorded. The first remaining event is from %s.", s.request, s.firstEvent.Format(timeLayout))
		return
	}
	w.say("Request %s came from client account %s to %s at %s%s.",
		s.request, orUnknown(s.account), s.entry, timeOf(s.received).Format(timeLayout), parenthesized(s.received.Detail))
	if s.received.Tokens > 0 {
		w.say("Its prompt was judged to be %s tokens long, which counts as %s.", formatNumber(s.received.Tokens), submit.ClassOf(s.received.Tokens))
	}
	if s.received.Remaining > 0 {
		w.say("It had %s to be answered.", formatDuration(s.received.Remaining))
	}
}

func (w *writer) claim() {
	if w.history.claimed == nil {
		return
	}
	w.say("The call is not idempotent: the control quorum granted permission to run it once%s.", w.sinceArrival(w.history.claimed))
}

// sinceArrival returns the time from the arrival of the request to e, or the time
// of e if the arrival is not recorded.
func (w *writer) sinceArrival(e *timeline.Event) string {
	if w.history.received == nil {
		return " at " + timeOf(e).Format(timeLayout)
	}
	return " " + formatDuration(timeOf(e).Sub(timeOf(w.history.received))) + " after the request came"
}

func (w *writer) result() {
	s := w.history
	switch {
	case s.repeated():
		w.say("The same call, with the same idempotency key, was made before: the recorded answer was returned.")
	case s.recorded != nil:
		w.say("The outcome was recorded%s, so that a repeated call gets the same answer.", parenthesized(s.recorded.Outcome))
	}
	switch {
	case s.final == nil:
		w.say("No end of the request is recorded: it may still be in progress.%s", w.deadline())
	case s.final.Kind == timeline.KindFinished:
		w.say("The caller got the complete answer%s.", w.sinceArrival(s.final))
	case s.final.Kind == timeline.KindCanceled:
		w.say("The caller canceled it%s.", w.sinceArrival(s.final))
	default:
		w.say("The caller was told %s%s: %s.", s.final.Outcome, w.sinceArrival(s.final), Meaning(s.final.Outcome))
	}
	if s.final != nil && s.final.Detail != "" && s.final.Kind != timeline.KindFinished {
		w.say("Detail: %s.", s.final.Detail)
	}
}

// deadline returns a sentence with the deadline of the request, or "" if the
// deadline is not recorded.
func (w *writer) deadline() string {
	received := w.history.received
	if received == nil || received.Remaining == 0 {
		return ""
	}
	return fmt.Sprintf(" Its deadline is %s.", timeOf(received).Add(received.Remaining).Format(timeLayout))
}

func (w *writer) runState() {
	s := w.history
	switch {
	case s.repeated():
		w.say("It was not run again.")
	case s.ran():
		w.say("It ran.")
	case s.started():
		w.say("Its work was begun; how far it got is not known.")
	case s.final != nil && (s.final.State == outcome.NotRun || s.final.Kind == timeline.KindRefused):
		w.say("It was not run%s.", retryNote(s.final.Outcome))
	default:
		w.say("Whether it ran is not known.")
	}
}

// retryNote returns the clause that the request can be sent again safely, or ""
// for codes that a repeated request would meet again.
func retryNote(code string) string {
	switch outcome.Code(code) {
	case outcome.CodeInvalidRequest, outcome.CodeInvalidKey, outcome.CodeModelNotFound, outcome.CodePromptTooLong,
		outcome.CodeConflict, outcome.CodeUnsupported, outcome.CodeNotFound, outcome.CodeOutcomeUnknown:
		return ""
	default:
		return ", and may be sent again without harm"
	}
}

// missingEvents names the daemons whose events are missing.
func (w *writer) missingEvents() {
	for _, u := range w.line.Unreachable {
		w.say("Daemon %s could not be asked, so its events are missing here.", u.Daemon)
	}
	for _, g := range w.line.Gaps {
		w.say("Daemon %s keeps no events from before %s, so its earlier events are missing here.", g.Daemon, g.Since.Format(timeLayout))
	}
	for _, c := range w.line.Cuts {
		w.say("Daemon %s left out %d events from before %s because of the limit of the query, so they are missing here.", c.Daemon, c.Events, c.Since.Format(timeLayout))
	}
	if w.history.received == nil {
		return
	}
	for _, a := range w.line.Asked {
		if a.Since.After(timeOf(w.history.received)) && !w.hasGap(a.Daemon) {
			w.say("Daemon %s started only at %s, after the request came: its earlier events are lost.", a.Daemon, a.Since.Format(timeLayout))
		}
	}
}

func (w *writer) hasGap(daemon string) bool {
	for _, g := range w.line.Gaps {
		if g.Daemon == daemon {
			return true
		}
	}
	return false
}

func orUnknown(s string) string {
	if s == "" {
		return "(not recorded)"
	}
	return s
}

// formatNumber formats n with commas as thousands separators.
func formatNumber(n int) string {
	digits := strconv.Itoa(n)
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

// formatDuration formats a duration in words.
func formatDuration(d time.Duration) string {
	switch {
	case d < time.Millisecond:
		return count(int(d.Microseconds()), "microsecond")
	case d < time.Second:
		return count(int(d.Milliseconds()), "millisecond")
	case d < time.Minute:
		return fmt.Sprintf("%.1f seconds", d.Seconds())
	case d < time.Hour:
		return count(int(d.Minutes()), "minute") + " " + count(int(d.Seconds())%60, "second")
	default:
		return count(int(d.Hours()), "hour") + " " + count(int(d.Minutes())%60, "minute")
	}
}

// count formats a number with its unit in the singular or plural.
func count(n int, unit string) string {
	if n == 1 {
		return "1 " + unit
	}
	return fmt.Sprintf("%d %ss", n, unit)
}
