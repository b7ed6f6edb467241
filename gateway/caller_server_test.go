package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/drain"
	"github.com/jacinthplank/jacinthplank/route"
)

// TestLimitChangeAppliesToNewConnections checks that open connections keep their
// limits and stay open when the limits change.
func TestLimitChangeAppliesToNewConnections(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).ToNot(HaveOccurred())
	server := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	server.setLimits(route.HeaderLimits{})
	go func() { _ = server.serve(l, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() { _ = l.Close() })
	type connection struct {
		net.Conn
		*bufio.Reader
	}
	dial := func() connection {
		c, err := net.Dial("tcp", l.Addr().String())
		g.Expect(err).ToNot(HaveOccurred())
		t.Cleanup(func() { _ = c.Close() })
		return connection{c, bufio.NewReader(c)}
	}
	send := func(c connection, headerBytes int) int {
		_, err := fmt.Fprintf(c.Conn, "GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", strings.Repeat("x", headerBytes))
		g.Expect(err).ToNot(HaveOccurred())
		g.Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		r, err := http.ReadResponse(c.Reader, nil)
		g.Expect(err).ToNot(HaveOccurred())
		g.Expect(r.Body.Close()).To(Succeed())
		return r.StatusCode
	}
	open := dial()
	g.Expect(send(open, 12_000)).To(Equal(http.StatusNoContent))
	server.setLimits(route.HeaderLimits{Bytes: 1000, Timeout: 5 * time.Second, Idle: 100 * time.Millisecond})
	g.Expect(send(open, 12_000)).To(Equal(http.StatusNoContent))
	g.Expect(send(dial(), 12_000)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	later := dial()
	g.Expect(send(later, 10)).To(Equal(http.StatusNoContent))
	g.Expect(later.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	_, err = later.ReadByte()
	g.Expect(err).To(MatchError("EOF"), "closed after the idle timeout")
	go server.connections.Drain(t.Context(), time.Time{}, drain.Grace{})
	g.Eventually(func() error {
		g.Expect(open.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		_, err := open.ReadByte()
		return err
	}, 3*time.Second).Should(MatchError("EOF"))
}

// shortListener fails to accept for want of descriptors for some time.
type shortListener struct {
	net.Listener
	failures atomic.Int64 // still to come
}

// Accept implements net.Listener.
func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against an entry that never accepts callers again once it lacked descriptors.
func TestCallersAreAcceptedAgainAfterShortage(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).ToNot(HaveOccurred())
	short := &shortListener{Listener: l}
	short.failures.Store(5)
	server := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	server.setLimits(route.HeaderLimits{})
	ended := make(chan error, 1)
	var lines bytes.Buffer
	go func() { ended <- server.serve(short, slog.New(slog.NewTextHandler(&lines, nil))) }()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Addr().String(), nil)
	g.Expect(err).ToNot(HaveOccurred())
	r, err := http.DefaultClient.Do(request)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(r.Body.Close()).To(Succeed())
	g.Expect(r.StatusCode).To(Equal(http.StatusNoContent))
	g.Expect(l.Close()).To(Succeed())
	g.Eventually(ended).Should(Receive(MatchError(net.ErrClosed)))
	g.Expect(strings.Count(lines.String(), "level=ERROR")).To(Equal(1), "one line for a series of failures")
}
