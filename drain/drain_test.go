package drain

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestIdleState(t *testing.T) {
	start := time.Unix(1000, 0)
	grace := Grace{New: time.Second, Kept: 100 * time.Millisecond}
	for name, c := range map[string]struct {
		state connState
		quiet time.Duration
		idle  bool
	}{
		"new":                                {connState{waiting: true}, grace.New / 2, false},
		"new for longer than the grace":      {connState{waiting: true}, grace.New, true},
		"new with a part of a request":       {connState{waiting: true, begun: true}, stalledTimeout / 2, false},
		"new with a stalled request":         {connState{waiting: true, begun: true}, stalledTimeout, true},
		"kept right after a response":        {connState{waiting: true, used: true}, grace.Kept / 2, false},
		"kept":                               {connState{waiting: true, used: true}, grace.Kept, true},
		"kept with a part of a request":      {connState{waiting: true, used: true, begun: true}, stalledTimeout / 2, false},
		"kept with a request in progress":    {connState{waiting: true, used: true, active: true}, time.Minute, false},
		"kept while the server holds data":   {connState{used: true}, time.Minute, false},
		"new connection whose request began": {read(connState{waiting: true}), time.Minute, false},
	} {
		c.state.accepted(start)
		NewWithT(t).Expect(c.state.isIdle(start.Add(c.quiet), grace)).To(Equal(c.idle), name)
	}
}

func read(s connState) connState {
	s.requestRead()
	return s
}

func TestResponseEndBeginsTheGrace(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	grace := Grace{Kept: 100 * time.Millisecond}
	s := connState{waiting: true}
	s.accepted(start)
	s.dataRead(start)
	s.requestRead()
	end := start.Add(time.Minute)
	s.responseEnded(end)
	g.Expect(s.isIdle(end.Add(grace.Kept/2), grace)).To(BeFalse())
	g.Expect(s.isIdle(end.Add(grace.Kept), grace)).To(BeTrue())
	s.dataRead(end.Add(grace.Kept))
	g.Expect(s.isIdle(end.Add(3*grace.Kept), grace)).To(BeFalse())
}

// pair returns both ends of a tracked connection.
func pair(t *testing.T, s *Connections) (*Conn, net.Conn) {
	t.Helper()
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).ToNot(HaveOccurred())
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).ToNot(HaveOccurred())
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err := s.Listener(l).Accept()
	g.Expect(err).ToNot(HaveOccurred())
	conn, ok := accepted.(*Conn)
	g.Expect(ok).To(BeTrue())
	t.Cleanup(func() { _ = conn.Close() })
	return conn, caller
}

// Guards against a close of a connection whose next request waits in the socket, because the process was late to read it.
func TestDataInSocketKeepsConnectionOpen(t *testing.T) {
	g := NewWithT(t)
	var s Connections
	conn, caller := pair(t, &s)
	conn.mu.Lock()
	conn.state = connState{used: true, waiting: true} // as if a Read were blocked
	conn.mu.Unlock()
	_, err := io.WriteString(caller, "GET")
	g.Expect(err).ToNot(HaveOccurred())
	g.Eventually(func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.hasData()
	}).Should(BeTrue())
	conn.closeIfIdle(time.Now(), Grace{})
	g.Expect(conn.IsClosed()).To(BeFalse())
	buffer := make([]byte, 8)
	n, err := conn.Read(buffer)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(string(buffer[:n])).To(Equal("GET"))
	conn.closeIfIdle(time.Now(), Grace{})
	g.Expect(conn.IsClosed()).To(BeFalse(), "a request has begun")
	g.Expect(s.Count()).To(Equal(1))
}

func TestReadErrorsAreThoseOfTCPConn(t *testing.T) {
	g := NewWithT(t)
	var s Connections
	conn, caller := pair(t, &s)
	g.Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))).To(Succeed())
	_, err := conn.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	var op *net.OpError
	g.Expect(errors.As(err, &op)).To(BeTrue())
	g.Expect(op.Op).To(Equal("read"), "net/http answers 400 to other errors")
	g.Expect(op.Timeout()).To(BeTrue())
	g.Expect(conn.SetReadDeadline(time.Time{})).To(Succeed())
	g.Expect(caller.Close()).To(Succeed())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(Equal(io.EOF))
	g.Expect(conn.Close()).To(Succeed())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(net.ErrClosed))
	g.Expect(s.Count()).To(BeZero())
}

// server serves h with tracked connections.
func server(t *testing.T, s *Connections, h http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).ToNot(HaveOccurred())
	web := &http.Server{ConnState: s.ConnState, ConnContext: s.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.MarkResponse(w.Header())
		h(w, r)
	})}
	go func() { _ = web.Serve(s.Listener(l)) }() // until the test closes it
	t.Cleanup(func() { _ = web.Close() })
	return l.Addr().String()
}

func TestDrainAnswersPipelinedRequests(t *testing.T) {
	g := NewWithT(t)
	var s Connections
	release := make(chan struct{})
	address := server(t, &s, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	conn, err := net.Dial("tcp", address)
	g.Expect(err).ToNot(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).ToNot(HaveOccurred())
	time.Sleep(50 * time.Millisecond)
	left := make(chan int, 1)
	go func() { left <- s.Drain(t.Context(), time.Time{}, Grace{}) }()
	time.Sleep(50 * time.Millisecond)
	close(release)
	reader := bufio.NewReader(conn)
	for _, path := range []string{"/1", "/2"} {
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).ToNot(HaveOccurred(), path)
		body, err := io.ReadAll(response.Body)
		g.Expect(err).ToNot(HaveOccurred(), path)
		g.Expect(string(body)).To(Equal(path))
	}
	g.Eventually(left).Should(Receive(BeZero()))
}

func TestDrainEndsWithConnectionsLeft(t *testing.T) {
	g := NewWithT(t)
	var s Connections
	release := make(chan struct{})
	defer close(release)
	began := make(chan struct{})
	address := server(t, &s, func(http.ResponseWriter, *http.Request) {
		close(began)
		<-release
	})
	conn, err := net.Dial("tcp", address)
	g.Expect(err).ToNot(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).ToNot(HaveOccurred())
	<-began
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	g.Expect(s.Drain(ctx, time.Time{}, Grace{})).To(Equal(1))
}

// lateListener accepts each connection later than the kernel does, as a busy process.
type lateListener struct {
	*net.TCPListener
	before, after time.Duration // around the kernel's accept
}

func (l *lateListener) Accept() (net.Conn, error) {
	time.Sleep(l.before)
	c, err := l.TCPListener.Accept()
	if err == nil {
		time.Sleep(l.after)
	}
	return c, err
}

// answersLateAccepted drains a server while whole requests wait on connections that it has not tracked yet.
func answersLateAccepted(t *testing.T, before, after time.Duration) {
	t.Helper()
	g := NewWithT(t)
	var s Connections
	web := &http.Server{ConnState: s.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.MarkResponse(w.Header())
		_, _ = io.WriteString(w, "answer")
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).ToNot(HaveOccurred())
	tcp, ok := l.(*net.TCPListener)
	g.Expect(ok).To(BeTrue())
	go func() { _ = web.Serve(s.Listener(&lateListener{tcp, before, after})) }() // until Drain closes it
	var conns []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp", l.Addr().String())
		g.Expect(err).ToNot(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).ToNot(HaveOccurred())
		conns = append(conns, conn)
	}
	g.Expect(s.Drain(t.Context(), time.Now(), Grace{New: time.Second})).To(BeZero())
	for _, conn := range conns {
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).ToNot(HaveOccurred(), "a whole request got no answer")
	}
}

// Guards against a listener that is closed, and so resets them, while connections with whole requests wait to be accepted.
func TestDrainAnswersRequestsInTheBacklog(t *testing.T) {
	answersLateAccepted(t, 50*time.Millisecond, 0)
}

// Guards against a drain that ends between the accept of a connection and its first sight of it.
func TestDrainWaitsForConnectionThatIsBeingAccepted(t *testing.T) {
	answersLateAccepted(t, 0, 50*time.Millisecond)
}
