package timeline

import (
	"sort"
	"time"
)

// Line is the events of many daemons in one order.
type Line struct {
	Events []Event `json:"events"`
	// Unreachable lists the daemons whose events are missing.
	Unreachable []Unreachable `json:"unreachable,omitempty"`
	// Gaps lists the daemons that have overwritten events of the asked range.
	Gaps []Gap `json:"gaps,omitempty"`
	// Asked lists the daemons that answered and since when they have every event.
	Asked []Answered `json:"asked,omitempty"`
}

// Unreachable is a daemon that could not be asked.
type Unreachable struct {
	Daemon string `json:"daemon"`
	Reason string `json:"reason"`
}

// Gap is what a daemon has lost: at most Lost events before Since.
type Gap struct {
	Daemon string    `json:"daemon"`
	Lost   uint64    `json:"lost"`
	Since  time.Time `json:"since"`
}

// Answered is a daemon that was asked.
type Answered struct {
	Daemon string    `json:"daemon"`
	Since  time.Time `json:"since"`
}

// Merge puts the parts into one line, ordered by stamp, then by daemon. A part
// that came twice counts once.
func Merge(parts []Part) Line {
	var line Line
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
	}
	sort.SliceStable(line.Events, func(i, j int) bool { return before(&line.Events[i], &line.Events[j]) })
	line.Events = unique(line.Events)
	sort.Slice(line.Unreachable, func(i, j int) bool { return line.Unreachable[i].Daemon < line.Unreachable[j].Daemon })
	sort.Slice(line.Gaps, func(i, j int) bool { return line.Gaps[i].Daemon < line.Gaps[j].Daemon })
	sort.Slice(line.Asked, func(i, j int) bool { return line.Asked[i].Daemon < line.Asked[j].Daemon })
	return line
}

// Whole reports whether no event is known to be missing.
func (l Line) Whole() bool { return len(l.Unreachable) == 0 && len(l.Gaps) == 0 }

func before(a, b *Event) bool {
	if a.Stamp() != b.Stamp() {
		return a.Stamp().Less(b.Stamp())
	}
	return a.Daemon < b.Daemon
}

// unique drops repeated events. A daemon never gives two events one stamp.
func unique(sorted []Event) []Event {
	kept := sorted[:0]
	for i, e := range sorted {
		if i > 0 && e.Daemon == sorted[i-1].Daemon && e.Stamp() == sorted[i-1].Stamp() {
			continue
		}
		kept = append(kept, e)
	}
	return kept
}
