package forward

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/response"
)

// Guards against more open connections than an endpoint allows, for which it may refuse a request: the connection that
// makes room for another has to be closed before the other is opened.
func TestPoolClosesIdleConnectionBeforeAnotherIsOpened(t *testing.T) {
	g := NewWithT(t)
	const limit = 4
	for range 1000 {
		p := &pool{}
		var peers []net.Conn
		for range limit {
			g.Expect(p.acquireSlot(limit)).To(BeTrue())
			here, peer := net.Pipe()
			peers = append(peers, peer)
			p.put(&connection{Conn: response.NewConn(here), pool: p})
		}
		oldest := p.idle[0]
		g.Expect(p.acquireSlot(limit)).To(BeTrue())
		p.mu.Lock()
		g.Expect(p.open).To(Equal(limit))
		g.Expect(p.idle).To(HaveLen(limit - 1))
		p.mu.Unlock()
		g.Expect(oldest.SetDeadline(time.Time{})).To(MatchError(io.ErrClosedPipe), "the oldest idle connection is still open")
		for _, peer := range peers {
			_ = peer.Close()
		}
	}
}
