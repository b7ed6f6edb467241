package timeline

import (
	"sort"
	"time"
)

// Timeline holds the events of many daemons in one order.
type Timeline struct {
	Events []Event `json:"events"`
	// Unreachable lists the daemons whose events are missing.
	Unreachable []Unreachable `json:"unreachable,omitempty"`
	// Gaps lists the daemons that have overwritten events of the queried range.
	Gaps []Gap `json:"gaps,omitempty"`
	// Cuts lists the daemons that left out events because of the limit.
	Cuts []Cut `json:"cuts,omitempty"`
	// Asked lists the daemons that answered and the time from which each has kept
	// every event.
	Asked []Answered `json:"asked,omitempty"`
}

// Unreachable is a daemon that could not be queried.
type Unreachable struct {
	Daemon string `json:"daemon"`
	Reason string `json:"reason"`
}

// Gap describes overwritten events of a daemon: at most Lost events before Since.
type Gap struct {
	Daemon string    `json:"daemon"`
	Lost   uint64    `json:"lost"`
	Since  time.Time `json:"since"`
}

// Cut describes events that a daemon still keeps but left out: Events older ones
// that match the query, from before Since.
type Cut struct {
	Daemon string    `json:"daemon"`
	Events uint64    `json:"events"`
	Since  time.Time `json:"since"`
}

// Answered is a daemon that answered the query.
type Answered struct {
	Daemon string    `json:"daemon"`
	Since  time.Time `json:"since"`
}

// Merge combines the parts into one timeline, ordered by stamp, then by daemon.
// Events that occur in more than one part are kept once.
func Merge(parts []Part) Timeline {
	var line Timeline
	for _, p := range parts {
		if p.Err != nil {
			line.Unreachable = append(line.Unreachable, Unreachable{Daemon: p.Daemon, Reason: p.Err.Error()})
			continue
		}
		line.Events = append(line.Events, p.Events...)
		line.Asked = append(line.Asked, Answered{Daemon: p.Daemon, Since: p.Since})
		if p.Lost > 0 {
			line.Gaps = append(line.Gaps, Gap{Daemon: p.Daemon, Lost: p.Lost, Since: p.Since})
		}
		if p.Cut > 0 {
			line.Cuts = append(line.Cuts, Cut{Daemon: p.Daemon, Events: p.Cut, Since: p.firstEvent()})
		}
	}
	sort.SliceStable(line.Events, func(i, j int) bool { return eventLess(&line.Events[i], &line.Events[j]) })
	line.Events = dedupe(line.Events)
	sort.Slice(line.Unreachable, func(i, j int) bool { return line.Unreachable[i].Daemon < line.Unreachable[j].Daemon })
	sort.Slice(line.Gaps, func(i, j int) bool { return line.Gaps[i].Daemon < line.Gaps[j].Daemon })
	sort.Slice(line.Cuts, func(i, j int) bool { return line.Cuts[i].Daemon < line.Cuts[j].Daemon })
	sort.Slice(line.Asked, func(i, j int) bool { return line.Asked[i].Daemon < line.Asked[j].Daemon })
	return line
}

// firstEvent returns the time of the oldest returned event, or zero.
func (p *Part) firstEvent() time.Time {
	if len(p.Events) == 0 {
		return time.Time{}
	}
	return p.Events[0].Stamp().Time()
}

// Complete reports whether no event is known to be missing.
func (l Timeline) Complete() bool {
	return len(l.Unreachable) == 0 && len(l.Gaps) == 0 && len(l.Cuts) == 0
}

func eventLess(a, b *Event) bool {
	if a.Stamp() != b.Stamp() {
		return a.Stamp().Less(b.Stamp())
	}
	return a.Daemon < b.Daemon
}

// dedupe removes repeated events. A daemon never gives two events the same stamp.
func dedupe(sorted []Event) []Event {
	kept := sorted[:0]
	for i, e := range sorted {
		if i > 0 && e.Daemon == sorted[i-1].Daemon && e.Stamp() == sorted[i-1].Stamp() {
			continue
		}
		kept = append(kept, e)
	}
	return kept
}
