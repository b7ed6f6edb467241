package mesh

import (
	"bytes"
	"fmt"
	"log/slog"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/announce"
)

// TestBulkAnnouncementsLogOneLine guards against log bursts: an entry that starts
// receives thousands of endpoints in one message and must log them in one line,
// while small updates are still logged one by one.
func TestBulkAnnouncementsLogOneLine(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	m := New(Options{Name: "me", Address: "127.0.0.1:1", Log: slog.New(slog.NewJSONHandler(&out, nil))})
	t.Cleanup(m.Stop)
	records := func(first, n int) []announce.Record {
		var all []announce.Record
		for i := range n {
			all = append(all, announce.Record{
				Endpoint: announce.Endpoint{ID: fmt.Sprint("e", first+i), Service: "s", Address: "1.1.1.1:1", State: announce.Ready, StartedAtMs: 1, Sequence: 1},
				At:       time.Now(),
			})
		}
		return all
	}
	logLines := func() int {
		defer out.Reset()
		return strings.Count(out.String(), "announced")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	g.Expect(m.applyAnnouncements(records(0, 2700), "peer")).To(Equal(2700))
	g.Expect(logLines()).To(Equal(1))
	g.Expect(m.applyAnnouncements(records(2700, 2), "peer")).To(Equal(2))
	g.Expect(logLines()).To(Equal(2))
	g.Expect(m.applyAnnouncements(records(0, 2700), "peer")).To(BeZero(), "announcements already known")
	g.Expect(logLines()).To(BeZero())
}

// TestCopyOfAnnouncementLeavesItToTheReceiver guards against an entry that stops passing
// on what an endpoint announced to it because it fetched a copy of that from another entry.
func TestCopyOfAnnouncementLeavesItToTheReceiver(t *testing.T) {
	g := NewWithT(t)
	m := New(Options{Name: "me", Address: "127.0.0.1:1", Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(m.Stop)
	m.mu.Lock()
	defer m.mu.Unlock()
	e := announce.Endpoint{ID: "e", Service: "s", Address: "1.1.1.1:1", StartedAtMs: 1, Sequence: 1}
	pending := func() int { return len(m.pendingUpdates(&peer{name: "p"}, time.Now()).Announcements) }
	m.applyAnnouncement(e, time.Now(), true)
	g.Expect(pending()).To(Equal(1))
	m.applyAnnouncement(e, time.Now(), false)
	g.Expect(pending()).To(Equal(1))
	e.Sequence++
	m.applyAnnouncement(e, time.Now(), false)
	g.Expect(pending()).To(BeZero(), "another entry passes on the later announcement")
}

// Guards against an entry that counts as ready, and refuses requests, before it knows the
// endpoints that the others know.
func TestStartingEntryCatchesUpBeforeItIsReady(t *testing.T) {
	g := NewWithT(t)
	const endpoints = 50
	f := newTestFleet(t, testMembers)
	f.awaitLeader(g)
	for i := range endpoints {
		f.entries[0].Announce(t.Context(), endpoint(i))
	}
	for _, e := range f.entries {
		g.Eventually(func() int { return len(e.ReadyEndpoints("s")) }, "10s", "10ms").Should(Equal(endpoints), "they are passed on within a second")
	}
	for range 5 {
		e := f.start(len(f.entries), listen(t))
		f.entries = append(f.entries, e)
		g.Eventually(e.CaughtUp(), "10s", "1ms").Should(BeClosed())
		g.Expect(e.ReadyEndpoints("s")).To(HaveLen(endpoints))
	}
}

// Guards against an entry that waits for ever for others that don't exist or answer.
func TestLoneEntryIsReadySoon(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 1)
	g.Eventually(f.entries[0].CaughtUp(), 2*maxCatchUp).Should(BeClosed())
}

// Guards against entries that hear of an endpoint that became cold again, which takes fewer
// requests from then on, only with their next turns.
func TestEntriesAreToldOfColdEndpointAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 5)
	f.awaitLeader(g)
	e := endpoint(1)
	f.entries[0].Announce(t.Context(), e)
	for _, other := range f.entries {
		g.Eventually(func() int { return len(other.ReadyEndpoints("s")) }, "10s", "10ms").Should(Equal(1))
	}
	for range 3 { // also where it has just passed on something
		e.Sequence, e.Cold = e.Sequence+1, e.Cold+10*time.Second
		g.Expect(f.entries[0].Announce(t.Context(), e)).To(Equal(announce.Changed))
		for _, other := range f.entries {
			g.Expect(other.ReadyEndpoints("s")[0].Cold).To(Equal(e.Cold), "it is told before the endpoint gets its response")
		}
	}
}

// Guards against two entries that start together, take each other's word for the endpoints
// that there are, and refuse requests as ready though neither knows one.
func TestEntriesThatStartTogetherCatchUpFromOthers(t *testing.T) {
	g := NewWithT(t)
	m := New(Options{Name: "me", Address: "127.0.0.1:1", Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(m.Stop)
	m.mu.Lock()
	same := facts{Name: "other", Address: "127.0.0.1:2", Endpoints: m.digest.of(m.registry)}
	m.mu.Unlock()
	m.pullIfDifferent(same)
	g.Expect(m.IsCaughtUp()).To(BeFalse(), "the other one has just started too")
	same.CaughtUp = true
	m.pullIfDifferent(same)
	g.Expect(m.IsCaughtUp()).To(BeTrue(), "there are no endpoints")

	const endpoints = 50
	f := newTestFleet(t, testMembers)
	f.awaitLeader(g)
	for i := range endpoints {
		f.entries[0].Announce(t.Context(), endpoint(i))
	}
	for _, e := range f.entries {
		g.Eventually(func() int { return len(e.ReadyEndpoints("s")) }, "10s", "10ms").Should(Equal(endpoints))
	}
	for range 3 {
		var started []*testEntry
		for range 4 {
			started = append(started, f.start(len(f.entries), listen(t)))
			f.entries = append(f.entries, started[len(started)-1])
		}
		for _, e := range started {
			g.Eventually(e.CaughtUp(), "10s", "1ms").Should(BeClosed())
			g.Expect(e.ReadyEndpoints("s")).To(HaveLen(endpoints))
		}
	}
}

// Guards against entries without a disk that wait for others to catch up after a restart of
// the whole fleet, though some know the endpoints from their disks.
func TestEntryWithEndpointsOnDiskIsTakenAtItsWord(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	g.Expect(writeEndpoints(filepath.Join(folder, endpointsFolder), []announce.Endpoint{endpoint(1)})).To(Succeed())
	m := New(Options{Name: "me", Address: "127.0.0.1:1", DataFolder: folder, Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(m.Stop)
	m.mu.Lock()
	defer m.mu.Unlock()
	g.Expect(m.facts().CaughtUp).To(BeTrue())
	g.Expect(m.IsCaughtUp()).To(BeFalse())
}
