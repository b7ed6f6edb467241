package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const callDeadline = 2500 * time.Millisecond

var kinds = []string{"safe", "once", "gen"}

// shortKind is an idempotent request that a replica answers at once.
const shortKind = "safe/short"

// maxExtraHeaders is the maximum number of headers of a request that the platform does
// not define.
const maxExtraHeaders = 100

// runCaller sends requests on a connection each.
func (s *soak) runCaller(random *rand.Rand) {
	for s.stop.Err() == nil {
		s.call(kinds[random.IntN(len(kinds))], s.fleet.processes[random.IntN(len(s.fleet.processes))])
		time.Sleep(10 * time.Millisecond)
	}
}

// call sends one request and checks the response. It returns the status, or 0 if
// there was no complete response.
func (s *soak) call(kind string, p *process) int {
	x := s.begin(kind, p)
	ctx, cancel := context.WithTimeout(context.Background(), 2*callDeadline)
	defer cancel()
	r := send(ctx, http.MethodPost, "http://"+p.address(callerPort)+x.path(), "h", x.body(), map[string]string{
		wire.Request: x.id, wire.Deadline: strconv.FormatInt(callDeadline.Milliseconds(), 10),
	})
	s.end(x, r)
	if r.err != nil {
		return 0
	}
	return r.status
}

// keptCaller is a caller that sends request after request on one connection.
type keptCaller struct {
	s        *soak
	random   *rand.Rand
	entry    *process
	conn     net.Conn
	reader   *bufio.Reader
	maxPause time.Duration // between two requests; 0 to send back to back
	before   disturbances  // of the entry when the connection was last known to work
}

const (
	maxCallerPause = 800 * time.Millisecond
	maxPartPause   = 30 * time.Millisecond  // between two parts of a request
	longPartPause  = 300 * time.Millisecond // of one request in four that has parts
)

func (s *soak) runKeptCaller(i int) {
	k := &keptCaller{s: s, random: s.newRandom(fmt.Sprint("kept caller ", i))}
	if i%2 == 0 {
		k.maxPause = maxCallerPause
	}
	for s.stop.Err() == nil {
		if !k.connect(s.fleet.processes[k.random.IntN(len(s.fleet.processes))]) {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if k.random.IntN(2) == 0 {
			k.pause() // a connection opened ahead of its first request
		}
		for s.stop.Err() == nil && k.exchange(kinds[k.random.IntN(len(kinds))]) {
			k.pause()
		}
		_ = k.conn.Close()
	}
}

func (k *keptCaller) pause() {
	if k.maxPause > 0 {
		k.s.sleep(between(k.random, 0, k.maxPause))
	}
}

func (k *keptCaller) connect(p *process) bool {
	k.entry, k.before = p, p.disturbances()
	conn, err := net.DialTimeout("tcp", p.address(callerPort), time.Second)
	if err != nil {
		if k.before.quietUntil(p.disturbances()) {
			k.s.reportViolation("%s, which was not disturbed, accepts no connection: %v", p.name, err)
		}
		return false
	}
	k.conn, k.reader = conn, bufio.NewReader(conn)
	return true
}

// exchange sends one request and reads its response. It reports whether the
// connection may carry another one.
func (k *keptCaller) exchange(kind string) bool {
	x := k.s.begin(kind, k.entry)
	x.kept, x.connBefore = true, k.before
	r := k.roundTrip(x)
	k.s.end(x, r)
	k.before = x.entryAfter
	return r.err == nil && !strings.EqualFold(r.header.Get("Connection"), "close")
}

func (k *keptCaller) roundTrip(x *exchange) reply {
	method := http.MethodPost
	if k.random.IntN(2) == 0 {
		method, x.empty = http.MethodGet, true
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, x.path(), wire.Request, x.id, wire.Deadline, callDeadline.Milliseconds(), strings.Repeat("X-Extra: value\r\n", k.random.IntN(maxExtraHeaders)), len(x.body()), x.body())
	parts := []string{text}
	if k.random.IntN(4) == 0 {
		cut := 1 + k.random.IntN(len(text)-1)
		parts, x.inParts = []string{text[:cut], text[cut:]}, true
	}
	if err := k.conn.SetDeadline(time.Now().Add(2 * callDeadline)); err != nil {
		return reply{err: err}
	}
	for i, part := range parts {
		if i > 0 {
			limit := maxPartPause
			if k.random.IntN(4) == 0 {
				limit = longPartPause
			}
			time.Sleep(between(k.random, 0, limit))
		}
		if _, err := io.WriteString(k.conn, part); err != nil {
			break // what can be read tells how the request ended
		}
	}
	response, err := http.ReadResponse(k.reader, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	if response.Close {
		response.Header.Set("Connection", "close") // removed by ReadResponse
	}
	body, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, string(body), response.Header, err}
}

// Callers that send on kept connections around the moment at which an entry that shuts
// down closes its idle connections. Half of them send back to back then, the others
// send the first request on an idle connection.
const (
	rushCallers   = 96
	idleCloseTime = 2500 * time.Millisecond // after SIGTERM
	rushLead      = 50 * time.Millisecond   // of those that send back to back
	firstLead     = 2 * time.Millisecond    // of the others
	firstSpread   = 7 * time.Millisecond
	rushEnd       = idleCloseTime + 200*time.Millisecond
)

// rush opens connections to an entry and returns a function that, called at a planned
// stop, sends on them around the close of idle connections.
func (s *soak) rush(p *process, random *rand.Rand) (send func()) {
	callers := make([]*keptCaller, rushCallers)
	var wait sync.WaitGroup
	for i := range callers {
		k := &keptCaller{s: s, random: rand.New(rand.NewPCG(random.Uint64(), 0))}
		wait.Go(func() {
			if k.connect(p) && k.exchange(shortKind) {
				callers[i] = k
			}
		})
	}
	wait.Wait()
	return func() {
		stopped := time.Now()
		for i, k := range callers {
			if k == nil {
				continue
			}
			begin := between(k.random, -firstLead, firstSpread-firstLead)
			if i%2 == 0 {
				begin = between(k.random, -rushLead, 0)
			}
			wait.Go(func() {
				defer func() { _ = k.conn.Close() }()
				time.Sleep(time.Until(stopped.Add(idleCloseTime + begin)))
				for time.Since(stopped) < rushEnd && k.exchange(shortKind) {
				}
			})
		}
		wait.Wait()
	}
}
