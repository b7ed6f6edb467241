// Package plainservice is the endpoint side of a plain service: it passes calls
// on over HTTP and tells truly whether a failed call ran.
package plainservice

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

const (
	dialTimeout   = time.Second
	maxReply      = 16 << 20 // bytes
	idleTimeout   = time.Minute
	maxIdlePerURL = 64
	pruneInterval = time.Minute
	seenRetention = 24 * time.Hour // for which dispatched claims are remembered
)

var (
	calls      = metrics.NewCounter("jacinthplank_service_calls_total")
	duplicates = metrics.NewCounter("jacinthplank_service_duplicates_refused_total")
)

// Service implements submit.Caller for the plain service beside this process.
type Service struct {
	name string // instance name, told in failures
	url  string

	repeatable *http.Client
	once       *http.Client

	mu      sync.Mutex
	leaving bool
	running int
	seen    map[claim]time.Time // claims that were dispatched
	pruned  time.Time
}

// claim is one grant to run a call that is not idempotent.
type claim struct {
	account string
	key     string
	fence   uint64
}

// New returns a service at the base URL.
func New(name, url string) *Service {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Service{
		name: name,
		url:  strings.TrimSuffix(url, "/"),
		repeatable: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: maxIdlePerURL,
		}},
		// The HTTP library repeats a request by itself when a reused connection
		// breaks, so calls that are not idempotent get a connection of their own.
		once: &http.Client{Transport: &http.Transport{
			DialContext:       dialer.DialContext,
			DisableKeepAlives: true,
		}, CheckRedirect: noRedirect},
		seen: map[claim]time.Time{},
	}
}

// noRedirect returns a redirect to the caller: following it would be a second
// call.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Call implements submit.Caller.
func (s *Service) Call(ctx context.Context, c submit.Call) (submit.Reply, error) {
	if err := s.begin(c, time.Now()); err != nil {
		return submit.Reply{}, err
	}
	defer s.end()
	calls.Inc()
	ctx, cancel := context.WithTimeout(ctx, c.Remaining)
	defer cancel()
	request, err := s.request(ctx, c)
	if err != nil {
		return submit.Reply{}, s.refuse(outcome.CodeInvalidRequest, "the call can't be written: %v", err)
	}
	response, err := s.client(c).Do(request)
	if err != nil {
		return submit.Reply{}, s.failed(err)
	}
	defer response.Body.Close()
	return s.reply(response)
}

// Drain makes the service refuse new calls.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Running returns the number of calls in progress.
func (s *Service) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Backlog tells the entries of this endpoint.
func (s *Service) Backlog() *submit.Backlog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &submit.Backlog{Endpoint: s.name, Running: s.running, Leaving: s.leaving}
}

// begin admits a call or refuses it. Both happen under one lock, so that a call
// that was refused was never passed on.
func (s *Service) begin(c submit.Call, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return s.refuse(outcome.CodeLeaving, "the endpoint is leaving")
	}
	if c.Remaining <= 0 {
		return s.refuse(outcome.CodeDeadlinePassed, "no time is left for the call")
	}
	if c.Once {
		if err := s.dispatch(claim{c.Account, c.Key, c.Fence}, now); err != nil {
			return err
		}
	}
	s.running++
	return nil
}

// dispatch notes a claim. The same claim is never dispatched twice.
func (s *Service) dispatch(k claim, now time.Time) error {
	s.prune(now)
	if _, twice := s.seen[k]; twice {
		duplicates.Inc()
		e := outcome.Fail(outcome.CodeOutcomeUnknown, outcome.Unknown, "service.dispatch", nil)
		e.Message = "this claim was dispatched before and is not run again"
		e.Peer = s.name
		return e
	}
	s.seen[k] = now
	return nil
}

// prune forgets old claims, now and then.
func (s *Service) prune(now time.Time) {
	if now.Sub(s.pruned) < pruneInterval {
		return
	}
	s.pruned = now
	for old, at := range s.seen {
		if now.Sub(at) > seenRetention {
			delete(s.seen, old)
		}
	}
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) client(c submit.Call) *http.Client {
	if c.Once {
		return s.once
	}
	return s.repeatable
}

func (s *Service) request(ctx context.Context, c submit.Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, c.Method, s.url+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	for name, value := range c.Header {
		request.Header.Set(name, value)
	}
	request.Header.Set("X-Request-Id", c.ID)
	if c.Once {
		request.Header.Set("Idempotency-Key", c.Key)
	}
	return request, nil
}

func (s *Service) reply(response *http.Response) (submit.Reply, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply+1))
	if err != nil {
		return submit.Reply{}, s.failed(err)
	}
	if len(body) > maxReply {
		e := outcome.Fail(outcome.CodeTruncated, outcome.Ran, "service.reply", nil)
		e.Message = "the service's answer is too long"
		e.Peer = s.name
		return submit.Reply{}, e
	}
	header := map[string]string{}
	for _, name := range []string{"Content-Type", "Location", "Retry-After"} {
		if value := response.Header.Get(name); value != "" {
			header[name] = value
		}
	}
	return submit.Reply{Status: response.StatusCode, Header: header, Body: body}, nil
}

// failed types an error of the connection to the service. Only a failed dial
// proves that nothing was sent.
func (s *Service) failed(err error) error {
	e := outcome.Fail(outcome.CodeTransport, outcome.Unknown, "service.call", err)
	e.Message = "the connection to the service failed"
	e.Peer = s.name
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		e.State = outcome.NotRun
	}
	if errors.Is(err, context.DeadlineExceeded) && e.State != outcome.NotRun {
		e.Code = outcome.CodeDeadlinePassed
		e.Message = "the service did not answer in time"
	}
	return e
}

func (s *Service) refuse(code outcome.Code, format string, args ...any) *outcome.Error {
	e := outcome.Refuse(code, "service.admit", format, args...)
	e.Peer = s.name
	return e
}
