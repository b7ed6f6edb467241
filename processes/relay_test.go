package processes_test

import (
	"io"
	"net"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// relay is a TCP relay that can be cut, one way or both. A cut relay accepts
// connections and passes nothing on, as a network that drops packets does.
type relay struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	forth   bool // from callers to the target
	back    bool
	open    map[net.Conn]bool
	closed  bool
}

// newRelay listens; setTarget is called before the first connection.
func newRelay(t *testing.T) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	r := &relay{listener: l, forth: true, back: true, open: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	go r.serve()
	t.Cleanup(r.close)
	return r
}

func (r *relay) setTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = address
}

func (r *relay) address() string { return r.listener.Addr().String() }

// pass sets which ways are open.
func (r *relay) pass(forth, back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forth, r.back = forth, back
	r.changed.Broadcast()
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		_ = c.Close()
	}
	r.closed = true
	r.changed.Broadcast()
}

func (r *relay) serve() {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(caller)
	}
}

func (r *relay) connect(caller net.Conn) {
	r.mu.Lock()
	address := r.target
	r.mu.Unlock()
	target, err := net.Dial("tcp", address)
	if err != nil {
		_ = caller.Close()
		return
	}
	r.mu.Lock()
	r.open[caller], r.open[target] = true, true
	r.mu.Unlock()
	go r.copy(target, caller, &r.forth)
	go r.copy(caller, target, &r.back)
}

func (r *relay) copy(to, from net.Conn, open *bool) {
	defer r.forget(to, from)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && r.await(open) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await blocks while the way is cut.
func (r *relay) await(open *bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !*open && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

func (r *relay) forget(conns ...io.Closer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(r.open, c.(net.Conn))
	}
}
