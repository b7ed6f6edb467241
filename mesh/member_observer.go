package mesh

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/recovery"
	"github.com/jacinthplank/jacinthplank/coord/shortname"
)

// Members of the quorum as the leader sees them; 0 on the other entries.
var (
	quorumVoters   = metrics.NewGauge("jacinthplank_mesh_quorum_voters", nil)
	quorumWanted   = metrics.NewGauge("jacinthplank_mesh_quorum_voters_wanted", nil)
	quorumLearners = metrics.NewGauge("jacinthplank_mesh_quorum_learners", nil)
	quorumSilent   = metrics.NewGauge("jacinthplank_mesh_quorum_members_silent", nil)
)

const (
	// incompleteReport is how often the leader reports that voters are missing or silent, and
	// longIncompleteReport after the first minute: a fleet may have too few disks for good.
	incompleteReport     = 2 * time.Second
	longIncompleteReport = 30 * time.Second
	// maxSilentListBytes bounds the names of silent voters, so that what the leader waits for
	// stands in the first 200 characters of the line.
	maxSilentListBytes = 16
)

// memberObserver reports members of the quorum that don't reply to this leader, and the changes
// of the members.
type memberObserver struct {
	manager *quorumManager
	silent  map[quorum.DiskIdentity]bool
	view    map[string]recovery.Disk
	wanted  int

	incompleteSince time.Time // zero while nothing is missing
	nextIncomplete  time.Time
}

// observe updates the gauges and logs each member that has become silent or replies again.
// wanted is the number of voters that the quorum should have.
func (o *memberObserver) observe(now time.Time, s quorum.Status, view map[string]recovery.Disk, wanted int) {
	o.view, o.wanted = view, wanted
	silent := map[quorum.DiskIdentity]bool{}
	for _, m := range (quorum.Configuration{Voters: s.Voters, Learners: s.Learners}).Members() {
		silence := s.Progress[m.Disk].Silence
		if silence > recovery.GoneTimeout {
			silent[m.Disk] = true
		}
		if silent[m.Disk] == o.silent[m.Disk] {
			continue
		}
		_, known := view[m.Name]
		o.manager.log.Warn("quorum member", "member", m.Name, "silent", silent[m.Disk], "silence_ms", silence.Milliseconds(),
			"entry_known", known, "disk", m.Disk, "step", "mesh.silent")
	}
	o.silent = silent
	quorumVoters.Set(float64(len(s.Voters)))
	quorumWanted.Set(float64(wanted))
	quorumLearners.Set(float64(len(s.Learners)))
	quorumSilent.Set(float64(len(silent)))
	o.reportIncomplete(now, s)
}

// reset clears the gauges on an entry that doesn't lead.
func (o *memberObserver) reset() {
	o.silent, o.incompleteSince = nil, time.Time{}
	quorumVoters.Set(0)
	quorumWanted.Set(0)
	quorumLearners.Set(0)
	quorumSilent.Set(0)
}

// reportIncomplete logs regularly that there are fewer voters than wanted or that some are
// silent, and what the leader waits for before it changes that.
func (o *memberObserver) reportIncomplete(now time.Time, s quorum.Status) {
	var all, silent []string
	for _, v := range s.Voters {
		all = append(all, v.Name)
		if o.silent[v.Disk] {
			silent = append(silent, v.Name)
		}
	}
	if len(silent) == 0 && len(s.Voters) >= o.wanted {
		o.incompleteSince = time.Time{}
		return
	}
	if o.incompleteSince.IsZero() {
		o.incompleteSince, o.nextIncomplete = now, now
	}
	if now.Before(o.nextIncomplete) {
		return
	}
	interval := incompleteReport
	if now.Sub(o.incompleteSince) >= time.Minute {
		interval = longIncompleteReport
	}
	o.nextIncomplete = now.Add(interval)
	o.manager.log.Warn("quorum incomplete", "voters", len(s.Voters), "wanted", o.wanted, "silent", shortname.List(silent, all, maxSilentListBytes),
		"waits_for", o.waitsFor(s), "learners", len(s.Learners), "for_ms", now.Sub(o.incompleteSince).Milliseconds(),
		"silent_names", silent, "step", "mesh.keeper")
}

// waitsFor tells why no further voter is there yet: what each learner lacks, or else why no other
// disk is one.
func (o *memberObserver) waitsFor(s quorum.Status) string {
	var reasons []string
	names := o.names(s)
	for _, l := range s.Learners {
		progress := s.Progress[l.Disk]
		reason := "settles"
		switch {
		case progress.Silence > time.Second:
			reason = fmt.Sprintf("silent %d ms", progress.Silence.Milliseconds())
		case !progress.CaughtUp:
			reason = "not caught up"
		case l.Replaces != "":
			reason = "replaces its lost disk"
		}
		reasons = append(reasons, shortname.Trim(l.Name, names)+" "+reason)
	}
	if len(reasons) > 0 {
		return strings.Join(reasons, ", ")
	}
	for _, name := range slices.Sorted(maps.Keys(o.view)) {
		if slices.ContainsFunc(s.Voters, func(v quorum.Member) bool { return v.Name == name }) {
			continue
		}
		disk, reason := o.view[name], "to be added"
		switch {
		case disk.Left:
			reason = "has left"
		case disk.Silent:
			reason = "does not answer"
		case disk.Member.Disk == "":
			reason = "runs no member"
		}
		reasons = append(reasons, shortname.Trim(name, names)+" "+reason)
	}
	return cmp.Or(strings.Join(reasons, ", "), "another disk")
}

// names returns the names of the members and of the known entries with a disk.
func (o *memberObserver) names(s quorum.Status) []string {
	names := slices.Collect(maps.Keys(o.view))
	for _, m := range slices.Concat(s.Voters, s.Learners) {
		names = append(names, m.Name)
	}
	return names
}

// reasons tells why each of the changes is made, before the first one is.
func (o *memberObserver) reasons(changes []quorum.Change, s quorum.Status) []string {
	var out []string
	for _, change := range changes {
		reason := ""
		switch m := change.Member; {
		case change.Kind == quorum.Remove && o.view[m.Name].Left:
			reason = "left"
		case change.Kind == quorum.Remove:
			p := s.Progress[m.Disk]
			reason = fmt.Sprintf("gone for %d ms", max(p.Silence, p.TotalSilence).Milliseconds())
		case change.Kind == quorum.AddLearner:
			reason = fmt.Sprintf("%d of %d voters", len(s.Voters), o.wanted)
		case len(s.Voters) < o.wanted:
			reason = fmt.Sprintf("settled, %d of %d voters", len(s.Voters), o.wanted)
		default:
			reason = "settled, one gone"
		}
		out = append(out, reason)
	}
	return out
}

// logChange logs a change of the members with the status after it. It may run while the next
// observe does.
func (o *memberObserver) logChange(s quorum.Status, change quorum.Change, reason string, err error) {
	all := []string{change.Member.Name}
	for _, m := range slices.Concat(s.Voters, s.Learners) {
		all = append(all, m.Name)
	}
	fields := []any{
		"voters", len(s.Voters), "learners", len(s.Learners),
		"change", change.Kind.String() + " " + shortname.Trim(change.Member.Name, all),
	}
	rest := []any{"reason", reason, "member", change.Member.Name, "disk", change.Member.Disk, "step", "mesh.keeper"}
	if err != nil {
		fields = append(fields, "error", strings.TrimPrefix(err.Error(), "quorum: "))
		o.manager.log.Warn("members of the quorum", append(fields, rest...)...)
		return
	}
	o.manager.log.Info("members of the quorum", append(fields, rest...)...)
}
