package api

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// forwardedHeaders are the request headers forwarded to a plain service.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

// service forwards a call to a plain service.
func (s *Server) service(x *exchange) error {
	call, err := x.parseCall()
	if err != nil {
		return err
	}
	x.server.options.Recorder.Record(timeline.Event{
		Kind:      timeline.KindReceived,
		Request:   x.id,
		Account:   x.account.Name,
		Step:      "entry.api",
		Detail:    call.Method + " " + call.Path + " of " + call.Service,
		Remaining: call.Remaining,
	})
	ctx, cancel := x.withDeadline(call.Remaining)
	defer cancel()
	reply, err := s.options.Caller.Call(ctx, call)
	if err != nil {
		return x.deadlineError(ctx, err)
	}
	x.record(timeline.KindFinished, http.StatusText(reply.Status), "")
	for name, value := range reply.Header {
		x.w.Header().Set(name, value)
	}
	x.w.WriteHeader(reply.Status)
	_, _ = x.w.Write(reply.Body)
	return nil
}

// parseCall parses a plain service call. A call without an idempotency key uses
// its request ID as the key.
func (x *exchange) parseCall() (submit.Call, error) {
	name := mux.Vars(x.r)["service"]
	service, err := x.findService(name)
	if err != nil {
		return submit.Call{}, err
	}
	path := strings.TrimPrefix(x.r.URL.EscapedPath(), "/v1/services/"+name)
	if path == "" {
		path = "/"
	}
	body, err := x.readBody()
	if err != nil {
		return submit.Call{}, err
	}
	remaining, err := x.requestTimeout(0)
	if err != nil {
		return submit.Call{}, err
	}
	call := submit.Call{
		ID:        x.id,
		Key:       x.r.Header.Get(headerIdempotencyKey),
		Account:   x.account.Name,
		Service:   name,
		Method:    x.r.Method,
		Path:      path,
		Header:    map[string]string{},
		Body:      body,
		Remaining: remaining,
		Once:      service.IsNonIdempotent(x.r.Method, path),
	}
	if call.Key == "" {
		call.Key = x.id
	}
	if x.r.URL.RawQuery != "" {
		call.Path += "?" + x.r.URL.RawQuery
	}
	for _, header := range forwardedHeaders {
		if value := x.r.Header.Get(header); value != "" {
			call.Header[header] = value
		}
	}
	return call, nil
}

func (x *exchange) findService(name string) (*fleet.Service, error) {
	for i := range x.config.Services {
		if x.config.Services[i].Name == name {
			return &x.config.Services[i], nil
		}
	}
	return nil, outcome.Refuse(outcome.CodeNotFound, "entry.read", "there is no service %q", name)
}
