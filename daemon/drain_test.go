package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/drain"
	"github.com/jacinthplank/jacinthplank/settings"
)

const (
	// shutdownDelay is the time after which a shutdown has closed all idle HTTP/1 connections.
	shutdownDelay = 200 * time.Millisecond
	// idleTime is longer than a shutdown waits for HTTP/2 connections without a stream.
	idleTime = 2 * time.Second
)

// testServer is a server of the daemon that answers each request with "answer" after delay.
type testServer struct {
	address string
	stop    func()
	stopped chan struct{}
	handled sync.Map // paths of the requests that have reached the handler
}

// servers are the daemon's servers.
var servers = map[string]func(*WithT, http.Handler) *drain.Server{
	"callers": func(_ *WithT, h http.Handler) *drain.Server { return newCallerServer(h) },
	"peers": func(g *WithT, h http.Handler) *drain.Server {
		n, err := newNetwork(settings.TLS{}, nil, nil)
		g.Expect(err).NotTo(HaveOccurred())
		return n.newPeerServer(h)
	},
}

func startServer(t *testing.T, g *WithT, name string, delay time.Duration) *testServer {
	s := &testServer{stopped: make(chan struct{})}
	served := servers[name](g, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handled.Store(r.URL.Path, true)
		time.Sleep(delay)
		_, _ = io.WriteString(w, "answer")
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s.address = listener.Addr().String()
	duty := &listenerDuty{"test", served, listener}
	go func() { _ = duty.Serve(context.WithoutCancel(t.Context())) }()
	s.stop = sync.OnceFunc(func() {
		go func() {
			defer close(s.stopped)
			if name == "peers" {
				shutDownPeers(context.WithoutCancel(t.Context()), served)
			} else {
				served.Shutdown(context.WithoutCancel(t.Context()))
			}
		}()
	})
	t.Cleanup(func() {
		s.stop()
		<-s.stopped
	})
	return s
}

// keptConnection returns a connection that has carried one request, and its reader.
func keptConnection(g *WithT, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return conn, reader
}

// expectLastAnswer expects an answer that tells the caller that the connection ends.
func expectLastAnswer(g *WithT, reader *bufio.Reader) {
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred(), "the request got no answer")
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	g.Expect(response.Close).To(BeTrue(), "the caller is told that the connection ends")
}

// Guards against a shutdown that closes a kept connection as idle while the next request on it is already being read.
func TestShutdownAnswersRequestThatIsBeingRead(t *testing.T) {
	for name := range servers {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := startServer(t, g, name, 0)
			conn, reader := keptConnection(g, s.address)
			defer func() { _ = conn.Close() }()
			_, err := io.WriteString(conn, "GET /second HTTP/1.1\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(shutdownDelay) // the server has read the first line
			s.stop()
			time.Sleep(shutdownDelay)
			_, err = io.WriteString(conn, "Host: h\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			expectLastAnswer(g, reader)
		})
	}
}

// Guards against a shutdown that cuts a request whose headers take longer to arrive than idle connections are waited for.
func TestShutdownAnswersRequestThatIsReadSlowly(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, g, "callers", 0)
	conn, reader := keptConnection(g, s.address)
	defer func() { _ = conn.Close() }()
	_, err := io.WriteString(conn, "GET /second HTTP/1.1\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(shutdownDelay)
	s.stop()
	time.Sleep(idleTime + shutdownDelay)
	_, err = io.WriteString(conn, "Host: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	expectLastAnswer(g, reader)
}

// Guards against a shutdown that drops the first request of a connection that was accepted just before.
func TestShutdownAnswersFirstRequestOfNewConnection(t *testing.T) {
	for name := range servers {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			// On a busy machine the request may be sent too late; then it is sent again to another server.
			g.Eventually(func() bool { return sendsFirstRequestInTime(t, g, name) }, "30s").Should(BeTrue())
		})
	}
}

// sendsFirstRequestInTime sends the first request of a connection 400 ms after it was made and 200 ms after
// the start of a shutdown, and expects its answer. It reports false, without that, if the request was sent
// so late that the server need not wait for it.
func sendsFirstRequestInTime(t *testing.T, g *WithT, name string) bool {
	const newConnGrace = 500 * time.Millisecond // for which a shutdown waits for the first request, after the connection was accepted
	s := startServer(t, g, name, 0)
	started := time.Now()
	conn, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	time.Sleep(shutdownDelay) // the server has accepted it
	s.stop()
	time.Sleep(shutdownDelay)
	_, err = io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
	if took := time.Since(started); took >= newConnGrace {
		t.Logf("the request was sent after %v", took)
		return false
	}
	g.Expect(err).NotTo(HaveOccurred())
	expectLastAnswer(g, bufio.NewReader(conn))
	return true
}

// Guards against a shutdown that cuts an HTTP/2 stream because it lasts longer than idle connections are waited for.
func TestShutdownCutsNoStream(t *testing.T) {
	for name := range servers {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := startServer(t, g, name, idleTime+time.Second)
			client := http2Client()
			go func() {
				defer s.stop()
				for t.Context().Err() == nil {
					if _, handled := s.handled.Load("/stream"); handled {
						return
					}
					time.Sleep(time.Millisecond)
				}
			}()
			response, err := client.Get("http://" + s.address + "/stream")
			g.Expect(err).NotTo(HaveOccurred(), "the request got no answer")
			defer func() { _ = response.Body.Close() }()
			g.Expect(response.ProtoMajor).To(Equal(2))
			g.Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("answer"))
		})
	}
}

// Guards against a shutdown that handles a request and closes its connection without an answer. Callers send on kept
// connections around the moment at which idle connections are closed.
func TestShutdownCutsNoRequestThatWasHandled(t *testing.T) {
	for name := range servers {
		for protocol, dial := range map[string]dialFunc{"HTTP1": dialHTTP1, "HTTP2": dialHTTP2} {
			t.Run(name+protocol, func(t *testing.T) {
				g := NewWithT(t)
				const rounds, callers = 10, 64
				var cut atomic.Int64
				for range rounds {
					sendAroundShutdown(t, g, name, dial, callers, &cut)
				}
				g.Expect(cut.Load()).To(BeZero(), "requests that were handled and got no answer")
			})
		}
	}
}

func sendAroundShutdown(t *testing.T, g *WithT, name string, dial dialFunc, callers int, cut *atomic.Int64) {
	const spread = 2 * time.Millisecond // of the sends around the shutdown
	s := startServer(t, g, name, time.Millisecond)
	var wait sync.WaitGroup
	begin := make(chan struct{})
	for i := range callers {
		send := dial(g, s.address)
		path := fmt.Sprintf("/r%d", i)
		wait.Go(func() {
			<-begin
			time.Sleep(time.Duration(i) * 2 * spread / time.Duration(callers))
			if send(path) != nil {
				if _, handled := s.handled.Load(path); handled {
					cut.Add(1)
				}
			}
		})
	}
	close(begin)
	time.Sleep(spread)
	s.stop()
	wait.Wait()
}

// dialFunc opens a connection, sends a first request and returns a function that sends another.
type dialFunc func(g *WithT, address string) func(path string) error

func dialHTTP1(g *WithT, address string) func(string) error {
	conn, reader := keptConnection(g, address)
	return func(path string) error {
		defer func() { _ = conn.Close() }()
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
			return err
		}
		_, err := http.ReadResponse(reader, nil)
		return err
	}
}

func dialHTTP2(g *WithT, address string) func(string) error {
	client := http2Client()
	get := func(path string) error {
		response, err := client.Get("http://" + address + path)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	g.Expect(get("/first")).To(Succeed())
	return func(path string) error {
		defer client.CloseIdleConnections()
		return get(path)
	}
}

func http2Client() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols}}
}
