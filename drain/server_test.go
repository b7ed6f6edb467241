package drain_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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

// splitConn sends the first bytes of a connection, a part of the HTTP/2 preface, on its own,
// and what follows the preface late.
type splitConn struct {
	net.Conn
	split func()
	delay time.Duration // before each write after the first
}

func (c *splitConn) Write(p []byte) (int, error) {
	if c.split == nil {
		time.Sleep(c.delay)
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

func http2Client(split func()) *http.Client { return lateHTTP2Client(split, 0) }

func lateHTTP2Client(split func(), delay time.Duration) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		return &splitConn{c, split, delay}, err
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

// Guards against a shutdown that sends a GOAWAY to an HTTP/2 connection before its first request, which is on its way, has
// arrived: the client had to repeat it elsewhere.
func TestShutdownServesFirstRequestOfHTTP2Connection(t *testing.T) {
	g := NewWithT(t)
	s, address := serve(t, g, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	var done chan struct{}
	client := lateHTTP2Client(func() {
		time.Sleep(step)
		done = shutDown(t, s)
		time.Sleep(step)
	}, 50*time.Millisecond)
	response, err := client.Get("http://" + address)
	g.Expect(err).NotTo(HaveOccurred(), "the request got no answer")
	g.Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("answer"))
	g.Eventually(done, 3*time.Second).Should(BeClosed())
}

// Guards against a shutdown that waits long for the first request of an HTTP/2 connection.
func TestShutdownEndsHTTP2ConnectionWithoutRequest(t *testing.T) {
	g := NewWithT(t)
	s, address := serve(t, g, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	const emptySettings = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	_, err = io.WriteString(conn, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"+emptySettings)
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(step)
	done := shutDown(t, s)
	g.Expect(frameTypes(conn)).To(ContainElement(byte(7)), "the client got no GOAWAY")
	g.Eventually(done, 4*time.Second).Should(BeClosed())
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

// Guards against a shutdown that cuts an HTTP/2 stream on a connection with TLS, which isn't tracked as those of HTTP/1.
func TestShutdownCutsNoStreamWithTLS(t *testing.T) {
	g := NewWithT(t)
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	pair := httptest.NewTLSServer(nil) // for its certificate
	defer pair.Close()
	s := drain.NewServer(&http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(3 * time.Second) // more than a shutdown waits for connections without a stream
		_, _ = io.WriteString(w, "answer")
	})})
	l, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: pair.TLS.Certificates, NextProtos: []string{"h2"}})
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	roots := x509.NewCertPool()
	roots.AddCert(pair.Certificate())
	client := &http.Client{Transport: &http.Transport{Protocols: protocols, TLSClientConfig: &tls.Config{RootCAs: roots}}}
	done := make(chan struct{})
	time.AfterFunc(step, func() {
		defer close(done)
		s.Shutdown(t.Context())
	})
	response, err := client.Get("https://" + l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred(), "the request got no answer")
	g.Expect(response.ProtoMajor).To(Equal(2))
	g.Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("answer"))
	g.Eventually(done, 3*time.Second).Should(BeClosed())
}

// Guards against a shutdown that closes an HTTP/2 connection without a GOAWAY, which tells its client what was not read,
// because the connection was being opened.
func TestShutdownTellsConnectionInTLSHandshake(t *testing.T) {
	g := NewWithT(t)
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	pair := httptest.NewTLSServer(nil) // for its certificate
	defer pair.Close()
	s := drain.NewServer(&http.Server{Protocols: protocols, Handler: http.NotFoundHandler()})
	l, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: pair.TLS.Certificates, NextProtos: []string{"h2"}})
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	conn, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	time.Sleep(step) // the server has accepted it
	done := shutDown(t, s)
	time.Sleep(step)

	roots := x509.NewCertPool()
	roots.AddCert(pair.Certificate())
	client := tls.Client(conn, &tls.Config{RootCAs: roots, ServerName: "example.com", NextProtos: []string{"h2"}})
	const emptySettings = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	_, err = io.WriteString(client, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"+emptySettings)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(frameTypes(client)).To(ContainElement(byte(7)), "the client got no GOAWAY")
	g.Eventually(done, 3*time.Second).Should(BeClosed())
}

// frameTypes returns the types of the HTTP/2 frames that arrive until the connection ends.
func frameTypes(r io.Reader) []byte {
	var types []byte
	for {
		var header [9]byte
		if _, err := io.ReadFull(r, header[:]); err != nil {
			return types
		}
		types = append(types, header[3])
		length := int64(header[0])<<16 | int64(header[1])<<8 | int64(header[2])
		if _, err := io.CopyN(io.Discard, r, length); err != nil {
			return types
		}
	}
}
