package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/shortname"
)

const (
	// leaderlessReport is how often a member without a leader reports how it tries to get one. An
	// election takes less.
	leaderlessReport = 2 * time.Second
	// hintReport bounds the lines about addresses of leaders that entries tell each other.
	hintReport = time.Second
)

var (
	leaderSilence = metrics.NewGauge("jacinthplank_mesh_leader_silence_seconds", nil)
	hintChanges   = metrics.NewCounter("jacinthplank_mesh_leader_address_changes_total")

	configurationUnconfirmed = metrics.NewGauge("jacinthplank_mesh_configuration_unconfirmed", nil)
)

// leaderObserver reports when this entry's member has no leader, and why.
type leaderObserver struct {
	log        *slog.Logger
	nextReport time.Time
	leaderless bool
}

// observe is called regularly with the status of the member.
func (o *leaderObserver) observe(now time.Time, s quorum.Status) {
	if s.HasQuorum {
		leaderSilence.Set(0)
		if o.leaderless {
			o.log.Info("leader heard again", "step", "mesh.leader", "name", s.Leader, "term", s.Term, "role", s.Role.String())
		}
		o.leaderless, o.nextReport = false, now.Add(leaderlessReport)
		return
	}
	leaderSilence.Set(s.Election.Silence.Seconds())
	if now.Before(o.nextReport) {
		return
	}
	o.leaderless, o.nextReport = true, now.Add(leaderlessReport)
	e := s.Election
	silent, refused := voterLists(s)
	// Collectors may cut a line after 200 characters: what tells causes apart comes first.
	o.log.Warn("no leader", "voters", len(s.Voters), "granted", e.Granted, "silent", silent, "refused", refused,
		"role", s.Role.String(), "voter", isVoter(s), "term", s.Term, "silence_ms", e.Silence.Milliseconds(), "elections", e.Attempts,
		"late_votes", e.LateVotes, "reply_ms", e.SlowestReply.Milliseconds(), "sync_ms", e.SlowestSync.Milliseconds(),
		"commit", s.Commit, "last_index", s.LastIndex, "uncommitted_document", uncommittedDocument(e),
		"silent_names", e.SilentVoters, "refused_by", e.RefusedBy, "step", "mesh.leader")
}

// maxVoterListBytes bounds the two lists of voters together, so that both stand in the first
// 200 characters of a line with an instance name of 18 characters.
const maxVoterListBytes = 46

// voterLists returns the voters that have not replied to the current attempt, and those that
// refused their vote: how many, and their abbreviated names.
func voterLists(s quorum.Status) (silent, refused string) {
	var all []string
	for _, v := range s.Voters {
		all = append(all, v.Name)
	}
	refused = shortname.List(s.Election.RefusedBy, all, maxVoterListBytes/2)
	silent = shortname.List(s.Election.SilentVoters, all, maxVoterListBytes-len(refused))
	return silent, shortname.List(s.Election.RefusedBy, all, maxVoterListBytes-len(silent))
}

// uncommittedDocument returns the number of the last document of the log that may or may not be
// committed, 0 if there is none.
func uncommittedDocument(e quorum.ElectionProgress) uint64 {
	for _, entry := range slices.Backward(e.Uncommitted) {
		if entry.Kind != quorum.EntryCommand {
			continue
		}
		if number, ok := document.PutNumber(entry.Data); ok {
			return number
		}
	}
	return 0
}

func isVoter(s quorum.Status) bool {
	_, ok := (quorum.Configuration{Voters: s.Voters}).Voter(s.DiskIdentity)
	return ok
}

// LeaderState tells what this entry knows of the quorum's leader, for errors of other entries
// that took it for the leader.
func (m *Mesh) LeaderState() string {
	node := m.quorum.currentNode()
	if node == nil {
		return fmt.Sprintf("no member, disk %s", m.Disk().State)
	}
	s := node.Status()
	e := s.Election
	if s.HasQuorum {
		return fmt.Sprintf("%s in term %d of leader %s", s.Role, s.Term, s.Leader)
	}
	return fmt.Sprintf("%s in term %d, no leader heard for %d ms, %d elections started, the last with %d votes of %d and %d refused",
		s.Role, s.Term, e.Silence.Milliseconds(), e.Attempts, e.Granted, len(s.Voters), e.Refused)
}

// reportInForce logs that a document has come into force. source names where it comes from: the
// log of this entry, which may be older than the quorum's, or another entry. The caller holds the lock.
func (m *Mesh) reportInForce(d document.Document, before uint64) {
	source := "log"
	if m.quorum.state.register.Current().Number < d.Number {
		source = "entry"
	}
	newest := ""
	if m.newest.Document == d.Number {
		newest = m.newest.Name
	}
	unconfirmed := 0.0
	level := slog.LevelInfo
	if !m.confirmed {
		// Another version may have been acknowledged since.
		level, unconfirmed = slog.LevelWarn, 1
	}
	configurationUnconfirmed.Set(unconfirmed)
	m.log.Log(context.Background(), level, "configuration in force", "step", "mesh.configuration", "number", d.Number, "before", before,
		"confirmed", m.confirmed, "source", source, "reported_by", newest, "since_start_ms", time.Since(m.startedAt).Milliseconds())
}

// hintReporter logs the addresses of leaders that this entry takes from others.
type hintReporter struct {
	nextReport time.Time
	unreported int
}

// changed reports that the address has changed; source is the entry or the call that named it.
func (r *hintReporter) changed(log *slog.Logger, now time.Time, before, address, source string) {
	hintChanges.Inc()
	if now.Before(r.nextReport) {
		r.unreported++
		return
	}
	log.Info("leader address", "step", "mesh.leader", "address", address, "before", before, "source", source, "unreported", r.unreported)
	r.nextReport, r.unreported = now.Add(hintReport), 0
}
