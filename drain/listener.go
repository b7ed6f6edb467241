package drain

import (
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listener returns a listener whose connections are tracked and which Drain closes.
func (s *Connections) Listener(l net.Listener) net.Listener {
	out := &listener{Listener: l, connections: s}
	s.mu.Lock()
	s.listeners = append(s.listeners, out)
	s.mu.Unlock()
	return out
}

type listener struct {
	net.Listener
	connections *Connections
	accepting   sync.RWMutex // held for reading by Accept
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.accepting.RLock()
	defer l.accepting.RUnlock()
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tracked, err := l.connections.track(c)
		if err == nil {
			return tracked, nil
		}
		_ = c.Close() // it is already broken
	}
}

// Close implements net.Listener. It returns once each accepted connection is tracked.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.accepting.Lock()
	defer l.accepting.Unlock()
	return err
}

// hasBacklog reports whether connections wait to be accepted.
func (l *listener) hasBacklog() bool {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	err = raw.Control(func(fd uintptr) { ready = isReadable(fd) })
	return err == nil && ready
}

// isReadable polls a descriptor without waiting.
func isReadable(fd uintptr) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(p, 0)
	return err == nil && n == 1 && p[0].Revents&unix.POLLIN != 0
}
