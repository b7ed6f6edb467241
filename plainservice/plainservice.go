// Package plainservice implements the endpoint side of a plain service. It
// forwards calls over HTTP and reports whether a failed call ran.
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
	"github.com/jacinthplank/jacinthplank/response"
	"github.com/jacinthplank/jacinthplank/submit"
)

const (
	dialTimeout   = time.Second
	maxReplyBytes = 16 << 20
	idleTimeout   = 4 * time.Second // less than the 5 s after which many services close a connection
	maxIdlePerURL = 64
	pruneInterval = time.Minute
	// claimRetention is how long dispatched claims are kept. It covers duplicates of
	// one grant, which end with the longest deadline. A caller's resend of a key is
	// answered from the once-record in the quorum, for limits.once_retention.
	claimRetention = 24 * time.Hour
)

var (
	calls      = metrics.NewCounter("jacinthplank_service_calls_total")
	duplicates = metrics.NewCounter("jacinthplank_service_duplicates_refused_total")
)

// Service implements submit.Caller for a plain service next to this process.
type Service struct {
	name string // instance name, included in errors
	url  string

	pooledClient *http.Client
	onceClient   *http.Client

	mu         sync.Mutex
	leaving    bool
	running    int
	dispatched map[claim]time.Time // dispatch time by claim
	lastPruned time.Time
}

// claim identifies one grant to run a call that is not idempotent.
type claim struct {
	account string
	key     string
	fence   uint64
}

// New returns a service that forwards calls to the base URL.
func New(name, url string) *Service {
	return newService(name, url, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

func newService(name, url string, connect response.Dial) *Service {
	dial := connect.Strict()
	return &Service{
		name: name,
		url:  strings.TrimSuffix(url, "/"),
		pooledClient: &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: maxIdlePerURL,
		}},
		// net/http retries a request when a reused connection breaks, so each
		// call that is not idempotent gets a new connection.
		onceClient: &http.Client{Transport: &http.Transport{
			DialContext:       dial,
			DisableKeepAlives: true,
		}, CheckRedirect: noRedirect},
		dispatched: map[claim]time.Time{},
	}
}

// noRedirect returns redirects to the client, because following one would make
// a second call.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Call implements submit.Caller.
func (s *Service) Call(ctx context.Context, c submit.Call) (submit.Reply, error) {
	if err := s.admit(c, time.Now()); err != nil {
		return submit.Reply{}, err
	}
	defer s.release()
	calls.Inc()
	ctx, cancel := context.WithTimeout(ctx, c.Remaining)
	defer cancel()
	request, err := s.newRequest(ctx, c)
	if err != nil {
		return submit.Reply{}, s.refuse(outcome.CodeInvalidRequest, "the HTTP request could not be created: %v", err)
	}
	answer, err := s.clientFor(c).Do(request)
	if err != nil {
		return submit.Reply{}, s.connectionError(err)
	}
	defer answer.Body.Close()
	return s.readReply(answer)
}

// Drain makes the service reject new calls.
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

// Backlog returns the load report of this endpoint for the entry instances.
func (s *Service) Backlog() *submit.Backlog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &submit.Backlog{Endpoint: s.name, Running: s.running, Leaving: s.leaving}
}

// admit admits or rejects a call. The checks and the registration happen under
// one lock, so a rejected call is never forwarded.
func (s *Service) admit(c submit.Call, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return s.refuse(outcome.CodeEndpointLeaving, "the endpoint is draining and accepts no new calls")
	}
	if c.Remaining <= 0 {
		return s.refuse(outcome.CodeDeadlinePassed, "the deadline passed before the call was admitted")
	}
	if c.Once {
		if err := s.registerClaim(claim{c.Account, c.Key, c.Fence}, now); err != nil {
			return err
		}
	}
	s.running++
	return nil
}

// registerClaim records a claim and rejects one that was already dispatched.
func (s *Service) registerClaim(k claim, now time.Time) error {
	s.pruneClaims(now)
	if _, duplicate := s.dispatched[k]; duplicate {
		duplicates.Inc()
		e := outcome.Fail(outcome.CodeOutcomeUnknown, outcome.Unknown, "service.dispatch", nil)
		e.Message = "this claim was already dispatched and is not run again"
		e.Peer = s.name
		return e
	}
	s.dispatched[k] = now
	return nil
}

// pruneClaims removes expired claims, at most once per pruneInterval.
func (s *Service) pruneClaims(now time.Time) {
	if now.Sub(s.lastPruned) < pruneInterval {
		return
	}
	s.lastPruned = now
	for old, at := range s.dispatched {
		if now.Sub(at) > claimRetention {
			delete(s.dispatched, old)
		}
	}
}

func (s *Service) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) clientFor(c submit.Call) *http.Client {
	if c.Once {
		return s.onceClient
	}
	return s.pooledClient
}

func (s *Service) newRequest(ctx context.Context, c submit.Call) (*http.Request, error) {
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

func (s *Service) readReply(response *http.Response) (submit.Reply, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return submit.Reply{}, s.connectionError(err)
	}
	if len(body) > maxReplyBytes {
		e := outcome.Fail(outcome.CodeTruncated, outcome.Ran, "service.reply", nil)
		e.Message = "the service response exceeds the size limit"
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

// connectionError converts a connection error to an outcome error. Only a failed
// dial proves that nothing was sent.
func (s *Service) connectionError(err error) error {
	e := outcome.Fail(outcome.CodeTransport, outcome.Unknown, "service.call", err)
	e.Message = "the connection to the service failed"
	e.Peer = s.name
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		e.State = outcome.NotRun
	}
	if errors.Is(err, context.DeadlineExceeded) && e.State != outcome.NotRun {
		e.Code = outcome.CodeDeadlinePassed
		e.Message = "the service did not respond before the deadline"
	}
	return e
}

func (s *Service) refuse(code outcome.Code, format string, args ...any) *outcome.Error {
	e := outcome.Refuse(code, "service.admit", format, args...)
	e.Peer = s.name
	return e
}
