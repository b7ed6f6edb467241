package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jacinthplank/jacinthplank/outcome"
)

// timeLayout is the format of event times in the text and the HTML page.
const timeLayout = "2006-01-02 15:04:05.000000"

// WriteText writes the timeline as a table, preceded by the warnings.
func (l Timeline) WriteText(w io.Writer) error {
	for _, warning := range l.Warnings() {
		if _, err := fmt.Fprintln(w, "! "+warning); err != nil {
			return err
		}
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME (UTC)\tDAEMON\tEVENT\tREQUEST\tABOUT")
	for i := range l.Events {
		e := &l.Events[i]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", e.Stamp().Time().Format(timeLayout), e.Daemon, e.Kind, requestLabel(e), e.Summary())
	}
	return table.Flush()
}

// Warnings returns one sentence for each daemon whose events may be missing.
func (l Timeline) Warnings() []string {
	var warnings []string
	for _, u := range l.Unreachable {
		warnings = append(warnings, fmt.Sprintf("Daemon %s could not be asked: its events are missing (%s).", u.Daemon, u.Reason))
	}
	for _, g := range l.Gaps {
		warnings = append(warnings, fmt.Sprintf("Daemon %s keeps no events from before %s: at most %d are missing.", g.Daemon, g.Since.Format(timeLayout), g.Lost))
	}
	for _, c := range l.Cuts {
		warnings = append(warnings, fmt.Sprintf("Daemon %s left out %d older events that match, because of the limit: it returned those from %s.", c.Daemon, c.Events, c.Since.Format(timeLayout)))
	}
	return warnings
}

// Summary returns the fields of the event that are set, in human-readable form.
func (e *Event) Summary() string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("account", e.Account)
	add("endpoint", e.Endpoint)
	if e.Tokens > 0 {
		add("tokens", fmt.Sprint(e.Tokens))
	}
	if e.Remaining > 0 {
		add("remaining", e.Remaining.Round(time.Millisecond).String())
	}
	add("outcome", e.Outcome)
	if e.hasState() {
		add("state", e.State.String())
	}
	add("step", e.Step)
	add("peer", e.Peer)
	if e.Detail != "" {
		parts = append(parts, "("+e.Detail+")")
	}
	return strings.Join(parts, " ")
}

func (e *Event) hasState() bool {
	return e.Kind == KindRefused || e.Kind == KindFailed || e.State != outcome.Unknown
}

func requestLabel(e *Event) string {
	if e.Attempt == 0 {
		return e.Request
	}
	return fmt.Sprintf("%s/%d", e.Request, e.Attempt)
}

// WriteJSON writes the timeline as one JSON object.
func (l Timeline) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(l)
}

// jsonEvent is the JSON form of an event.
type jsonEvent struct {
	Time      string `json:"time"`
	WallUs    int64  `json:"wall_us"`
	Logical   uint32 `json:"logical"`
	Daemon    string `json:"daemon"`
	Kind      Kind   `json:"kind"`
	Request   string `json:"request,omitempty"`
	Attempt   uint32 `json:"attempt,omitempty"`
	Account   string `json:"account,omitempty"`
	Endpoint  string `json:"endpoint,omitempty"`
	Step      string `json:"step,omitempty"`
	Peer      string `json:"peer,omitempty"`
	Outcome   string `json:"outcome,omitempty"`
	State     string `json:"state,omitempty"`
	Tokens    int    `json:"tokens,omitempty"`
	Remaining string `json:"remaining,omitempty"`
	Detail    string `json:"detail,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (e Event) MarshalJSON() ([]byte, error) {
	out := jsonEvent{
		Time:     e.Stamp().Time().Format(time.RFC3339Nano),
		WallUs:   e.WallMicros,
		Logical:  e.Logical,
		Daemon:   e.Daemon,
		Kind:     e.Kind,
		Request:  e.Request,
		Attempt:  e.Attempt,
		Account:  e.Account,
		Endpoint: e.Endpoint,
		Step:     e.Step,
		Peer:     e.Peer,
		Outcome:  e.Outcome,
		Tokens:   e.Tokens,
		Detail:   e.Detail,
	}
	if e.hasState() {
		out.State = e.State.String()
	}
	if e.Remaining > 0 {
		out.Remaining = e.Remaining.String()
	}
	return json.Marshal(out)
}
