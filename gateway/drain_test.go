package gateway

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/drain"
	"github.com/jacinthplank/jacinthplank/route"
)

// keptConnection returns a connection that has carried one request, and its reader.
func keptConnection(g *WithT, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	g.Expect(err).ToNot(HaveOccurred())
	_, err = io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).ToNot(HaveOccurred())
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).ToNot(HaveOccurred())
	_, err = io.Copy(io.Discard, response.Body)
	g.Expect(err).ToNot(HaveOccurred())
	return conn, reader
}

// Guards against a shutdown that closes a kept connection as idle while the next request on it is already being read.
func TestShutdownAnswersRequestThatIsBeingRead(t *testing.T) {
	g := NewWithT(t)
	var s *callerServer
	s = newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.connections.MarkResponse(w.Header())
		_, _ = io.WriteString(w, "answer")
	}))
	s.setLimits(route.HeaderLimits{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).ToNot(HaveOccurred())
	go func() { _ = s.serve(listener, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() { _ = listener.Close() })
	conn, reader := keptConnection(g, listener.Addr().String())
	defer func() { _ = conn.Close() }()

	_, err = io.WriteString(conn, "GET /second HTTP/1.1\r\n")
	g.Expect(err).ToNot(HaveOccurred())
	time.Sleep(100 * time.Millisecond) // the server has read the first line
	go s.connections.Drain(t.Context(), time.Time{}, drain.Grace{})
	time.Sleep(100 * time.Millisecond) // an idle connection is closed by then
	_, err = io.WriteString(conn, "Host: h\r\n\r\n")
	g.Expect(err).ToNot(HaveOccurred())
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).ToNot(HaveOccurred(), "the request got no answer")
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	g.Expect(response.Close).To(BeTrue(), "the caller is told that the connection ends")
}

// Guards against a shutdown that passes a request on and closes its connection without an answer. Callers send on kept
// connections around the moment at which idle connections are closed.
func TestShutdownCutsNoRequestThatWasPassedOn(t *testing.T) {
	g := NewWithT(t)
	const rounds, callers = 40, 64
	spread := 2 * time.Millisecond // of the callers' sends around the close
	for range rounds {
		var handled sync.Map
		s := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handled.Store(r.URL.Path, true)
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(w, "answer")
		}))
		s.setLimits(route.HeaderLimits{})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).ToNot(HaveOccurred())
		go func() { _ = s.serve(listener, slog.New(slog.DiscardHandler)) }()
		var cut atomic.Int64
		var wait sync.WaitGroup
		begin := make(chan struct{})
		for i := range callers {
			conn, reader := keptConnection(g, listener.Addr().String())
			path := fmt.Sprintf("/r%d", i)
			wait.Go(func() {
				defer func() { _ = conn.Close() }()
				<-begin
				time.Sleep(time.Duration(i) * 2 * spread / callers)
				if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
					return // closed before the request was sent
				}
				if _, err := http.ReadResponse(reader, nil); err == nil {
					return
				}
				if _, passedOn := handled.Load(path); passedOn {
					cut.Add(1)
				}
			})
		}
		close(begin)
		time.Sleep(spread)
		go s.connections.Drain(t.Context(), time.Time{}, drain.Grace{})
		wait.Wait()
		_ = listener.Close() // the drain may have closed it
		g.Expect(cut.Load()).To(BeZero(), "requests that were passed on and got no answer")
	}
}

// Guards against a connection that is closed right after a stream whose headers did not say so, while the caller's next
// request is on its way.
func TestShutdownAnswersRequestThatFollowsStream(t *testing.T) {
	// A try whose request is sent late, as the machine is busy, is repeated: the connection may have ended by then.
	sentAfter := callerGrace.Kept
	for try := 0; try < 5 && sentAfter > callerGrace.Kept*3/4; try++ {
		sentAfter = sendAfterStream(t)
	}
	NewWithT(t).Expect(sentAfter).To(BeNumerically("<=", callerGrace.Kept*3/4), "the requests were sent too late to show anything")
}

// sendAfterStream sends a request on the connection of a stream that has ended, during a shutdown, and
// expects an answer if it was sent in good time. It returns how long after the stream it was sent.
func sendAfterStream(t *testing.T) time.Duration {
	t.Helper()
	g := NewWithT(t)
	const roundTrip = 50 * time.Millisecond // of the caller
	release := make(chan struct{})
	var s *callerServer
	s = newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.connections.MarkResponse(w.Header())
		_, _ = io.WriteString(w, "event")
		if r.URL.Path == "/stream" {
			_ = http.NewResponseController(w).Flush()
			<-release
		}
	}))
	s.setLimits(route.HeaderLimits{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).ToNot(HaveOccurred())
	go func() { _ = s.serve(listener, slog.New(slog.DiscardHandler)) }()
	conn, reader := keptConnection(g, listener.Addr().String())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).ToNot(HaveOccurred())
	stream, err := http.ReadResponse(reader, nil)
	g.Expect(err).ToNot(HaveOccurred())
	go s.connections.Drain(t.Context(), time.Time{}, callerGrace)
	time.Sleep(roundTrip)
	released := time.Now()
	close(release)
	_, err = io.Copy(io.Discard, stream.Body)
	g.Expect(err).ToNot(HaveOccurred())
	time.Sleep(roundTrip)
	_, err = io.WriteString(conn, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	sentAfter := time.Since(released)
	if sentAfter > callerGrace.Kept*3/4 {
		return sentAfter
	}
	g.Expect(err).ToNot(HaveOccurred())
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).ToNot(HaveOccurred(), "the request got no answer")
	g.Expect(response.Close).To(BeTrue())
	return sentAfter
}
