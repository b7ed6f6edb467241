package mesh

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// collectedBytes is what the collectors of a fleet keep of a line of its logs.
const collectedBytes = 200

// longNames are the names of a fleet in which they are long.
var longNames = []string{
	"front-zone-three-1", "front-zone-three-2", "front-zone-two-1", "front-zone-two-2", "front-zone-one-1", "front-zone-one-2",
}

// newCollectedLog returns a logger of an instance with a long name, as the daemon makes it, and
// times of full length.
func newCollectedLog(out *bytes.Buffer) *slog.Logger {
	fullTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.String(a.Key, "2026-12-07T07:07:32.123456789Z")
		}
		return a
	}
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{ReplaceAttr: fullTime})).With("instance", longNames[0])
}

// collected returns the lines with the given message as a collector keeps them.
func collected(out *bytes.Buffer, message string) []string {
	var lines []string
	for line := range strings.Lines(out.String()) {
		if strings.Contains(line, fmt.Sprintf("%q:%q", "msg", message)) {
			lines = append(lines, line[:min(len(line), collectedBytes)])
		}
	}
	return lines
}

func votersNamed(names []string) []quorum.Member {
	var out []quorum.Member
	for i, name := range names {
		out = append(out, quorum.Member{Name: name, Disk: quorum.DiskIdentity(fmt.Sprintf("d%d", i))})
	}
	return out
}

// TestCutLineOfElectionTellsVotes guards against the record of 2026-12-07, in which the lines of a
// member without a leader ended before its votes.
func TestCutLineOfElectionTellsVotes(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	o := leaderObserver{log: newCollectedLog(&out)}
	s := quorum.Status{DiskIdentity: "d0", Role: quorum.PreCandidate, Term: 1234, Voters: votersNamed(longNames)}
	s.Election = quorum.ElectionProgress{
		Granted: 1, Refused: 2, RefusedBy: longNames[1:3], SilentVoters: longNames[3:], Attempts: 123456, Silence: time.Hour,
	}
	o.observe(time.Unix(1000, 0), s)
	s.Election.RefusedBy, s.Election.SilentVoters = nil, longNames[1:]
	o.observe(time.Unix(1010, 0), s)
	// A member that isn't a voter.
	o.observe(time.Unix(1020, 0), quorum.Status{DiskIdentity: "d9"})
	// Names that have nothing in common.
	s.Voters = votersNamed([]string{"a", strings.Repeat("b", 90), strings.Repeat("c", 90)})
	s.Election.RefusedBy, s.Election.SilentVoters = []string{s.Voters[1].Name}, []string{s.Voters[2].Name}
	o.observe(time.Unix(1030, 0), s)

	g.Expect(collected(&out, "no leader")).To(HaveExactElements(
		ContainSubstring(`"voters":6,"granted":1,"silent":"3 two-2 one-1 one-2","refused":"2 three-2 two-1"`),
		ContainSubstring(`"voters":6,"granted":1,"silent":"5 three-2 two-1 two-2 one-1 one-2","refused":"0"`),
		ContainSubstring(`"voters":0,"granted":0,"silent":"0","refused":"0","role":"follower","voter":false`),
		ContainSubstring(`"voters":3,"granted":1,"silent":"1 +1","refused":"1 +1"`),
	))
}

// TestEntryWithoutMemberReportsItsDisk guards against an entry with a disk that is silent while
// its member doesn't run: whether the quorum lacks it can't be told from its log.
func TestEntryWithoutMemberReportsItsDisk(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	m := New(Options{Name: longNames[0], Address: "127.0.0.1:1", DataFolder: t.TempDir(), Log: newCollectedLog(&out)})
	t.Cleanup(m.Stop)
	corrupt := &wal.CorruptError{File: "log-00000000000000a1", Offset: 123456, Reason: "invalid frame, although a valid frame follows: this one was synced"}
	m.quorum.setDiskHealth(DiskHealth{
		State: DiskRefused, Err: fmt.Errorf("quorum: cannot open the disk of %s: %w", longNames[0], corrupt),
		Kept: errors.Join(errNoQuorum, fmt.Errorf("%w: 2 of 5 voters hold entry 12", quorum.ErrNotExpendable)),
	})
	out.Reset()
	start := time.Now()
	r := newStateReporter(m.quorum, start)
	const seconds = 20
	for tick := range seconds * int(time.Second/quorumTickInterval) {
		r.report(start.Add(time.Duration(tick) * quorumTickInterval))
	}
	g.Expect(collected(&out, "no leader")).To(HaveLen(seconds/2 - 1))
	g.Expect(collected(&out, "no leader")).To(HaveEach(MatchRegexp(
		`"member":false,"disk":"refused","for_ms":\d+,"kept":"no majority holds all committed entries`)))
	g.Expect(collected(&out, "quorum disk")).To(HaveLen(seconds/2 - 1))
	g.Expect(collected(&out, "quorum disk")).To(HaveEach(MatchRegexp(
		`"state":"refused","for_ms":\d+,"reason":"log-a1@123456: invalid frame, although a"`)))
	g.Expect(collected(&out, "quorum disk")[seconds/2-2]).To(MatchRegexp(`"for_ms":18\d{3},`))

	out.Reset()
	m.quorum.setDiskHealth(DiskHealth{
		State: DiskFailing, Err: fmt.Errorf("start: %w", &fs.PathError{Op: "open", Path: "/data/log-0000000000000012", Err: syscall.ENOSPC}),
	})
	g.Expect(collected(&out, "quorum disk")).To(ConsistOf(
		ContainSubstring(`"state":"failing","for_ms":0,"reason":"open log-12: no space left on device"`)))

	// A start that waits for its disk.
	out.Reset()
	m.quorum.setStartingSince(start.Add(time.Hour))
	r.report(start.Add(time.Hour + 5*time.Second))
	g.Expect(collected(&out, "no leader")).To(ConsistOf(MatchRegexp(
		`"member":false,"disk":"failing","for_ms":\d+,"starting_ms":5000,"reason":"open log-12: n`)))
}

// TestDiskReasonIsShort guards against a reason that is cut before the file or the error.
func TestDiskReasonIsShort(t *testing.T) {
	g := NewWithT(t)
	for err, want := range map[error]string{
		error(nil): "",
		&wal.CorruptError{File: "identity", Reason: "the disk has a log but no identity file"}: "identity@0: the disk has a log but no id",
		fmt.Errorf("a: %w", syscall.EIO):                         "input/output error",
		fmt.Errorf("a: %w", errors.New(strings.Repeat("é", 99))): strings.Repeat("é", 20),
	} {
		g.Expect(diskReason(err)).To(Equal(want))
	}
}
