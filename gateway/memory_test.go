package gateway

import (
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/forward"
)

// heldAnswer is an answer with a part read ahead. Its endpoint is read until the test unblocks it.
type heldAnswer struct {
	caller  *gatedWriter
	unblock chan struct{}
	written chan error // of the write to the caller
	closed  chan struct{}
}

func newHeldAnswer(t *testing.T, gateway *Gateway, size int) *heldAnswer {
	t.Helper()
	h := &heldAnswer{caller: newGatedWriter(), unblock: make(chan struct{}), written: make(chan error, 1), closed: make(chan struct{})}
	f := newRelayRequest(gateway, h.caller)
	f.ctx = t.Context()
	a := f.newAnswer()
	parts := 0
	a.read(source{detach: func() {}, abort: func() {}, next: func() (forward.Event, error) {
		if parts++; parts == 1 {
			return forward.Event{Data: make([]byte, size)}, nil
		}
		<-h.unblock
		return forward.Event{}, io.EOF
	}})
	go func() {
		h.written <- a.write([]byte("x"), false)
		a.close()
		close(h.closed)
	}()
	return h
}

// Guards against a second answer that is ended while the first one's memory is still to be given back, as the reader of
// its endpoint is slow to stop, and against answers that are never ended again after one.
func TestNextAnswerIsEndedOnlyAfterMemoryWasGivenBack(t *testing.T) {
	g := NewWithT(t)
	const size = 100 << 10
	gateway := newMemoryGateway(1 << 20)
	first := newHeldAnswer(t, gateway, size)
	stall(g, gateway, 1, 1)
	second := newHeldAnswer(t, gateway, size)
	stall(g, gateway, 2, stalledTicks)
	g.Eventually(gateway.memory.Used, "5s", "1ms").Should(BeNumerically(">=", 2*size))

	rest := gateway.memory.Free() + 1
	held := make(chan error, 1)
	go func() { held <- gateway.slow.hold(t.Context(), rest) }()
	g.Eventually(first.written, "5s").Should(Receive(MatchError(errCallerStalled)))
	g.Consistently(second.written, 10*holdRetryInterval).ShouldNot(Receive(), "one is enough")
	g.Expect(held).To(BeEmpty())
	close(first.unblock)
	g.Eventually(held, "5s").Should(Receive(BeNil()))
	g.Expect(second.written).To(BeEmpty(), "one is enough")

	close(second.unblock)
	more := gateway.memory.Free() + 1
	g.Expect(gateway.slow.hold(t.Context(), more)).To(Succeed(), "the second one is ended for it")
	g.Expect(second.written).To(Receive(MatchError(errCallerStalled)))
	g.Eventually(first.closed, "5s").Should(BeClosed())
	g.Eventually(second.closed, "5s").Should(BeClosed())
	gateway.memory.Release(rest + more)
	g.Expect(gateway.memory.Used()).To(BeZero())
}
