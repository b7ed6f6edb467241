// Package api implements the public HTTP API: OpenAI-compatible model endpoints
// and one route per plain service.
package api

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// HTTP headers of requests and responses.
const (
	headerRequestID      = "X-Request-Id"
	headerTimeout        = "X-Request-Timeout" // duration such as "30s", or seconds
	headerIdempotencyKey = "Idempotency-Key"
)

var (
	received = metrics.NewCounter("jacinthplank_api_requests_total")
	refused  = metrics.NewCounter("jacinthplank_api_refused_total")
	inFlight atomic.Int64
	_        = metrics.NewGauge("jacinthplank_api_in_flight", func() float64 { return float64(inFlight.Load()) })
)

// Options configures a Server.
type Options struct {
	Submitter     submit.Submitter
	Caller        submit.Caller
	Configuration func() *fleet.Configuration
	Recorder      timeline.Recorder
	Log           *slog.Logger
	NewID         func() string // generates request IDs; nil for random ones
}

// Server serves the public HTTP API.
type Server struct {
	options  Options
	accounts accountIndex
	running  atomic.Int64
}

func New(o Options) *Server {
	if o.Recorder == nil {
		o.Recorder = timeline.Discard{}
	}
	if o.NewID == nil {
		o.NewID = newID
	}
	return &Server{options: o}
}

// Handler returns the handler for all API routes.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.Handle("/v1/models", s.handle(s.models)).Methods(http.MethodGet)
	r.Handle("/v1/chat/completions", s.handle(s.chat)).Methods(http.MethodPost)
	r.Handle("/v1/completions", s.handle(s.completion)).Methods(http.MethodPost)
	r.PathPrefix("/v1/services/{service}").Handler(s.handle(s.service))
	r.NotFoundHandler = s.handle(notFound)
	r.MethodNotAllowedHandler = s.handle(methodNotAllowed)
	return r
}

// Running returns the number of requests in progress.
func (s *Server) Running() int { return int(s.running.Load()) }

// exchange is one HTTP request and its response.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	id      string
	start   time.Time
	config  *fleet.Configuration
	account *fleet.Account
}

// handle wraps h with request ID assignment, authentication and error responses.
func (s *Server) handle(h func(x *exchange) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Inc()
		inFlight.Add(1)
		s.running.Add(1)
		defer inFlight.Add(-1)
		defer s.running.Add(-1)
		x := &exchange{
			server: s,
			w:      w,
			r:      r,
			id:     s.options.NewID(),
			start:  time.Now(),
			config: s.options.Configuration(),
		}
		w.Header().Set(headerRequestID, x.id)
		if err := x.run(h); err != nil {
			x.fail(err)
		}
	})
}

func (x *exchange) run(h func(x *exchange) error) error {
	account, err := x.server.authenticate(x.config, x.r)
	if err != nil {
		return err
	}
	x.account = account
	return h(x)
}

// withDeadline returns a context that expires the given time after the request
// was received.
func (x *exchange) withDeadline(remaining time.Duration) (context.Context, context.CancelFunc) {
	return context.WithDeadline(x.r.Context(), x.start.Add(remaining))
}

func (x *exchange) record(kind timeline.Kind, outcome, detail string) {
	x.server.options.Recorder.Record(timeline.Event{
		Kind:    kind,
		Request: x.id,
		Account: x.account.Name,
		Step:    "entry.api",
		Outcome: outcome,
		Detail:  detail,
	})
}

// authenticate looks up the client account by the SHA-256 digest of the bearer
// key.
func (s *Server) authenticate(c *fleet.Configuration, r *http.Request) (*fleet.Account, error) {
	if c == nil {
		e := outcome.Refuse(outcome.CodeNoQuorum, "entry.configuration", "no configuration is active yet")
		e.RetryAfter = time.Second
		return nil, e
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, outcome.Refuse(outcome.CodeInvalidKey, "entry.account", "the request has no bearer key")
	}
	sum := sha256.Sum256([]byte(key))
	if account := s.accounts.find(c, hex.EncodeToString(sum[:])); account != nil {
		return account, nil
	}
	return nil, outcome.Refuse(outcome.CodeInvalidKey, "entry.account", "the key belongs to no client account")
}

func newID() string { return "req-" + uuid.NewString() }

func notFound(x *exchange) error {
	return outcome.Refuse(outcome.CodeNotFound, "entry.route", "no such path: %s", x.r.URL.Path)
}

func methodNotAllowed(x *exchange) error {
	return outcome.Refuse(outcome.CodeInvalidRequest, "entry.route", "%s is not allowed on %s", x.r.Method, x.r.URL.Path)
}
