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
	"time"
)

const callDeadline = 2500 * time.Millisecond

var kinds = []string{"safe", "once", "gen"}

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
	maxPause time.Duration // between two requests; 0 to send back to back
}

const (
	maxCallerPause = 800 * time.Millisecond
	maxHeadPause   = 30 * time.Millisecond // between two parts of a request
)

func (s *soak) runKeptCaller(i int) {
	k := &keptCaller{s: s, random: s.newRandom(fmt.Sprint("kept caller ", i))}
	if i%2 == 0 {
		k.maxPause = maxCallerPause
	}
	for s.stop.Err() == nil {
		p := s.fleet.processes[k.random.IntN(len(s.fleet.processes))]
		before := p.disturbances()
		conn, err := net.DialTimeout("tcp", p.address(callerPort), time.Second)
		if err != nil {
			if before.quietUntil(p.disturbances()) {
				s.reportViolation("%s, which was not disturbed, accepts no connection: %v", p.name, err)
			}
			time.Sleep(20 * time.Millisecond)
			continue
		}
		k.use(conn, p)
	}
}

// use sends requests on a connection until it ends.
func (k *keptCaller) use(conn net.Conn, p *process) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if k.random.IntN(2) == 0 {
		k.pause() // a connection opened ahead of its first request
	}
	for k.s.stop.Err() == nil {
		if !k.exchange(conn, reader, p) {
			return
		}
		k.pause()
	}
}

func (k *keptCaller) pause() {
	if k.maxPause > 0 {
		k.s.sleep(between(k.random, 0, k.maxPause))
	}
}

// exchange sends one request and reads its response. It reports whether the
// connection may carry another one.
func (k *keptCaller) exchange(conn net.Conn, reader *bufio.Reader, p *process) bool {
	x := k.s.begin(kinds[k.random.IntN(len(kinds))], p)
	x.kept = true
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		x.path(), wire.Request, x.id, wire.Deadline, callDeadline.Milliseconds(), len(x.body()), x.body())
	parts := []string{text}
	if k.random.IntN(8) == 0 {
		cut := 1 + k.random.IntN(len(text)-1)
		parts, x.inParts = []string{text[:cut], text[cut:]}, true
	}
	if err := conn.SetDeadline(time.Now().Add(2 * callDeadline)); err != nil {
		k.s.end(x, reply{err: err})
		return false
	}
	for i, part := range parts {
		if i > 0 {
			time.Sleep(between(k.random, 0, maxHeadPause))
		}
		if _, err := io.WriteString(conn, part); err != nil {
			break // what can be read tells how the request ended
		}
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		k.s.end(x, reply{err: err})
		return false
	}
	body, err := io.ReadAll(response.Body)
	k.s.end(x, reply{response.StatusCode, string(body), response.Header, err})
	return err == nil && !response.Close
}
