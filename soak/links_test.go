package soak

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// linkState is the state of the link from one entry to another, for one direction.
type linkState struct {
	cut   bool // nothing arrives; it arrives later if the link is joined again
	delay time.Duration
}

// links are proxies between entries. Each entry advertises the address of its proxy, and the
// source address of a call tells the caller.
type links struct {
	mu        sync.Mutex
	state     func(from, to string) linkState // by the IPs of the entries
	changed   chan struct{}                   // closed when state changes
	closed    bool
	listeners []net.Listener
	open      map[*link]bool
	dark      map[string]bool // entries without power, by IP
	rate      float64         // bytes per second that an entry sends and receives, all its connections together; 0 for no limit
	busyUntil map[string]time.Time
}

// link is a connection from the entry that opened it to another one.
type link struct {
	from, to       string
	caller, server net.Conn    // server is nil until the connection is established
	silent         atomic.Bool // for good
	forgotten      atomic.Bool // one end has lost power and is back: it resets the connection at the next packet
}

func newLinks() *links {
	return &links{state: joined, changed: make(chan struct{}), open: map[*link]bool{}, dark: map[string]bool{}, busyUntil: map[string]time.Time{}}
}

func joined(_, _ string) linkState { return linkState{} }

// listen starts the proxy of an entry.
func (l *links) listen(front, ip string) error {
	port := func(ip string) string { return (&process{ip: ip}).address(peerPort) }
	listener, err := net.Listen("tcp", port(front))
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, listener)
	l.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			from, _, _ := net.SplitHostPort(c.RemoteAddr().String()) // an address of the kernel
			go l.serve(&link{from: from, to: ip, caller: c}, port(ip))
		}
	}()
	return nil
}

// set changes the state of all links.
func (l *links) set(state func(from, to string) linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
}

// silence lets the open connections that match carry nothing any more. New ones work.
func (l *links) silence(match func(from, to string) bool) (n int) {
	for _, k := range l.connections(match) {
		k.silent.Store(true)
		n++
	}
	return n
}

// reset resets the open connections that match, at both ends.
func (l *links) reset(match func(from, to string) bool) (n int) {
	for _, k := range l.connections(match) {
		resetConn(k.caller)
		resetConn(k.server)
		n++
	}
	return n
}

func (l *links) connections(match func(from, to string) bool) []*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*link
	for k := range l.open {
		if match(k.from, k.to) || match(k.to, k.from) {
			out = append(out, k)
		}
	}
	return out
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it may be closed already
	}
	_ = c.Close()
}

func (l *links) close() {
	l.mu.Lock()
	l.closed = true
	listeners := slices.Clone(l.listeners)
	l.mu.Unlock()
	l.set(joined)
	for _, listener := range listeners {
		_ = listener.Close()
	}
	l.reset(func(_, _ string) bool { return true })
}

func (l *links) now(from, to string) (s linkState, changed <-chan struct{}) {
	l.mu.Lock()
	state, changed, dark := l.state, l.changed, l.dark[from] || l.dark[to]
	l.mu.Unlock()
	// state may lock the fleet, which starts proxies while it is locked.
	s = state(from, to)
	s.cut = s.cut || dark
	return s, changed
}

// establish plays the handshake, a packet each way, as the kernel of this machine completes
// that with the proxy at once. It reports whether the handshake succeeds before an entry would
// give the connection up.
func (l *links) establish(k *link) bool {
	deadline := time.NewTimer(*linkHandshake)
	defer deadline.Stop()
	for _, way := range [][2]string{{k.from, k.to}, {k.to, k.from}} {
		for {
			s, changed := l.now(way[0], way[1])
			passed := (<-chan time.Time)(nil)
			if !s.cut {
				passed = time.After(s.delay)
			}
			select {
			case <-deadline.C:
				return false
			case <-changed:
				continue
			case <-passed:
			}
			break
		}
	}
	return true
}

func (l *links) serve(k *link, address string) {
	if !l.establish(k) {
		resetConn(k.caller)
		return
	}
	server, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		resetConn(k.caller)
		return
	}
	k.server = server
	l.mu.Lock()
	l.open[k] = !l.closed
	if l.dark[k.from] || l.dark[k.to] {
		k.silent.Store(true)
	}
	l.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { l.copy(k, k.server, k.caller, k.from, k.to) })
	wait.Go(func() { l.copy(k, k.caller, k.server, k.to, k.from) })
	wait.Wait()
	_, _ = k.caller.Close(), k.server.Close()
	l.mu.Lock()
	delete(l.open, k)
	l.mu.Unlock()
}

// reserve returns when n bytes have passed the own links of both entries.
func (l *links) reserve(n int, from, to string) time.Time {
	now := time.Now()
	if l.rate == 0 {
		return now
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := now
	for _, end := range []string{"from " + from, "to " + to} {
		start := now
		if l.busyUntil[end].After(now) {
			start = l.busyUntil[end]
		}
		l.busyUntil[end] = start.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
		if l.busyUntil[end].After(latest) {
			latest = l.busyUntil[end]
		}
	}
	return latest
}

// packet is what was read at once, or the end of the connection if it is empty.
type packet struct {
	data []byte
	due  time.Time
}

// Limits of what is on its way on a connection. Then the sender has to wait.
const (
	packetsOnTheWay = 64 // of 32 KiB at most
	smallWindow     = 4  // packets, on links with a limited rate
)

// copy passes on what src sends as the link allows, and the end of the connection as well.
func (l *links) copy(k *link, dst, src net.Conn, from, to string) {
	window := packetsOnTheWay
	if l.rate > 0 {
		window = smallWindow
	}
	packets := make(chan packet, window)
	go func() {
		defer close(packets)
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			s, _ := l.now(from, to)
			due := l.reserve(n, from, to).Add(s.delay)
			if n > 0 {
				packets <- packet{slices.Clone(buffer[:n]), due}
			}
			if err != nil {
				packets <- packet{due: due}
				return
			}
		}
	}()
	for p := range packets {
		time.Sleep(time.Until(p.due))
		for s, changed := l.now(from, to); s.cut && !k.silent.Load(); s, changed = l.now(from, to) {
			<-changed
		}
		switch {
		case k.forgotten.Load() && len(p.data) > 0:
			resetConn(src)
		case k.silent.Load():
		case len(p.data) == 0:
			_ = dst.Close()
		default:
			// The end of dst is passed on by the other direction.
			_, _ = dst.Write(p.data)
		}
	}
}
