package mesh

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
)

// silencingListener can make the connections that it has accepted go silent for good: what
// arrives on them is lost, and they stay open. New ones work.
type silencingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*silencedConn
}

func (l *silencingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silencedConn{Conn: conn}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// silence silences all connections accepted so far and returns how many these are.
func (l *silencingListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.isSilent.Store(true)
	}
	return len(l.conns)
}

type silencedConn struct {
	net.Conn
	isSilent atomic.Bool
}

func (c *silencedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent.Load() {
			return n, err
		}
	}
}

// quorumStub counts the messages of the quorum that reach it.
type quorumStub struct {
	jacinthplankv1connect.UnimplementedQuorumServiceHandler
	received atomic.Int64

	mu       sync.Mutex
	messages map[string]bool // short ones
	address  string
}

// newQuorumStub serves a member on a real socket.
func newQuorumStub(t *testing.T) *quorumStub {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveQuorumStub(t, l)
}

func serveQuorumStub(t *testing.T, l net.Listener) *quorumStub {
	stub := &quorumStub{address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.Handle(jacinthplankv1connect.NewQuorumServiceHandler(stub))
	server := NewHTTPServer(mux)
	go func() { _ = server.Serve(l) }()      // ends with the test
	t.Cleanup(func() { _ = server.Close() }) // nothing is written
	return stub
}

func (s *quorumStub) has(message string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.messages[message]
}

func (s *quorumStub) Send(_ context.Context, r *connect.Request[pb.SendRequest]) (*connect.Response[pb.SendResponse], error) {
	s.received.Add(int64(len(r.Msg.GetMessages())))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.messages == nil {
		s.messages = map[string]bool{}
	}
	for _, message := range r.Msg.GetMessages() {
		if len(message) < 100 {
			s.messages[string(message)] = true
		}
	}
	return connect.NewResponse(&pb.SendResponse{}), nil
}

// TestMemberIsReachedAfterItsConnectionsWentSilent guards against a member that can be reached
// by new connections and isn't, because each idle one that went silent costs a call its time:
// after stableWindow, the fleet is expected to be as if nothing had happened.
func TestMemberIsReachedAfterItsConnectionsWentSilent(t *testing.T) {
	t.Parallel()
	const stableWindow = 3 * time.Second
	g := NewWithT(t)
	stub := &quorumStub{}
	mux := http.NewServeMux()
	mux.Handle(jacinthplankv1connect.NewQuorumServiceHandler(stub))
	together := make(chan struct{})
	mux.HandleFunc("/together", func(http.ResponseWriter, *http.Request) { <-together })
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l := &silencingListener{Listener: tcp}
	server := NewHTTPServer(mux)
	go func() { _ = server.Serve(l) }() // ends with the test
	t.Cleanup(func() { _ = server.Close() })
	m := idleMesh("a", nil)
	t.Cleanup(m.Stop)

	var calls sync.WaitGroup
	for range maxIdleConnsPerPeer {
		calls.Go(func() {
			resp, err := m.client.Get("http://" + tcp.Addr().String() + "/together")
			if err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	g.Eventually(func() int { l.mu.Lock(); defer l.mu.Unlock(); return len(l.conns) }).
		WithTimeout(10 * time.Second).Should(Equal(maxIdleConnsPerPeer))
	close(together)
	calls.Wait()
	g.Expect(l.silence()).To(Equal(maxIdleConnsPerPeer))
	started := time.Now()
	g.Eventually(func() int64 {
		m.transport.Send(quorum.Member{Name: "b", Address: tcp.Addr().String()}, [][]byte{[]byte("heartbeat")})
		return stub.received.Load()
	}).WithTimeout(15 * time.Second).WithPolling(50 * time.Millisecond).Should(BeNumerically(">", 0))
	took := time.Since(started)
	t.Logf("reached after %v", took)
	g.Expect(took).To(BeNumerically("<", stableWindow))
}
