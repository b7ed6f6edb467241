package drain_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/drain"
)

// step is longer than a shutdown needs to close all idle HTTP/1 connections.
const step = 200 * time.Millisecond

// serve runs a server for HTTP/1 and unencrypted HTTP/2 and returns its address.
func serve(t *testing.T, g *WithT, h http.HandlerFunc) (*drain.Server, string) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := drain.NewServer(&http.Server{Handler: h, Protocols: protocols})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	return s, l.Addr().String()
}

func shutDown(t *testing.T, s *drain.Server) chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Shutdown(t.Context())
	}()
	return done
}

// splitConn sends the first bytes of a connection, a part of the HTTP/2 preface, on its own.
type splitConn struct {
	net.Conn
	split func()
}

func (c *splitConn) Write(p []byte) (int, error) {
	if c.split == nil {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:5])
	if err != nil {
		return n, err
	}
	c.split()
	c.split = nil
	m, err := c.Conn.Write(p[5:])
	return n + m, err
}

func http2Client(split func()) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		return &splitConn{c, split}, err
	}}}
}

// Guards against a shutdown that closes an HTTP/2 connection whose preface is being read, or leaves it without a GOAWAY.
func TestShutdownServesHTTP2ConnectionThatIsBeingOpened(t *testing.T) {
	g := NewWithT(t)
	s, address := serve(t, g, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	var done chan struct{}
	client := http2Client(func() {
		time.Sleep(step) // the server has read the first bytes
		done = shutDown(t, s)
		time.Sleep(step)
	})
	response, err := client.Get("http://" + address)
	g.Expect(err).NotTo(HaveOccurred(), "the request got no answer")
	g.Expect(response.ProtoMajor).To(Equal(2))
	g.Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("answer"))
	g.Eventually(done, 3*time.Second).Should(BeClosed())
}

// Guards against a drain during which HTTP/2 clients go on sending on the connections that they have.
func TestStartDrainEndsHTTP2ConnectionWithNextResponse(t *testing.T) {
	g := NewWithT(t)
	s, address := serve(t, g, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.RemoteAddr) })
	client := http2Client(nil)
	get := func() string {
		response, err := client.Get("http://" + address)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		return string(body)
	}
	first := get()
	g.Expect(get()).To(Equal(first), "the connection is kept")
	s.StartDrain()
	g.Expect(get()).To(Equal(first))
	time.Sleep(step)
	g.Expect(get()).NotTo(Equal(first), "the client has opened another connection")
}

// Guards against a shutdown that waits for a client that keeps an idle connection, of either protocol, open.
func TestShutdownEndsIdleConnections(t *testing.T) {
	g := NewWithT(t)
	s, address := serve(t, g, func(http.ResponseWriter, *http.Request) {})
	for _, client := range []*http.Client{http2Client(nil), {Transport: &http.Transport{}}} {
		response, err := client.Get("http://" + address)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	g.Eventually(shutDown(t, s), 3*time.Second).Should(BeClosed())
}

// Guards against a server that begins to serve after its shutdown.
func TestServeAfterShutdown(t *testing.T) {
	g := NewWithT(t)
	s := drain.NewServer(&http.Server{Handler: http.NotFoundHandler()})
	s.Shutdown(t.Context())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Serve(l)).To(MatchError(http.ErrServerClosed))
	_, err = net.Dial("tcp", l.Addr().String())
	g.Expect(err).To(HaveOccurred())
}
