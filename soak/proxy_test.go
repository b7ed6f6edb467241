package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy is a TCP proxy in front of a replica that injects connection faults.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	mode   string    // "", "delay", "reset", "silence" or "oneway"
	faults int       // odd while a mode is set
	heldAt time.Time // when the last mode that holds or loses answers was set
	conns  map[net.Conn]bool
}

const (
	proxyDelay = 60 * time.Millisecond
	// deliveryTime is how long an answer may be on its way through the proxy.
	deliveryTime = 100 * time.Millisecond
)

func newProxy(l net.Listener, target string) *proxy {
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

// setMode changes the mode. The mode "reset" closes the open connections once and
// clears the mode.
func (p *proxy) setMode(mode string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setModeLocked(mode)
	if mode != "reset" {
		return
	}
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// The connection may already be closed.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	p.setModeLocked("")
}

func (p *proxy) setModeLocked(mode string) {
	if (mode != "") != (p.mode != "") {
		p.faults++
	}
	p.mode = mode
	if mode == "silence" || mode == "oneway" || mode == "reset" {
		p.heldAt = time.Now()
	}
}

// mayHold reports whether an answer written at t, now or before, may not have reached its
// caller.
func (p *proxy) mayHold(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isHolding := p.mode == "silence" || p.mode == "oneway"
	return (isHolding && !t.Before(p.heldAt)) || (t.Before(p.heldAt) && p.heldAt.Sub(t) < deliveryTime)
}

// faultCount returns a number that changes with each fault and is odd during one.
func (p *proxy) faultCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) currentMode() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) serve(c net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.track(c, true)
	defer p.track(c, false)
	var wait sync.WaitGroup
	wait.Go(func() { p.copy(upstream, c, false) })
	wait.Go(func() { p.copy(c, upstream, true) })
	wait.Wait()
	_ = c.Close()
	_ = upstream.Close()
}

// copy forwards bytes as the mode allows. toCaller is set for the direction from
// the replica to the caller.
func (p *proxy) copy(dst, src net.Conn, toCaller bool) {
	defer func() {
		// Also ends the opposite direction.
		_ = dst.Close()
		_ = src.Close()
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			p.delayBytes(toCaller)
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				return
			}
			return
		}
	}
}

// delayBytes applies the delay of the mode, or blocks while the mode drops bytes in
// this direction.
func (p *proxy) delayBytes(toCaller bool) {
	for {
		switch p.currentMode() {
		case "delay":
			time.Sleep(proxyDelay)
			return
		case "silence":
		case "oneway":
			if !toCaller {
				return
			}
		default:
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
