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

// timeLayout is how sentences write a time.
const timeLayout = "2006-01-02 15:04:05.000 UTC"

// Write writes what happened to the request, one sentence a line.
func Write(w io.Writer, line timeline.Line, request string) error {
	_, err := io.WriteString(w, strings.Join(Sentences(line, request), "\n")+"\n")
	return err
}

// Sentences returns what happened to the request: when it came, how long it was
// judged, where it waited and why, its attempts, what the caller was told,
// whether it ran, and what of this is not known.
func Sentences(line timeline.Line, request string) []string {
	s := read(line, request)
	t := &teller{story: s, line: line}
	if s.first.IsZero() {
		t.nothing()
		t.missing()
		return t.lines
	}
	t.arrival()
	t.claim()
	for _, a := range s.attempts {
		t.attempt(a)
	}
	t.ending()
	t.whetherItRan()
	t.missing()
	return t.lines
}

// Found reports whether the line has any event of the request.
func Found(line timeline.Line, request string) bool {
	return !read(line, request).first.IsZero()
}

// teller turns a story into sentences.
type teller struct {
	story *story
	line  timeline.Line
	lines []string
}

func (t *teller) say(format string, args ...any) {
	t.lines = append(t.lines, fmt.Sprintf(format, args...))
}

func (t *teller) nothing() {
	t.say("Nothing is on record about request %s.", t.story.request)
	if len(t.line.Asked) == 0 {
		t.say("No daemon could be asked.")
		return
	}
	if t.line.Whole() {
		t.say("All %d daemons were asked and none has met it since %s. Check the number that the caller was given.",
			len(t.line.Asked), t.oldest().Format(timeLayout))
	}
}

// oldest returns the time from which every daemon has every event.
func (t *teller) oldest() time.Time {
	var oldest time.Time
	for _, a := range t.line.Asked {
		if a.Since.After(oldest) {
			oldest = a.Since
		}
	}
	return oldest
}

func (t *teller) arrival() {
	s := t.story
	if s.refusedAtOnce() {
		t.say("Request %s came from client account %s to %s at %s and was refused at once.",
			s.request, orUnknown(s.account), s.entry, s.first.Format(timeLayout))
		return
	}
	if s.received == nil {
		t.say("When request %s came is not on record any more. The first event left is from %s.", s.request, s.first.Format(timeLayout))
		return
	}
	t.say("Request %s came from client account %s to %s at %s%s.",
		s.request, orUnknown(s.account), s.entry, timeOf(s.received).Format(timeLayout), note(s.received.Detail))
	if s.received.Tokens > 0 {
		t.say("Its prompt was judged to be %s tokens long, which counts as %s.", number(s.received.Tokens), submit.ClassOf(s.received.Tokens))
	}
	if s.received.Remaining > 0 {
		t.say("It had %s to be answered.", span(s.received.Remaining))
	}
}

func (t *teller) claim() {
	if t.story.claimed == nil {
		return
	}
	t.say("The call is not idempotent: the control quorum was asked for leave to run it once, and gave it%s.", t.after(t.story.claimed))
}

// after returns the time from the start of the request to e.
func (t *teller) after(e *timeline.Event) string {
	if t.story.received == nil {
		return " at " + timeOf(e).Format(timeLayout)
	}
	return " " + span(timeOf(e).Sub(timeOf(t.story.received))) + " after the request came"
}

func (t *teller) ending() {
	s := t.story
	switch {
	case s.repeated():
		t.say("The same call, with the same idempotency key, was made before: the answer recorded then was given again.")
	case s.recorded != nil:
		t.say("The outcome was recorded%s, so that a resend gets the same answer.", note(s.recorded.Outcome))
	}
	switch {
	case s.final == nil:
		t.say("No end of it is on record: it may still be under way.%s", t.timeEnds())
	case s.final.Kind == timeline.KindFinished:
		t.say("The caller got the whole answer%s.", t.after(s.final))
	case s.final.Kind == timeline.KindCanceled:
		t.say("The caller gave it up%s.", t.after(s.final))
	default:
		t.say("The caller was told %s%s: %s.", s.final.Outcome, t.after(s.final), Meaning(s.final.Outcome))
	}
	if s.final != nil && s.final.Detail != "" && s.final.Kind != timeline.KindFinished {
		t.say("Note on that: %s.", s.final.Detail)
	}
}

// timeEnds tells when the request's time ends, when that is on record.
func (t *teller) timeEnds() string {
	received := t.story.received
	if received == nil || received.Remaining == 0 {
		return ""
	}
	return fmt.Sprintf(" Its time ends at %s.", timeOf(received).Add(received.Remaining).Format(timeLayout))
}

func (t *teller) whetherItRan() {
	s := t.story
	switch {
	case s.repeated():
		t.say("It was not run again.")
	case s.ran():
		t.say("It ran.")
	case s.began():
		t.say("Its work was begun; how far it got is not known.")
	case s.final != nil && (s.final.State == outcome.NotRun || s.final.Kind == timeline.KindRefused):
		t.say("It was not run%s.", sendAgain(s.final.Outcome))
	default:
		t.say("Whether it ran is not known.")
	}
}

// sendAgain adds, after a refusal that another time may not meet, that sending
// again does no harm.
func sendAgain(code string) string {
	switch outcome.Code(code) {
	case outcome.CodeInvalidRequest, outcome.CodeInvalidKey, outcome.CodeModelNotFound, outcome.CodePromptTooLong,
		outcome.CodeConflict, outcome.CodeUnsupported, outcome.CodeNotFound, outcome.CodeOutcomeUnknown:
		return ""
	default:
		return ", and may be sent again without harm"
	}
}

// missing tells which events the sentences had to do without.
func (t *teller) missing() {
	for _, u := range t.line.Unreachable {
		t.say("Daemon %s could not be asked, so what it saw is missing here.", u.Daemon)
	}
	for _, g := range t.line.Gaps {
		t.say("Daemon %s keeps no events from before %s, so what it saw earlier is missing here.", g.Daemon, g.Since.Format(timeLayout))
	}
	if t.story.received == nil {
		return
	}
	for _, a := range t.line.Asked {
		if a.Since.After(timeOf(t.story.received)) && !t.hasGap(a.Daemon) {
			t.say("Daemon %s started only at %s, after the request came: what it saw before is gone.", a.Daemon, a.Since.Format(timeLayout))
		}
	}
}

func (t *teller) hasGap(daemon string) bool {
	for _, g := range t.line.Gaps {
		if g.Daemon == daemon {
			return true
		}
	}
	return false
}

func orUnknown(s string) string {
	if s == "" {
		return "(not on record)"
	}
	return s
}

// number writes n with a comma between groups of three digits.
func number(n int) string {
	digits := strconv.Itoa(n)
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

// span writes a time span in words.
func span(d time.Duration) string {
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

// count writes a number with its unit.
func count(n int, unit string) string {
	if n == 1 {
		return "1 " + unit
	}
	return fmt.Sprintf("%d %ss", n, unit)
}
