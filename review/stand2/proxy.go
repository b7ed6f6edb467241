package main

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// link is the path from some machines to another one: a proxy at an address of its own that
// forwards connections to the same port of the machine. While it is cut, it is silent: nothing
// is forwarded or answered, and connections stay open.
type link struct {
	mu      sync.Mutex
	isCut   bool
	changed *sync.Cond
}

// newLink forwards the connections to some ports of an address.
func newLink(from, to string, ports []int, cut bool) *link {
	l := &link{isCut: cut}
	l.changed = sync.NewCond(&l.mu)
	for _, port := range ports {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", from, port))
		if err != nil {
			cannotRun("proxy: %v", err)
		}
		go l.serve(listener, fmt.Sprintf("%s:%d", to, port))
	}
	return l
}

func (l *link) serve(listener net.Listener, target string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn, target)
	}
}

func (l *link) forward(conn net.Conn, target string) {
	l.wait()
	out, err := net.Dial("tcp", target)
	if err != nil {
		_ = conn.Close()
		return
	}
	go l.copy(out, conn)
	l.copy(conn, out)
}

func (l *link) copy(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.wait()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// wait returns when the link isn't cut.
func (l *link) wait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.isCut {
		l.changed.Wait()
	}
}

func (l *link) set(cut bool) {
	l.mu.Lock()
	l.isCut = cut
	l.mu.Unlock()
	l.changed.Broadcast()
}
