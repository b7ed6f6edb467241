package forward

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// connection is a pooled connection to an endpoint.
type connection struct {
	net.Conn
	reader      *bufio.Reader
	pool        *pool
	endpoint    string // id of the endpoint it was opened for
	used        bool   // has carried a response
	idleSince   time.Time
	idleTimeout time.Duration // time it may stay idle; 0 if the endpoint closes it

	closeOnce sync.Once
}

// abort closes the connection and releases its pool slot. It is idempotent and
// safe to call at any time.
func (c *connection) abort() {
	c.closeOnce.Do(func() {
		// A close error has no consequence, as the connection is not used again.
		_ = c.Close()
		c.pool.releaseSlot()
	})
}

// closeForNext closes an idle connection and leaves its pool slot to the next one.
func (c *connection) closeForNext() {
	c.closeOnce.Do(func() {
		_ = c.Close()
	})
}

// pool holds the idle connections to an address and counts the open ones.
type pool struct {
	mu   sync.Mutex
	idle []*connection // most recently used last
	open int
}

// acquireSlot counts a new connection and reports whether the limit allows it. At
// the limit it closes the oldest idle connection to make room.
func (p *pool) acquireSlot(limit int) bool {
	p.mu.Lock()
	if limit <= 0 || p.open < limit {
		p.open++
		p.mu.Unlock()
		return true
	}
	if len(p.idle) == 0 {
		p.mu.Unlock()
		return false
	}
	oldest := p.idle[0]
	p.idle = p.idle[1:]
	p.mu.Unlock()
	oldest.closeForNext()
	return true
}

func (p *pool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// get returns a reusable idle connection, or nil if there is none.
func (p *pool) get(endpoint string, now time.Time) *connection {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if c.endpoint == endpoint && now.Sub(c.idleSince) < c.idleTimeout && c.isReusable() {
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
	c.idleSince = time.Now()
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
