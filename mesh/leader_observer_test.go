package mesh

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

// logLines decodes the lines of a JSON log.
func logLines(g *WithT, text []byte) []map[string]any {
	var out []map[string]any
	for line := range bytes.Lines(text) {
		var fields map[string]any
		g.Expect(json.Unmarshal(line, &fields)).To(Succeed())
		delete(fields, "time")
		out = append(out, fields)
	}
	return out
}

// TestMemberWithoutLeaderTellsWhy guards against a record that can't tell why there is no leader,
// and against a log that fills up meanwhile.
func TestMemberWithoutLeaderTellsWhy(t *testing.T) {
	g := NewWithT(t)
	var text bytes.Buffer
	start := time.Unix(1000, 0)
	o := leaderObserver{log: slog.New(slog.NewJSONHandler(&text, nil)), nextReport: start.Add(leaderlessReport)}
	put, err := document.EncodePut(document.Document{Number: 7, Body: []byte("x")})
	g.Expect(err).NotTo(HaveOccurred())
	s := quorum.Status{
		DiskIdentity: "d1", Role: quorum.Candidate, Term: 9, Commit: 11, LastIndex: 13,
		Voters: []quorum.Member{{Name: "a", Disk: "d1"}, {Name: "b", Disk: "d2"}, {Name: "c", Disk: "d3"}},
		Election: quorum.ElectionProgress{
			Silence: 4500 * time.Millisecond, Attempts: 12, Granted: 1, Refused: 1, RefusedBy: []string{"b"}, SilentVoters: []string{"c"},
			LateVotes: 3, SlowestReply: 300 * time.Millisecond, SlowestSync: 700 * time.Millisecond,
			Uncommitted: []quorum.Entry{{Kind: quorum.EntryCommand, Data: put}, {Kind: quorum.EntryEmpty}},
		},
	}
	const seconds = 20
	for tick := range seconds * int(time.Second/quorumTickInterval) {
		o.observe(start.Add(time.Duration(tick)*quorumTickInterval), s)
	}
	lines := logLines(g, text.Bytes())
	g.Expect(lines).To(HaveLen(seconds/2 - 1))
	for _, line := range lines {
		g.Expect(line).To(Equal(map[string]any{
			"level": "WARN", "msg": "no leader", "step": "mesh.leader", "role": "candidate", "voter": true, "term": 9.0,
			"silence_ms": 4500.0, "elections": 12.0, "granted": 1.0, "refused": "1 b", "voters": 3.0, "silent": "1 c",
			"refused_by": []any{"b"}, "silent_names": []any{"c"}, "late_votes": 3.0, "reply_ms": 300.0, "sync_ms": 700.0,
			"commit": 11.0, "last_index": 13.0, "uncommitted_document": 7.0,
		}))
	}
	g.Expect(leaderSilence.Get()).To(Equal(4.5))

	text.Reset()
	heard := quorum.Status{HasQuorum: true, Leader: "b", Term: 10}
	for tick := range 50 {
		o.observe(start.Add(seconds*time.Second+time.Duration(tick)*quorumTickInterval), heard)
	}
	g.Expect(logLines(g, text.Bytes())).To(Equal([]map[string]any{{
		"level": "INFO", "msg": "leader heard again", "step": "mesh.leader", "name": "b", "term": 10.0, "role": "follower",
	}}))
	g.Expect(leaderSilence.Get()).To(BeZero())

	text.Reset()
	s.DiskIdentity = "learner"
	o.observe(start.Add(time.Hour), s)
	g.Expect(logLines(g, text.Bytes())).To(ConsistOf(HaveKeyWithValue("voter", false)))
}

// TestShortElectionIsNotReported guards against lines about every change of the leader.
func TestShortElectionIsNotReported(t *testing.T) {
	g := NewWithT(t)
	var text bytes.Buffer
	now := time.Unix(1000, 0)
	o := leaderObserver{log: slog.New(slog.NewJSONHandler(&text, nil)), nextReport: now.Add(leaderlessReport)}
	for range 10 {
		for range 15 {
			now = now.Add(quorumTickInterval)
			o.observe(now, quorum.Status{})
		}
		o.observe(now, quorum.Status{HasQuorum: true})
	}
	g.Expect(text.String()).To(BeEmpty())
}

// TestLeaderStateOfFleet compares what entries tell others of the leader with what is true: on
// the leader, a follower, an entry without a disk, and a member whose quorum is lost.
func TestLeaderStateOfFleet(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, testMembers+1)
	leader := f.awaitLeader(g)
	name := leader.options.Name
	g.Expect(leader.LeaderState()).To(MatchRegexp(`^leader in term \d+ of leader ` + name + `$`))
	g.Expect(f.entries[testMembers].LeaderState()).To(Equal("no member, disk none"))
	status, err := (&peerService{mesh: leader.Mesh}).Status(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status.Msg.GetQuorum().GetWantedVoters()).To(BeEquivalentTo(3))
	g.Expect(status.Msg.GetQuorum().GetRole()).To(Equal("leader"))
	var follower *testEntry
	for _, e := range f.entries[:testMembers] {
		if e == leader {
			continue
		}
		g.Eventually(e.LeaderState).WithTimeout(10 * time.Second).Should(MatchRegexp(`^follower in term \d+ of leader ` + name + `$`))
		follower = e
	}
	// A member hears the leader before it has the configuration that names it as a voter, and asks
	// for no votes until then.
	g.Eventually(func() int { return len(follower.quorum.currentNode().Status().Voters) }).WithTimeout(10 * time.Second).Should(Equal(testMembers))
	for _, e := range f.entries[:testMembers] {
		if e != follower {
			e.end()
		}
	}
	g.Eventually(follower.LeaderState).WithTimeout(20 * time.Second).Should(
		MatchRegexp(`^pre_candidate in term \d+, no leader heard for \d{4,} ms, [1-9]\d* elections started, the last with 1 votes of 3 and 0 refused$`))
	e := follower.quorum.currentNode().Status().Election
	g.Expect(e.SilentVoters).To(HaveLen(2))
	g.Expect(e.RefusedBy).To(BeEmpty())

	follower.quorum.stop()
	follower.quorum.setDiskHealth(DiskHealth{State: DiskFailing, Err: errors.New("full")})
	g.Expect(follower.LeaderState()).To(Equal("no member, disk failing"))
}

// TestLeaderAddressLineIsBounded guards against a line for each call while entries name different
// leaders to each other.
func TestLeaderAddressLineIsBounded(t *testing.T) {
	g := NewWithT(t)
	var text bytes.Buffer
	var r hintReporter
	log := slog.New(slog.NewJSONHandler(&text, nil))
	now := time.Unix(1000, 0)
	before := hintChanges.Get()
	for i := range 1000 {
		r.changed(log, now.Add(time.Duration(i)*10*time.Millisecond), fmt.Sprint(i), fmt.Sprint(i+1), "b")
	}
	lines := logLines(g, text.Bytes())
	g.Expect(lines).To(HaveLen(10))
	g.Expect(lines[0]).To(Equal(map[string]any{
		"level": "INFO", "msg": "leader address", "step": "mesh.leader", "address": "1", "before": "0", "source": "b", "unreported": 0.0,
	}))
	for _, line := range lines[1:] {
		g.Expect(line).To(HaveKeyWithValue("unreported", 99.0))
	}
	g.Expect(hintChanges.Get() - before).To(BeEquivalentTo(1000))

	// Naming the same address again is no change.
	text.Reset()
	m := New(Options{Name: "a", Address: "127.0.0.1:1", Log: log})
	m.NoteDenial("127.0.0.1:9", Denial{Leader: "127.0.0.1:2", LeaderTerm: 1})
	m.NoteDenial("127.0.0.1:9", Denial{Leader: "127.0.0.1:2", LeaderTerm: 1})
	g.Expect(strings.Count(text.String(), "leader address")).To(Equal(1))
	g.Expect(text.String()).To(ContainSubstring(`"source":"denial"`))
}

// TestUnconfirmedConfigurationIsReported guards against an older version that comes into force
// while no line tells that no quorum confirmed it.
func TestUnconfirmedConfigurationIsReported(t *testing.T) {
	g := NewWithT(t)
	var text bytes.Buffer
	m := New(Options{Name: "a", Address: "127.0.0.1:1", Log: slog.New(slog.NewJSONHandler(&text, nil))})
	m.startedAt = time.Now().Add(-confirmWait - time.Second)
	m.newest = facts{Name: "b", Document: 4}
	m.applyDocument(document.Document{Number: 4, Body: []byte("x")}, false)
	g.Expect(configurationUnconfirmed.Get()).To(Equal(1.0))
	lines := logLines(g, text.Bytes())
	g.Expect(lines).To(HaveLen(1))
	g.Expect(lines[0]).To(And(
		HaveKeyWithValue("level", "WARN"), HaveKeyWithValue("msg", "configuration in force"), HaveKeyWithValue("number", 4.0),
		HaveKeyWithValue("confirmed", false), HaveKeyWithValue("source", "entry"), HaveKeyWithValue("reported_by", "b"),
		HaveKeyWithValue("since_start_ms", BeNumerically(">", 3000)),
	))
	text.Reset()
	m.applyDocument(document.Document{Number: 5, Body: []byte("y")}, true)
	g.Expect(configurationUnconfirmed.Get()).To(BeZero())
	g.Expect(text.String()).To(ContainSubstring(`"level":"INFO","msg":"configuration in force"`))
}
