package mesh

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/internal/loopback"
)

// testEntry is an entry of a testFleet with the calls that it served.
type testEntry struct {
	*Mesh
	syncs         atomic.Int64 // sync calls served
	documentBytes atomic.Int64 // sent in responses with documents
	announced     atomic.Int64 // bytes of sync requests received
	syncDelay     atomic.Int64 // nanoseconds before a sync is served
	stop          context.CancelFunc
	duties        sync.WaitGroup
	server        *http.Server
}

// countingWriter counts the bytes of a response.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

// Write implements http.ResponseWriter.
func (w countingWriter) Write(p []byte) (int, error) {
	w.bytes.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// ServeHTTP implements http.Handler.
func (e *testEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case procedureSync:
		e.syncs.Add(1)
		e.announced.Add(r.ContentLength)
		time.Sleep(time.Duration(e.syncDelay.Load()))
	case procedureDocument:
		w = countingWriter{w, &e.documentBytes}
	}
	e.Handler().ServeHTTP(w, r)
}

// testFleet is a fleet of entries in one process that call each other over loopback.
type testFleet struct {
	t       *testing.T
	entries []*testEntry
	seeds   []string
	folders map[int]string // of the entries with a disk, which keep them over a restart
	founded bool           // entries that start now don't start the fleet for the first time
	disks   []*faultyDisk  // of the first entries; empty for sound ones
	// logBytes are those after which a member on one of disks takes a snapshot; 0 for 128 KiB.
	logBytes int
}

// listen listens on an address that stays free for the test's process while nothing listens on it:
// an entry that starts again needs the address that it had.
func listen(t *testing.T) net.Listener {
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// testMembers is the number of entries with a disk, which come first.
const testMembers = 3

func newTestFleet(t *testing.T, size int) *testFleet { return newTestFleetWithDisks(t, size, nil) }

// newTestFleetWithDisks also makes the logs small, so that they are replaced often.
func newTestFleetWithDisks(t *testing.T, size int, disks []*faultyDisk) *testFleet {
	f := &testFleet{t: t, folders: map[int]string{}, disks: disks}
	var listeners []net.Listener
	for range size {
		listeners = append(listeners, listen(t))
	}
	for _, l := range listeners[:min(size, testMembers)] {
		f.seeds = append(f.seeds, l.Addr().String())
	}
	for i, l := range listeners {
		f.entries = append(f.entries, f.start(i, l))
	}
	t.Cleanup(func() {
		var wg sync.WaitGroup
		for _, e := range f.entries {
			wg.Go(func() {
				e.end()
				e.duties.Wait() // they write to the entry's disk, which is removed
			})
		}
		wg.Wait()
	})
	return f
}

func (f *testFleet) start(i int, l net.Listener) *testEntry {
	o := Options{
		Name: fmt.Sprintf("entry-%03d", i), Address: l.Addr().String(), Seeds: f.seeds, FirstStart: !f.founded,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	if i < testMembers && f.folders[i] == "" {
		f.folders[i] = f.t.TempDir()
	}
	o.DataFolder = f.folders[i]
	e := &testEntry{Mesh: New(o)}
	if i < len(f.disks) {
		e.quorum.openFolder, e.quorum.logBytes = f.disks[i].open, cmp.Or(f.logBytes, 1<<17)
	}
	e.server = NewHTTPServer(e)
	go func() { _ = e.server.Serve(l) }() // ends with the entry
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	for _, d := range e.Duties() {
		e.duties.Go(func() { _ = d.Serve(ctx) }) // ends with the entry
	}
	return e
}

func (e *testEntry) end() {
	e.stop()
	_ = e.server.Close()
	e.Stop()
}

// awaitLeader waits until all entries know each other and the quorum has a leader.
func (f *testFleet) awaitLeader(g *WithT) *testEntry {
	var leader *testEntry
	g.Eventually(func() bool {
		leader = nil
		for _, e := range f.entries {
			if e.EntryCount() != len(f.entries) {
				return false
			}
			if e.IsLeader() {
				leader = e
			}
		}
		return leader != nil
	}).WithTimeout(time.Minute).WithPolling(50 * time.Millisecond).Should(BeTrue())
	return leader
}

// put puts a document and waits until all entries have it.
func (f *testFleet) put(g *WithT, leader *testEntry, d document.Document) {
	// Like an operator, it sends the same again while the outcome is unknown.
	g.Eventually(func() error {
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		defer cancel()
		_, err := leader.Put(ctx, d)
		return err
	}).WithTimeout(time.Minute).Should(Succeed())
	g.Eventually(func() int {
		n := 0
		for _, e := range f.entries {
			if e.Document().Number >= d.Number {
				n++
			}
		}
		return n
	}).WithTimeout(20 * time.Second).WithPolling(5 * time.Millisecond).Should(Equal(len(f.entries)))
}

func (f *testFleet) syncs() int64 {
	total := int64(0)
	for _, e := range f.entries {
		total += e.syncs.Load()
	}
	return total
}

func (f *testFleet) maxDocumentBytes() int64 {
	most := int64(0)
	for _, e := range f.entries {
		most = max(most, e.documentBytes.Load())
	}
	return most
}

// routesDocument returns a configuration-like document with a number of routes.
func routesDocument(number uint64, routes int) document.Document {
	body := fmt.Appendf(nil, `{"version":%d,"routes":[`, number)
	for i := range routes {
		body = fmt.Appendf(body, `{"name":"r-%x","host":"h%x.example","path_prefix":"/p%x/","kind":"stream","timeout_ms":10000,"goal_ms":300,"service":"s"},`,
			uint32(i)*2654435761, uint32(i)*40503, uint32(i)*69069)
	}
	return document.Document{Number: number, Body: append(body, "]}"...)}
}

func endpoint(i int) announce.Endpoint {
	return announce.Endpoint{
		ID: fmt.Sprintf("endpoint-%03d", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), StartedAtMs: 1, Sequence: 1,
	}
}

// TestDocumentReachesManyEntries counts what one change of a large document costs the
// entries: none of them sends more than a few copies, and the calls don't grow with the
// square of the fleet.
func TestDocumentReachesManyEntries(t *testing.T) {
	g := NewWithT(t)
	const size = 12
	f := newTestFleet(t, size)
	leader := f.awaitLeader(g)
	first, second := routesDocument(1, 1300), routesDocument(2, 1310)
	f.put(g, leader, first)
	time.Sleep(2 * time.Second)
	firstBytes := f.maxDocumentBytes()
	syncs, started := f.syncs(), time.Now()
	f.put(g, leader, second)
	t.Logf("in force everywhere after %v", time.Since(started))
	time.Sleep(time.Second)
	const peers = size - 1
	periodic := int64(size * ((peers-1)/syncRounds(peers) + 1) * (int(time.Since(started)/syncInterval) + 1))
	t.Logf("body %d bytes; most sent by one entry: %d for the first, %d for the second; %d calls, of these up to %d periodic",
		len(first.Body), firstBytes, f.maxDocumentBytes()-firstBytes, f.syncs()-syncs, periodic)
	g.Expect(firstBytes).To(BeNumerically("<", 2*len(first.Body)), "bytes of a new document from one entry")
	g.Expect(f.maxDocumentBytes()-firstBytes).To(BeNumerically("<", len(second.Body)), "bytes of a small change from one entry")
	g.Expect(f.syncs()-syncs).To(BeNumerically("<", periodic+4*size), "calls for a change")
}

// restart replaces an entry by a new process at the same address.
func (f *testFleet) restart(g *WithT, i int) *testEntry {
	address := f.entries[i].options.Address
	f.entries[i].end()
	var l net.Listener
	g.Eventually(func() error {
		var err error
		l, err = net.Listen("tcp", address)
		return err
	}).WithTimeout(5 * time.Second).Should(Succeed())
	f.entries[i] = f.start(i, l)
	return f.entries[i]
}

// TestRestartedEntryLearnsAllEndpoints restarts one of many entries and counts what the
// others send it: the list of all endpoints a few times, not from every entry.
func TestRestartedEntryLearnsAllEndpoints(t *testing.T) {
	g := NewWithT(t)
	const size, endpoints = 12, 117
	f := newTestFleet(t, size)
	leader := f.awaitLeader(g)
	f.put(g, leader, routesDocument(1, 300))
	for i := range endpoints {
		f.entries[i%size].Announce(t.Context(), endpoint(i))
	}
	known := func(e *testEntry) int { return len(e.ReadyEndpoints("s")) }
	for _, e := range f.entries {
		g.Eventually(known).WithArguments(e).WithTimeout(10 * time.Second).Should(Equal(endpoints))
	}
	started := time.Now()
	e := f.restart(g, size-1)
	g.Eventually(known).WithArguments(e).WithTimeout(5 * time.Second).WithPolling(5 * time.Millisecond).Should(Equal(endpoints))
	g.Eventually(func() uint64 { return e.Document().Number }).WithTimeout(5 * time.Second).WithPolling(5 * time.Millisecond).Should(Equal(uint64(1)))
	t.Logf("configured after %v", time.Since(started))
	time.Sleep(time.Second)
	t.Logf("%d syncs with %d bytes in %v", e.syncs.Load(), e.announced.Load(), time.Since(started))
	const factsBytes, endpointBytes = 1500, 300
	g.Expect(e.announced.Load()).To(BeNumerically("<", endpoints*endpointBytes+e.syncs.Load()*factsBytes), "bytes pushed to it")
}

// TestMissedAnnouncementIsPulled checks that an entry that missed an announcement learns
// it from an entry that didn't receive it from the endpoint either.
func TestMissedAnnouncementIsPulled(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 8)
	f.awaitLeader(g)
	draining := endpoint(0)
	draining.State = announce.Draining
	missed := f.entries[7]
	for _, e := range f.entries[:7] {
		e.mu.Lock()
		e.applyAnnouncement(draining, time.Now(), false)
		e.mu.Unlock()
	}
	missed.mu.Lock()
	missed.applyAnnouncement(endpoint(0), time.Now(), false)
	missed.mu.Unlock()
	g.Eventually(func() bool { return missed.IsLeaving(draining.ID) }).WithTimeout(3 * time.Second).Should(BeTrue())
}

// TestFetchGoesOnElsewhere fetches a document from an entry that refers to one that is
// frozen: it accepts calls and doesn't answer.
func TestFetchGoesOnElsewhere(t *testing.T) {
	g := NewWithT(t)
	thaw := make(chan struct{})
	frozen := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-thaw }))
	t.Cleanup(func() {
		close(thaw)
		frozen.Close()
	})
	f := newTestFleet(t, testMembers)
	origin := f.entries[0]
	d := document.Document{Number: 9, Body: noise(1, 10*smallEncoding)}
	origin.source.add(d)
	for range maxCopies {
		_, err := origin.source.response(&documentRequest{Address: frozen.Listener.Addr().String()})
		g.Expect(err).NotTo(HaveOccurred())
	}
	started := time.Now()
	got, err := f.entries[1].fetchDocument(t.Context(), origin.options.Address, document.Document{}, 9)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(d))
	g.Expect(time.Since(started)).To(BeNumerically("<", documentTimeout))
}

// TestManyEndpointsThatStartAreAnnouncedTogether starts a fleet in which each entry hears
// of many endpoints at about the same time, and counts the calls with which these are
// passed on.
func TestManyEndpointsThatStartAreAnnouncedTogether(t *testing.T) {
	g := NewWithT(t)
	const size, endpoints = 12, 240
	f := newTestFleet(t, size)
	f.awaitLeader(g)
	syncs, started := f.syncs(), time.Now()
	for i := range endpoints {
		f.entries[i%size].Announce(t.Context(), endpoint(i))
	}
	for _, e := range f.entries {
		g.Eventually(func() int { return len(e.ReadyEndpoints("s")) }).WithTimeout(10 * time.Second).Should(Equal(endpoints))
	}
	intervals := int64(time.Since(started)/syncInterval) + 1
	t.Logf("known everywhere after %v, %d calls", time.Since(started), f.syncs()-syncs)
	g.Expect(f.syncs()-syncs).To(BeNumerically("<", size*(size-1)*(2+intervals)), "calls grow with the entries, not with the endpoints")
}

// TestFetchReturnsNoOlderDocument fetches the document that a quorum has confirmed from an
// entry that refers to one which has an older version so far.
func TestFetchReturnsNoOlderDocument(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, testMembers)
	origin, behind := f.entries[0], f.entries[2]
	newest := document.Document{Number: 9, Body: noise(1, 10*smallEncoding)}
	origin.source.add(newest)
	behind.source.add(document.Document{Number: 8, Body: noise(2, 10*smallEncoding)})
	for range maxCopies {
		_, err := origin.source.response(&documentRequest{Address: behind.options.Address})
		g.Expect(err).NotTo(HaveOccurred())
	}
	var got document.Document
	g.Eventually(func() (err error) { // on a busy machine a fetch may take longer than its timeout
		got, err = f.entries[1].fetchDocument(t.Context(), origin.options.Address, document.Document{}, 9)
		return err
	}).WithTimeout(time.Minute).Should(Succeed())
	g.Expect(got.Number).To(BeEquivalentTo(9))
}
