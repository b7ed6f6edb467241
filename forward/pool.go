package forward

import (
	"bufio"
	"slices"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/response"
)

// connection is a pooled connection to an endpoint.
type connection struct {
	*response.Conn
	limiter     *headLimiter
	reader      *bufio.Reader // of limiter
	pool        *pool
	endpoint    string // id of the endpoint it was opened for
	noID        bool   // carries calls without an id, and no others
	used        bool   // has carried a response
	idleSince   time.Time
	idleTimeout time.Duration // time it may stay idle; 0 if the endpoint closes it
	refused     []string      // ids of the requests that were refused on it

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
		_ = c.Close() // it is not used again
	})
}

// mayServe reports whether an idle connection was opened for the endpoint and its idle
// timeout has not passed.
func (c *connection) mayServe(endpoint string, now time.Time) bool {
	return c.endpoint == endpoint && now.Sub(c.idleSince) < c.idleTimeout
}

// maxRefusedIDs bounds the ids that a connection remembers. One that reaches it is closed.
const maxRefusedIDs = 64

// noteRefused remembers that a request was refused on this connection. It returns false if
// the connection may not be used again.
func (c *connection) noteRefused(id string) bool {
	if len(c.refused) == maxRefusedIDs {
		return false
	}
	if id != "" {
		c.refused = append(c.refused, id)
	}
	return true
}

// mayCarry reports whether a response to the call can be told from the earlier ones on this
// connection.
func (c *connection) mayCarry(call *Call) bool {
	return c.noID == call.NoID && !slices.Contains(c.refused, call.RequestID)
}

// pool holds the idle connections to an address and counts the open ones.
type pool struct {
	mu      sync.Mutex
	idle    []*connection // most recently used last
	open    int
	retired bool // removed from the client
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

// get returns an idle connection that the call may reuse, or nil if there is none. Calls
// without an id have connections of their own: a second response to one can't be told from
// the response to the next call.
func (p *pool) get(endpoint string, call *Call, now time.Time) *connection {
	for {
		c := p.pop(call)
		if c == nil {
			return nil
		}
		if c.mayServe(endpoint, now) && c.isReusable() {
			return c
		}
		c.abort()
	}
}

func (p *pool) pop(call *Call) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.mayCarry(call) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *pool) put(c *connection) {
	c.idleSince = time.Now()
	c.used = true
	if !p.addIdle(c) {
		c.abort()
	}
}

func (p *pool) addIdle(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		return false
	}
	p.idle = append(p.idle, c)
	return true
}

// closeIdle closes the idle connections that were opened for other endpoints or have
// been idle for too long.
func (p *pool) closeIdle(endpoint string, now time.Time) {
	for _, c := range p.takeUnusable(endpoint, now) {
		c.abort()
	}
}

func (p *pool) takeUnusable(endpoint string, now time.Time) []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unusable []*connection
	p.idle = slices.DeleteFunc(p.idle, func(c *connection) bool {
		if c.mayServe(endpoint, now) {
			return false
		}
		unusable = append(unusable, c)
		return true
	})
	return unusable
}

// retire marks the pool as removed unless it has open connections, which count towards
// the limit of the address. A call that got the pool before may still open a
// connection; put closes it.
func (p *pool) retire() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = p.open == 0
	return p.retired
}
