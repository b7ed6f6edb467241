package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
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
	go func() { _ = server.serve(l) }()
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
	server.setLimits(route.HeaderLimits{Bytes: 1000, Timeout: 100 * time.Millisecond, Idle: 100 * time.Millisecond})
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
