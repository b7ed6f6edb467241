package forward

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/response"

	"github.com/jacinthplank/jacinthplank/outcome"
)

func answerEcho(_ int64, r *http.Request, c net.Conn) bool { return writeOK(c, r.URL.Path[1:], "hi") }

func (c *Client) poolCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pools)
}

// get sends a request that answerEcho answers.
func get(t *testing.T, c *Client, target Target, id string) (*Reply, error) {
	t.Helper()
	return c.Send(t.Context(), target, &Call{RequestID: id, Method: "GET", URI: "/" + id, Host: "h"})
}

func TestIdleConnectionsToOtherEndpointsAreClosed(t *testing.T) {
	tests := []struct {
		name        string
		endpoints   func(address string) map[string]string
		open, pools int
	}{
		{"endpoint still at its address", func(a string) map[string]string { return map[string]string{a: "e"} }, 1, 1},
		{"endpoint left", func(string) map[string]string { return nil }, 0, 0},
		{"address taken over", func(a string) map[string]string { return map[string]string{a: "successor"} }, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			_, target := startEndpoint(t, answerEcho)
			c := NewClient(testDialect{})
			reply, err := get(t, c, target, "a")
			g.Expect(err).ToNot(HaveOccurred())
			_, err = reply.ReadAll(maxTestBody)
			g.Expect(err).ToNot(HaveOccurred())
			reply.Close()
			p := c.pool(target.Address)
			c.CloseIdleConnections(test.endpoints(target.Address))
			g.Expect(p.openCount()).To(Equal(test.open))
			g.Expect(c.poolCount()).To(Equal(test.pools))
		})
	}
}

// TestConnectionInUseIsNotClosedAsIdle checks that a connection in use survives that its
// endpoint leaves, counts towards the limit of its address, and is closed afterwards.
func TestConnectionInUseIsNotClosedAsIdle(t *testing.T) {
	g := NewWithT(t)
	_, target := startEndpoint(t, answerEcho)
	target.MaxConnections = 1
	c := NewClient(testDialect{})
	reply, err := get(t, c, target, "a")
	g.Expect(err).ToNot(HaveOccurred())
	c.CloseIdleConnections(nil)

	successor := target
	successor.ID = "successor"
	_, err = get(t, c, successor, "b")
	g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeOverloaded))
	body, err := reply.ReadAll(maxTestBody)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(string(body)).To(Equal("hi"))
	reply.Close()
	p := c.pool(target.Address)
	c.CloseIdleConnections(nil)
	g.Expect(p.openCount()).To(BeZero())
	g.Expect(c.poolCount()).To(BeZero())

	reply, err = get(t, c, successor, "b")
	g.Expect(err).ToNot(HaveOccurred())
	reply.Close()
}

// TestConnectionOfRetiredPoolIsClosed covers a call that looked up its pool before the
// pool was removed.
func TestConnectionOfRetiredPoolIsClosed(t *testing.T) {
	g := NewWithT(t)
	_, target := startEndpoint(t, answerEcho)
	c := NewClient(testDialect{})
	p := c.pool(target.Address)
	c.CloseIdleConnections(nil)
	g.Expect(c.poolCount()).To(BeZero())
	g.Expect(p.acquireSlot(0)).To(BeTrue())
	conn, err := net.Dial("tcp", target.Address)
	g.Expect(err).ToNot(HaveOccurred())
	p.put(&connection{Conn: response.NewConn(conn), pool: p, endpoint: target.ID})
	g.Expect(p.openCount()).To(BeZero())
	g.Expect(p.pop(&Call{})).To(BeNil())
}

// TestExpiredIdleConnectionsAreClosed checks that connections which a burst opened and
// no later call needs are closed once they may no longer be reused.
func TestExpiredIdleConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	_, target := startEndpoint(t, func(_ int64, r *http.Request, c net.Conn) bool {
		return writeResponse(c, "HTTP/1.1 200 OK\nX-Id: "+r.URL.Path[1:]+"\nKeep-Alive: timeout=2\nContent-Length: 2\n\nhi")
	})
	c := NewClient(testDialect{})
	endpoints := map[string]string{target.Address: target.ID}
	burst := func(n int) {
		var replies []*Reply
		for range n {
			reply, err := get(t, c, target, "a")
			g.Expect(err).ToNot(HaveOccurred())
			replies = append(replies, reply)
		}
		for _, reply := range replies {
			_, err := reply.ReadAll(maxTestBody)
			g.Expect(err).ToNot(HaveOccurred())
			reply.Close()
		}
	}
	burst(5)
	p := c.pool(target.Address)
	c.CloseIdleConnections(endpoints)
	g.Expect(p.openCount()).To(Equal(5))
	for range 4 {
		time.Sleep(500 * time.Millisecond)
		burst(1)
	}
	c.CloseIdleConnections(endpoints)
	g.Expect(p.openCount()).To(Equal(1))
	g.Expect(c.poolCount()).To(Equal(1))
}
