package mesh

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/recovery"
)

func newTestMemberObserver(t *testing.T) (*memberObserver, *bytes.Buffer) {
	var out bytes.Buffer
	m := New(Options{Name: longNames[0], Address: "127.0.0.1:1", Log: newCollectedLog(&out)})
	t.Cleanup(m.Stop)
	return &memberObserver{manager: m.quorum}, &out
}

// TestLeaderReportsMissingVoters guards against a quorum that counts fewer voters than wanted, or
// silent ones, while the leader's log doesn't tell what it waits for.
func TestLeaderReportsMissingVoters(t *testing.T) {
	g := NewWithT(t)
	o, out := newTestMemberObserver(t)
	now := time.Unix(1000, 0)
	lines := func() []string {
		text := collected(out, "quorum incomplete")
		out.Reset()
		return text
	}
	all := votersNamed(longNames)
	silent := func(silence time.Duration, caughtUp bool) quorum.MemberProgress {
		return quorum.MemberProgress{Silence: silence, CaughtUp: caughtUp}
	}
	s := quorum.Status{DiskIdentity: "d0", Voters: all[:5], Learners: all[5:], Progress: map[quorum.DiskIdentity]quorum.MemberProgress{
		"d1": silent(3*time.Second, true), "d2": silent(3*time.Second, true),
	}}
	view := map[string]recovery.Disk{}
	for _, m := range all {
		view[m.Name] = recovery.Disk{Member: m}
	}
	const seconds = 20
	for range seconds * int(time.Second/reconcileInterval) {
		o.observe(now, s, view, 5)
		now = now.Add(reconcileInterval)
	}
	g.Expect(lines()).To(And(HaveLen(seconds/2), HaveEach(ContainSubstring(
		`"voters":5,"wanted":5,"silent":"2 three-2 two-1","waits_for":"one-2 not caught up"`))))
	g.Expect(quorumWanted.Get()).To(Equal(5.0))

	// A fleet with too few disks for good doesn't fill its log.
	for range 3600 * int(time.Second/reconcileInterval) {
		o.observe(now, s, view, 5)
		now = now.Add(reconcileInterval)
	}
	g.Expect(len(lines())).To(BeNumerically("<=", 3600/30+30))

	waits := func(l quorum.Member, progress quorum.MemberProgress) string {
		s.Learners, s.Progress = []quorum.Member{l}, map[quorum.DiskIdentity]quorum.MemberProgress{l.Disk: progress}
		return o.waitsFor(s)
	}
	g.Expect(waits(all[5], silent(1234*time.Millisecond, true))).To(Equal("one-2 silent 1234 ms"))
	g.Expect(waits(all[5], silent(0, true))).To(Equal("one-2 settles"))
	replaces := quorum.Member{Name: longNames[4], Disk: "new", Replaces: "d4"}
	g.Expect(waits(replaces, silent(0, true))).To(Equal("one-1 replaces its lost disk"))
	s.Learners = nil
	for reason, disk := range map[string]recovery.Disk{
		"has left": {Left: true}, "does not answer": {Silent: true}, "runs no member": {}, "to be added": {Member: all[5]},
	} {
		o.view = map[string]recovery.Disk{longNames[0]: {}, longNames[5]: disk}
		g.Expect(o.waitsFor(s)).To(Equal("one-2 " + reason))
	}
	o.view = nil
	g.Expect(o.waitsFor(s)).To(Equal("another disk"))

	// It begins anew once the quorum was complete.
	s.Progress = nil
	o.observe(now, s, view, 5)
	out.Reset()
	o.observe(now.Add(time.Second), s, view, 6)
	g.Expect(lines()).To(ConsistOf(ContainSubstring(`"voters":5,"wanted":6,"silent":"0","waits_for":"one-2 to be added"`)))
	o.reset()
	g.Expect(quorumWanted.Get()).To(BeZero())
}

// TestReasonTellsSilenceToEarlierLeaders guards against a voter that seems to be removed after a silence
// that is too short: it was silent to the leaders before this one, too.
func TestReasonTellsSilenceToEarlierLeaders(t *testing.T) {
	g := NewWithT(t)
	o, _ := newTestMemberObserver(t)
	voters := votersNamed(longNames)
	s := quorum.Status{Voters: voters, Progress: map[quorum.DiskIdentity]quorum.MemberProgress{
		voters[1].Disk: {Silence: 300 * time.Millisecond, TotalSilence: 2150 * time.Millisecond},
	}}
	g.Expect(o.reasons([]quorum.Change{{Kind: quorum.Remove, Member: voters[1]}}, s)).To(Equal([]string{"gone for 2150 ms"}))
}

// TestCutLineOfMemberChangeTellsReason guards against a change of the members whose effect on
// the majority, reason or failure can't be told from the log.
func TestCutLineOfMemberChangeTellsReason(t *testing.T) {
	g := NewWithT(t)
	o, out := newTestMemberObserver(t)
	all := votersNamed(longNames)
	s := quorum.Status{Voters: all[:4], Learners: all[4:], Progress: map[quorum.DiskIdentity]quorum.MemberProgress{"d1": {Silence: 2125 * time.Millisecond}}}
	o.wanted, o.view = 5, map[string]recovery.Disk{longNames[2]: {Left: true}}
	changes := []quorum.Change{
		{Kind: quorum.Remove, Member: all[1]},
		{Kind: quorum.Remove, Member: all[2]},
		{Kind: quorum.Promote, Member: all[4]},
		{Kind: quorum.AddLearner, Member: all[5]},
	}
	reasons := o.reasons(changes, s)
	for i, change := range changes {
		o.logChange(s, change, reasons[i], nil)
	}
	o.logChange(s, changes[2], reasons[2], quorum.ErrNotCaughtUp)
	o.wanted = 4
	o.logChange(s, changes[2], o.reasons(changes[2:3], s)[0], nil)
	g.Expect(collected(out, "members of the quorum")).To(HaveExactElements(
		ContainSubstring(`"voters":4,"learners":2,"change":"remove three-2","reason":"gone for 2125 ms"`),
		ContainSubstring(`"voters":4,"learners":2,"change":"remove two-1","reason":"left"`),
		ContainSubstring(`"voters":4,"learners":2,"change":"promote one-1","reason":"settled, 4 of 5 voters"`),
		ContainSubstring(`"voters":4,"learners":2,"change":"add_learner one-2","reason":"4 of 5 voters"`),
		And(ContainSubstring(`"level":"WARN"`), ContainSubstring(`"change":"promote one-1","error":"learner has not caught`)),
		ContainSubstring(`"voters":4,"learners":2,"change":"promote one-1","reason":"settled, one gone"`),
	))
}
