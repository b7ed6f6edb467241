package timeline_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	jacinthplankv1 "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/internal/golden"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/timeline"
)

var noon = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

func fixedClock(at time.Time) func() time.Time { return func() time.Time { return at } }

// Stamps of one daemon strictly increase, and a stamp made after another daemon's
// stamp was observed is greater than it, whatever the wall clocks read.
func TestStampsRespectCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clocks := make([]timeline.Stamp, 3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			from := rapid.IntRange(0, 2).Draw(t, "from")
			to := rapid.IntRange(0, 2).Draw(t, "to")
			now := rapid.Int64Range(0, 50).Draw(t, "now")
			sent := clocks[from].Next(now)
			if !clocks[from].Less(sent) {
				t.Fatalf("%v is not greater than %v", sent, clocks[from])
			}
			clocks[from] = sent
			got := clocks[to].Observe(sent, rapid.Int64Range(0, 50).Draw(t, "there"))
			if !sent.Less(got) || !clocks[to].Less(got) {
				t.Fatalf("%v is not after %v and %v", got, sent, clocks[to])
			}
			clocks[to] = got
		}
	})
}

func TestFullLogKeepsNewestAndCountsLost(t *testing.T) {
	g := NewWithT(t)
	now := noon
	log := timeline.NewLog("entry-1", 3, func() time.Time { now = now.Add(time.Second); return now })
	for _, request := range []string{"a", "b", "c", "d", "e"} {
		log.Record(timeline.Event{Kind: timeline.KindReceived, Request: request})
	}

	part := log.Query(timeline.Filter{})
	g.Expect(part.Events).To(HaveLen(3))
	g.Expect(part.Events[0].Request).To(Equal("c"))
	g.Expect(part.Lost).To(Equal(uint64(2)))

	g.Expect(log.Query(timeline.Filter{From: part.Since}).Lost).To(BeZero())
	g.Expect(log.Query(timeline.Filter{Limit: 1}).Events[0].Request).To(Equal("e"))
}

// Events left out by the limit are still kept by the daemon, so they do not count
// as overwritten.
func TestEventsCutByLimitAreNotLost(t *testing.T) {
	g := NewWithT(t)
	now := noon
	log := timeline.NewLog("entry-1", 4, func() time.Time { now = now.Add(time.Second); return now })
	for _, request := range []string{"a", "b", "c", "d"} {
		log.Record(timeline.Event{Kind: timeline.KindReceived, Request: request})
	}
	query := func(f timeline.Filter) timeline.Part {
		return timeline.PartFromProto(log.Answer(timeline.FilterToProto(f)))
	}

	part := query(timeline.Filter{Limit: 1})
	g.Expect(part.Events).To(HaveLen(1))
	g.Expect(part.Events[0].Request).To(Equal("d"))
	g.Expect(part.Lost).To(BeZero())
	g.Expect(part.Cut).To(Equal(uint64(3)))
	g.Expect(part.Since).To(Equal(noon.Add(time.Second)), "the start of the log")
	line := timeline.Merge([]timeline.Part{part})
	g.Expect(line.Gaps).To(BeEmpty())
	g.Expect(line.Complete()).To(BeFalse())
	g.Expect(line.Warnings()).To(ConsistOf("Daemon entry-1 left out 3 older events that match, because of the limit: it returned those from 2026-03-02 12:00:05.000000."))

	g.Expect(query(timeline.Filter{Limit: 4}).Cut).To(BeZero())
	g.Expect(query(timeline.Filter{Limit: 1, Request: "a"}).Cut).To(BeZero())

	log.Record(timeline.Event{Kind: timeline.KindReceived, Request: "e"})
	part = query(timeline.Filter{Limit: 3})
	g.Expect(part.Lost).To(Equal(uint64(1)))
	g.Expect(part.Cut).To(Equal(uint64(1)))
	g.Expect(timeline.Merge([]timeline.Part{part}).Warnings()).To(HaveLen(2))
}

func TestQueryFilters(t *testing.T) {
	g := NewWithT(t)
	now := noon
	log := timeline.NewLog("entry-1", 10, func() time.Time { return now })
	log.Record(timeline.Event{Request: "a", Account: "council", Endpoint: "e1"})
	now = noon.Add(time.Minute)
	log.Record(timeline.Event{Request: "b", Account: "council", Endpoint: "e2"})
	log.Record(timeline.Event{Kind: timeline.KindJoined, Endpoint: "e2"})

	count := func(f timeline.Filter) int { return len(log.Query(f).Events) }
	g.Expect(count(timeline.Filter{Request: "a"})).To(Equal(1))
	g.Expect(count(timeline.Filter{Account: "council"})).To(Equal(2))
	g.Expect(count(timeline.Filter{Endpoint: "e2"})).To(Equal(2))
	g.Expect(count(timeline.Filter{To: noon.Add(time.Minute)})).To(Equal(1))
	g.Expect(count(timeline.Filter{From: noon.Add(time.Minute)})).To(Equal(2))
}

func TestConcurrentRecordAndQuery(t *testing.T) {
	g := NewWithT(t)
	log := timeline.NewLog("entry-1", 5000, time.Now)
	var recorders sync.WaitGroup
	for range 4 {
		recorders.Go(func() {
			for range 5000 {
				log.Record(timeline.Event{Request: "a"})
			}
		})
	}
	for range 20 {
		events := log.Query(timeline.Filter{}).Events
		for i := 1; i < len(events); i++ {
			g.Expect(events[i-1].Stamp().Less(events[i].Stamp())).To(BeTrue())
		}
	}
	recorders.Wait()
	g.Expect(log.Query(timeline.Filter{}).Lost).To(Equal(uint64(15000)))
}

func TestProtoRoundTrip(t *testing.T) {
	g := NewWithT(t)
	e := timeline.Event{
		WallMicros: 5, Logical: 1, Daemon: "d", Kind: timeline.KindRefused, Request: "r", Attempt: 2, Account: "a",
		Endpoint: "e", Step: "s", Peer: "p", Outcome: "overloaded", Detail: "x", Tokens: 9, Remaining: time.Second, State: outcome.NotRun,
	}
	g.Expect(timeline.FromProto(timeline.ToProto(&e))).To(Equal(e))
	f := timeline.Filter{Request: "r", Endpoint: "e", Account: "a", From: noon, To: noon.Add(time.Hour), Limit: 4}
	g.Expect(timeline.FilterFromProto(timeline.FilterToProto(f))).To(Equal(f))
}

type peer struct {
	jacinthplankv1connect.UnimplementedPeerServiceHandler
	log *timeline.Log
}

func (p peer) Events(_ context.Context, r *connect.Request[jacinthplankv1.EventsRequest]) (*connect.Response[jacinthplankv1.EventsResponse], error) {
	return connect.NewResponse(p.log.Answer(r.Msg)), nil
}

// The caller's clock is a second behind the server's. An event that the caller
// records after the response is still ordered after the server's event.
func TestClockPropagatesWithCalls(t *testing.T) {
	g := NewWithT(t)
	there := timeline.NewLog("there", 10, fixedClock(noon.Add(time.Second)))
	here := timeline.NewLog("here", 10, fixedClock(noon))
	_, handler := jacinthplankv1connect.NewPeerServiceHandler(peer{log: there}, connect.WithInterceptors(there.Interceptor()))
	server := httptest.NewServer(handler)
	defer server.Close()
	client := jacinthplankv1connect.NewPeerServiceClient(server.Client(), server.URL, connect.WithInterceptors(here.Interceptor()))

	there.Record(timeline.Event{Kind: timeline.KindAdmitted})
	_, err := client.Events(context.Background(), connect.NewRequest(&jacinthplankv1.EventsRequest{}))
	g.Expect(err).NotTo(HaveOccurred())
	here.Record(timeline.Event{Kind: timeline.KindFinished})

	line := timeline.Merge([]timeline.Part{here.Query(timeline.Filter{}), there.Query(timeline.Filter{})})
	g.Expect(line.Events[0].Daemon).To(Equal("there"))
	g.Expect(line.Events[1].Daemon).To(Equal("here"))
}

func TestStampFarAheadIsIgnored(t *testing.T) {
	g := NewWithT(t)
	log := timeline.NewLog("here", 10, fixedClock(noon))
	log.ObserveStamp(timeline.Stamp{WallMicros: noon.Add(time.Hour).UnixMicro()})
	g.Expect(log.Stamp().Time()).To(BeTemporally("<", noon.Add(time.Second)))
}

func sampleLine() timeline.Timeline {
	at := func(ms int) int64 { return noon.Add(time.Duration(ms) * time.Millisecond).UnixMicro() }
	entry := []timeline.Event{
		{WallMicros: at(0), Daemon: "entry-1", Kind: timeline.KindReceived, Request: "r-1", Account: "council", Tokens: 1200, Remaining: time.Minute},
		{WallMicros: at(1), Daemon: "entry-1", Kind: timeline.KindPlaced, Request: "r-1", Attempt: 1, Endpoint: "draft-03"},
		{WallMicros: at(2), Logical: 1, Daemon: "entry-1", Kind: timeline.KindRetried, Request: "r-1", Attempt: 2, Outcome: "endpoint_leaving", State: outcome.NotRun},
	}
	endpoint := []timeline.Event{
		{WallMicros: at(2), Daemon: "draft-03", Kind: timeline.KindRefused, Request: "r-1", Attempt: 1, Outcome: "endpoint_leaving", State: outcome.NotRun, Detail: "<draining>"},
	}
	return timeline.Merge([]timeline.Part{
		{Daemon: "entry-1", Events: entry},
		{Daemon: "draft-03", Events: endpoint, Lost: 4, Since: noon.Add(-time.Hour)},
		{Daemon: "draft-03", Events: endpoint},
		{Daemon: "draft-04", Err: errors.New("connection refused")},
	})
}

func TestWriteTextJSONAndHTML(t *testing.T) {
	g := NewWithT(t)
	line := sampleLine()
	g.Expect(line.Complete()).To(BeFalse())

	var text, object, page strings.Builder
	g.Expect(line.WriteText(&text)).To(Succeed())
	g.Expect(line.WriteJSON(&object)).To(Succeed())
	g.Expect(line.WriteHTML(&page, "Request r-1")).To(Succeed())
	golden.Expect(t, "line.txt", text.String())
	golden.Expect(t, "line.json", object.String())
	golden.Expect(t, "line.html", page.String())
	g.Expect(page.String()).NotTo(ContainSubstring("http"))
}

func BenchmarkRecord(b *testing.B) {
	log := timeline.NewLog("entry-1", timeline.DefaultCapacity, time.Now)
	e := timeline.Event{Kind: timeline.KindPlaced, Request: "r", Attempt: 1, Account: "council", Endpoint: "draft-03"}
	b.ReportAllocs()
	for b.Loop() {
		log.Record(e)
	}
}

func BenchmarkRecordParallel(b *testing.B) {
	log := timeline.NewLog("entry-1", timeline.DefaultCapacity, time.Now)
	e := timeline.Event{Kind: timeline.KindPlaced, Request: "r", Attempt: 1, Account: "council", Endpoint: "draft-03"}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			log.Record(e)
		}
	})
}

func BenchmarkQueryFullLog(b *testing.B) {
	log := timeline.NewLog("entry-1", timeline.DefaultCapacity, time.Now)
	for i := range timeline.DefaultCapacity {
		log.Record(timeline.Event{Kind: timeline.KindPlaced, Request: strconv.Itoa(i / 6), Account: "council"})
	}
	b.ReportAllocs()
	for b.Loop() {
		log.Query(timeline.Filter{Request: "4000"})
	}
}
