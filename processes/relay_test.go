package processes_test

import (
	"io"
	"net"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// relay is a TCP relay that can be cut in one or both directions. A cut relay
// accepts connections but forwards no data, like a network that drops packets.
type relay struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	changed  *sync.Cond
	toTarget bool // whether data from callers is forwarded to the target
	toCaller bool
	conns    map[net.Conn]bool
	closed   bool
}

// newRelay starts a relay. setTarget must be called before the first connection.
func newRelay(t *testing.T) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	r := &relay{listener: l, toTarget: true, toCaller: true, conns: map[net.Conn]bool{}}
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

// setOpen sets which directions are open.
func (r *relay) setOpen(toTarget, toCaller bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.toTarget, r.toCaller = toTarget, toCaller
	r.changed.Broadcast()
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
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
	r.conns[caller], r.conns[target] = true, true
	r.mu.Unlock()
	go r.copy(target, caller, &r.toTarget)
	go r.copy(caller, target, &r.toCaller)
}

func (r *relay) copy(dst, src net.Conn, open *bool) {
	defer r.closeConns(dst, src)
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 && r.awaitOpen(open) {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitOpen blocks while the direction is cut and reports whether the relay is
// still running.
func (r *relay) awaitOpen(open *bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !*open && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

func (r *relay) closeConns(conns ...io.Closer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(r.conns, c.(net.Conn))
	}
}
