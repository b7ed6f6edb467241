package forward

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// connection is one connection to an endpoint.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	pool     *pool
	endpoint string // id of the endpoint that it was opened for
	used     bool   // carried an answer before
	idleFrom time.Time
	idleFor  time.Duration // time for which the endpoint keeps it

	once sync.Once
}

// abort closes the connection for good. It may be called at any time.
func (c *connection) abort() {
	c.once.Do(func() {
		// The connection is given up: nothing depends on how its close ends.
		_ = c.Close()
		c.pool.release()
	})
}

// pool keeps the idle connections to one address and counts the open ones.
type pool struct {
	mu   sync.Mutex
	idle []*connection // the latest used last
	open int
}

// admit counts one more open connection, within a bound.
func (p *pool) admit(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.open >= limit {
		if len(p.idle) == 0 {
			return false
		}
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		go oldest.abort()
	}
	p.open++
	return true
}

func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// take returns a kept connection that is still good, or nil.
func (p *pool) take(endpoint string, now time.Time) *connection {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if c.endpoint == endpoint && now.Sub(c.idleFrom) < c.idleFor && c.isQuiet() {
			return c
		}
		c.abort()
	}
}

func (p *pool) pop() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *pool) put(c *connection) {
	c.idleFrom = time.Now()
	c.used = true
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

func (p *pool) closeIdle() {
	for c := p.pop(); c != nil; c = p.pop() {
		c.abort()
	}
}
