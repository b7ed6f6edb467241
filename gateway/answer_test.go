package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/forward"
	"github.com/jacinthplank/jacinthplank/memory"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// gatedWriter is a caller that reads only while its gate is open.
type gatedWriter struct {
	header  http.Header
	mu      sync.Mutex
	changed *sync.Cond
	isOpen  bool
	expired bool // the write deadline has passed
	data    bytes.Buffer
}

func newGatedWriter() *gatedWriter {
	w := &gatedWriter{header: http.Header{}}
	w.changed = sync.NewCond(&w.mu)
	return w
}

func (w *gatedWriter) Header() http.Header { return w.header }
func (w *gatedWriter) WriteHeader(int)     {}
func (w *gatedWriter) Flush()              {}

func (w *gatedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.isOpen && !w.expired {
		w.changed.Wait()
	}
	if w.expired {
		return 0, os.ErrDeadlineExceeded
	}
	return w.data.Write(p)
}

func (w *gatedWriter) SetWriteDeadline(t time.Time) error {
	w.update(func() { w.expired = !t.IsZero() && !t.After(time.Now()) })
	return nil
}

func (w *gatedWriter) update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	w.changed.Broadcast()
}

func (w *gatedWriter) open() { w.update(func() { w.isOpen = true }) }

func (w *gatedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.data.String()
}

// streamEndpoint is an endpoint that writes events, or blocks of a response that is no stream.
type streamEndpoint struct {
	target    forward.Target
	events    int
	eventSize int
	isPlain   bool
	written   atomic.Int64 // events
	isDone    atomic.Bool
	slowest   atomic.Int64 // nanoseconds of the longest write
}

func newStreamEndpoint(t *testing.T, events, eventSize int) *streamEndpoint {
	e := &streamEndpoint{events: events, eventSize: eventSize}
	server := httptest.NewServer(e)
	t.Cleanup(server.CloseClientConnections)
	e.target = forward.Target{ID: "e", Address: server.Listener.Addr().String()}
	return e
}

func (e *streamEndpoint) event(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", e.eventSize))
}

func (e *streamEndpoint) text() string {
	var b strings.Builder
	for n := range e.events {
		b.WriteString(e.event(n + 1))
	}
	return b.String()
}

// ServeHTTP implements http.Handler.
func (e *streamEndpoint) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !e.isPlain {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for n := range e.events {
		started := time.Now()
		if _, err := io.WriteString(w, e.event(n+1)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // a lost connection fails the next write
		e.slowest.Store(max(e.slowest.Load(), int64(time.Since(started))))
		e.written.Add(1)
	}
	e.isDone.Store(true)
}

// relayed is a response on its way to a caller.
type relayed struct {
	caller *gatedWriter
	done   chan *outcome.Error
	cancel context.CancelFunc
}

// relay relays the response of an endpoint to a caller that does not read yet.
func relay(t *testing.T, g *Gateway, e *streamEndpoint) *relayed {
	t.Helper()
	r := &relayed{caller: newGatedWriter(), done: make(chan *outcome.Error, 1)}
	f := newRelayRequest(g, r.caller)
	f.ctx, r.cancel = context.WithCancel(t.Context())
	reply, err := g.client.Send(f.ctx, e.target, &forward.Call{RequestID: "r", Method: http.MethodGet, URI: "/", Host: "e"})
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer reply.Close()
		r.done <- f.relay(reply)
	}()
	return r
}

// newMemoryGateway returns a gateway with a memory budget whose ticks the test makes.
func newMemoryGateway(limit int64) *Gateway {
	g := newRelayGateway(plainDialect{})
	g.memory = memory.NewBudget(limit)
	g.slow = newSlowCallers(g.memory, g.log)
	return g
}

// stall waits until a number of writes to callers are in progress, and passes ticks.
func stall(g *WithT, gateway *Gateway, writes, ticks int) {
	g.Eventually(func() int {
		gateway.slow.mu.Lock()
		defer gateway.slow.mu.Unlock()
		n := 0
		for a := range gateway.slow.answers {
			if a.stalledSince() > 0 {
				n++
			}
		}
		return n
	}, "5s", "1ms").Should(Equal(writes))
	for range ticks {
		gateway.slow.check()
	}
}

// Guards against an endpoint that is not read while its caller is slow, against answers that
// lose or repeat a part when the caller goes on, and against memory that is not given back.
func TestSlowCallerGetsItsWholeAnswer(t *testing.T) {
	for _, isPlain := range []bool{false, true} {
		t.Run(fmt.Sprint("plain ", isPlain), func(t *testing.T) {
			g := NewWithT(t)
			gateway := newMemoryGateway(64 << 20)
			endpoint := newStreamEndpoint(t, 1500, 10_000) // far more than sockets hold
			endpoint.isPlain = isPlain
			r := relay(t, gateway, endpoint)
			stopped := memoryAheadStoppedTotal.Get()
			stall(g, gateway, 1, slowTicks)
			g.Eventually(endpoint.isDone.Load, "5s").Should(BeTrue(), "it is read while the caller reads nothing")
			g.Expect(memoryAheadStoppedTotal.Get()).To(Equal(stopped), "reading never waits, as there is memory")
			g.Expect(gateway.memory.Used()).To(BeNumerically(">", 5<<20))
			g.Expect(r.caller.text()).To(BeEmpty())
			r.caller.open()
			g.Eventually(r.done, "5s").Should(Receive(BeNil()))
			g.Expect(r.caller.text() == endpoint.text()).To(BeTrue(), "%d bytes", len(r.caller.text()))
			g.Expect(gateway.memory.Used()).To(BeZero())
		})
	}
}

// Guards against one answer that takes all the memory for reading ahead, and against more than
// the share for it.
func TestReadingAheadIsSharedAndStops(t *testing.T) {
	g := NewWithT(t)
	const limit = 12 << 20
	gateway := newMemoryGateway(limit)
	var all []*relayed
	var endpoints []*streamEndpoint
	for range 3 {
		endpoint := newStreamEndpoint(t, 3000, 10_000)
		endpoints = append(endpoints, endpoint)
		all = append(all, relay(t, gateway, endpoint))
	}
	stall(g, gateway, 3, slowTicks)
	expectWithinShare := func() {
		g.Expect(gateway.memory.Used()).To(BeNumerically("<=", aheadShare*limit+3*bufferedBytes+3*maxBufferedBytes))
	}
	least := func() int64 {
		expectWithinShare()
		gateway.slow.mu.Lock()
		defer gateway.slow.mu.Unlock()
		n := int64(limit)
		for a := range gateway.slow.answers {
			n = min(n, a.held.Load())
		}
		return n
	}
	g.Eventually(least, "5s").Should(BeNumerically(">", aheadShare*limit/8), "each has its part")
	for range 20 {
		expectWithinShare()
		time.Sleep(10 * time.Millisecond)
	}
	g.Expect(least()).To(BeNumerically(">", aheadShare*limit/8), "each keeps its part")
	for i, r := range all {
		g.Expect(endpoints[i].isDone.Load()).To(BeFalse(), "it is not read beyond the memory")
		r.caller.open()
	}
	ticking, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = gateway.slow.Serve(ticking) }()
	for i, r := range all {
		g.Eventually(r.done, "10s").Should(Receive(BeNil()))
		g.Expect(r.caller.text() == endpoints[i].text()).To(BeTrue())
	}
	g.Expect(gateway.memory.Used()).To(BeZero())
}

// Guards against an answer that ends although another caller has read nothing for longer, or
// although its caller reads, and against bodies that are taken while answers lack memory.
func TestAnswerWhoseCallerReadNothingForLongestIsEnded(t *testing.T) {
	g := NewWithT(t)
	const limit = 8 << 20
	gateway := newMemoryGateway(limit)
	bodies := gateway.memory.Share(bodyShare)
	first := relay(t, gateway, newStreamEndpoint(t, 3000, 10_000))
	stall(g, gateway, 1, stalledTicks)
	second := relay(t, gateway, newStreamEndpoint(t, 1000, 10_000))
	stall(g, gateway, 2, stalledTicks)
	g.Eventually(gateway.memory.Used, "5s", "1ms").Should(BeNumerically(">", aheadShare*limit*0.6))

	taken := int64(0) // by bodies: what the slow callers leave
	for bodies.Reserve(64 << 10) {
		taken += 64 << 10
	}
	g.Expect(taken).To(BeNumerically(">", 0))
	_, held, err := readHeld(strings.NewReader(strings.Repeat("x", 128<<10)), -1, bodies)
	g.Expect(err).To(MatchError(errMemory), "new bodies are refused first")
	g.Expect(held).To(BeZero())
	g.Expect(first.done).To(BeEmpty(), "nothing is ended for a body")

	rest := gateway.memory.Free() + 1
	g.Expect(gateway.slow.hold(t.Context(), rest)).To(Succeed(), "an answer in progress gets memory")
	var e *outcome.Error
	g.Eventually(first.done, "5s").Should(Receive(&e))
	g.Expect(errors.Is(e, errCallerStalled)).To(BeTrue(), "%v", e)
	g.Expect(second.done).To(BeEmpty(), "one is enough")
	second.caller.open()
	g.Eventually(second.done, "5s").Should(Receive(BeNil()))
	gateway.memory.Release(rest + taken)
	g.Expect(gateway.memory.Used()).To(BeZero())
}

// Guards against an answer whose caller reads, or read a moment ago, that is ended for memory,
// and against a wait for memory that outlasts its request.
func TestAnswersThatAreReadAreNotEnded(t *testing.T) {
	g := NewWithT(t)
	gateway := newMemoryGateway(4 << 20)
	r := relay(t, gateway, newStreamEndpoint(t, 3000, 10_000))
	stall(g, gateway, 1, stalledTicks-1)
	g.Eventually(gateway.memory.Used, "5s", "1ms").Should(BeNumerically(">", 500<<10))
	ctx, cancel := context.WithTimeoutCause(t.Context(), 200*time.Millisecond, errDeadline)
	defer cancel()
	g.Expect(gateway.slow.hold(ctx, gateway.memory.Free()+1)).To(MatchError(errDeadline))
	g.Expect(r.done).To(BeEmpty())
	r.cancel()
	r.caller.open()
	g.Eventually(r.done, "5s").Should(Receive(Not(BeNil())))
	g.Expect(gateway.memory.Used()).To(BeZero(), "given back when the request is canceled")
}

// Guards against a long event of a slow endpoint that is not counted, or not given back.
func TestLongEventOfSlowEndpointIsCounted(t *testing.T) {
	g := NewWithT(t)
	gateway := newMemoryGateway(1 << 20)
	unblock := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: "+strings.Repeat("x", 100_000))
		_ = http.NewResponseController(w).Flush()
		<-unblock
	}))
	defer server.Close()
	r := relay(t, gateway, &streamEndpoint{target: forward.Target{ID: "e", Address: server.Listener.Addr().String()}})
	g.Eventually(gateway.memory.Used, "5s", "1ms").Should(BeNumerically(">=", 100_000-8<<10))
	r.cancel()
	g.Eventually(r.done, "5s").Should(Receive(Not(BeNil())))
	g.Expect(gateway.memory.Used()).To(BeZero())
	close(unblock)
}

// Guards against bodies that are changed or counted wrongly, also while their buffers grow.
func TestReadHeld(t *testing.T) {
	for _, c := range []struct {
		size   int
		length int64
		limit  int64
		fits   bool
	}{
		{1, 1, 1 << 20, true},
		{100_000, 100_000, 1 << 20, true},
		{100_000, -1, 1 << 20, true},
		{5000, 100_000, 1 << 20, true},
		{100_000, 10, 1 << 20, true},
		{100_000, 1 << 40, 1 << 20, true},
		{100_000, 100_000, 90_000, false},
		{100_000, -1, 90_000, false},
		{10, 10, 1, false},
	} {
		g := NewWithT(t)
		budget := memory.NewBudget(c.limit)
		text := strings.Repeat("0123456789", c.size/10+1)[:c.size]
		body, held, err := readHeld(strings.NewReader(text), c.length, budget)
		if c.fits {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(Equal(text))
			g.Expect(held).To(And(BeNumerically(">=", c.size), BeNumerically("<=", max(2*c.size, minBodyBuffer))))
		} else {
			g.Expect(err).To(MatchError(errMemory))
			g.Expect(held).To(BeZero())
		}
		g.Expect(budget.Used()).To(Equal(held))
	}
	g := NewWithT(t)
	budget := memory.NewBudget(1 << 20)
	_, held, err := readHeld(io.MultiReader(strings.NewReader("x"), brokenBody{}), -1, budget)
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(held + budget.Used()).To(BeZero())
}

// brokenBody is a body that breaks off.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against requests that are taken although nothing is left for what each needs, and
// against a refusal that is charged.
func TestRequestIsRefusedWithoutMemory(t *testing.T) {
	g := NewWithT(t)
	gateway := newMemoryGateway(2 * requestBytes)
	g.Expect(gateway.memory.Reserve(requestBytes + 1)).To(BeTrue())
	f := newRelayRequest(gateway, newGatedWriter())
	e := f.admit()
	g.Expect(e).NotTo(BeNil())
	g.Expect(e.Code).To(Equal(outcome.CodeOverloaded))
	g.Expect(e.State).To(Equal(outcome.NotRun))
	g.Expect(e.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(f.heldBytes).To(BeZero())
	g.Expect(gateway.memory.Used()).To(Equal(int64(requestBytes + 1)))
}
