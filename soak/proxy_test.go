package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy stands before a replica and spoils its connections.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  string // "", "delay", "reset", "silence" or "oneway"
	conns map[net.Conn]bool
}

const proxyDelay = 60 * time.Millisecond

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

// set changes the mode; a reset strikes the open connections at once.
func (p *proxy) set(mode string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode != "reset" {
		return
	}
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// A connection that is gone needs no reset.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	p.mode = ""
}

func (p *proxy) current() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) keep(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) serve(c net.Conn) {
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.keep(c, true)
	defer p.keep(c, false)
	var wait sync.WaitGroup
	wait.Go(func() { p.copy(up, c, false) })
	wait.Go(func() { p.copy(c, up, true) })
	wait.Wait()
	_ = c.Close()
	_ = up.Close()
}

// copy passes bytes on as the mode allows. answers tells the way back.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() {
		// The other way ends with this one.
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(answers)
			if _, err := to.Write(buffer[:n]); err != nil {
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

// hold waits while the mode keeps bytes back.
func (p *proxy) hold(answers bool) {
	for {
		switch p.current() {
		case "delay":
			time.Sleep(proxyDelay)
			return
		case "silence":
		case "oneway":
			if !answers {
				return
			}
		default:
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
