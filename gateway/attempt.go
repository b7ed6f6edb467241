package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/forward"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// attempt sends the request to an endpoint and brings its answer to the caller.
// A nil error means that the caller has its answer.
func (f *flight) attempt(h announce.Record) *outcome.Error {
	f.endpoint = h.ID
	end := schedule.Done
	defer func() { f.release(h, end) }()
	if f.g.mesh.IsLeaving(h.ID) {
		f.exclude = append(f.exclude, h.ID)
		return outcome.Refuse(outcome.CodeLeaving, "gateway.attempt", "endpoint %s left meanwhile", h.ID)
	}
	held, failed := f.g.reserve(f.ctx, f.jobID(), f.placed.Helpers)
	if failed != nil {
		f.exclude = append(f.exclude, failed.Peer)
		end = schedule.Rejected
		return failed
	}
	defer held.end()
	reply, err := f.g.client.Send(f.ctx, f.target(h), f.call(h))
	if err != nil {
		e := f.ended(outcome.From(err))
		end = f.blame(h, e)
		return e
	}
	defer reply.Close()
	f.sends++
	if reply.NotRun {
		end = schedule.Rejected
		return f.rejected(h, reply)
	}
	f.ran = true
	if reply.Status >= http.StatusInternalServerError && f.mayTryElsewhere() {
		f.exclude = append(f.exclude, h.ID)
		return &outcome.Error{
			Code: outcome.CodeEngineFailed, State: outcome.Ran, Step: "gateway.attempt", Peer: h.ID,
			Message: "the endpoint answered " + strconv.Itoa(reply.Status),
		}
	}
	f.g.breakers.Succeeded(time.Now(), h.ID)
	e := f.relay(reply)
	if e != nil {
		end = f.blame(h, e)
	}
	return e
}

// mayTryElsewhere reports whether an endpoint's own failure may be answered by
// another try; otherwise the caller gets it.
func (f *flight) mayTryElsewhere() bool {
	return f.route.MayRepeat() && f.sends < f.route.Attempts && !f.headSent && f.left() > f.route.Goal/2
}

func (f *flight) release(h announce.Record, end schedule.Outcome) {
	if f.isEngine() {
		f.g.placer.ended(f.jobID(), end)
		return
	}
	f.g.plain.done(h.ID)
}

func (f *flight) isEngine() bool {
	service := f.table.Service(f.service)
	return service != nil && service.Engine != nil
}

func (f *flight) target(h announce.Record) forward.Target {
	t := forward.Target{ID: h.ID, Address: h.Address}
	if service := f.table.Service(f.service); service != nil && service.MaxConnections > 0 {
		// Each entry may open its share, with room for those that start anew.
		t.MaxConnections = max(service.MaxConnections/(f.g.mesh.EntryCount()+2), minConnections)
	}
	return t
}

// minConnections that an entry may open to an endpoint, however many entries
// there are.
const minConnections = 2

func (f *flight) call(h announce.Record) *forward.Call {
	o := Outgoing{Endpoint: h.ID, Remaining: f.left(), Urgency: -1, LastEventID: f.lastID, Helpers: f.placed.Helpers}
	if f.account != nil {
		o.Account = f.account.Name
	}
	if f.isEngine() {
		o.Urgency = urgency(f.route, f.account)
	}
	return &forward.Call{
		RequestID: f.request.ID, Method: f.r.Method, URI: f.r.URL.RequestURI(), Host: f.r.Host,
		Header: f.g.dialect.RequestHeaders(f.r.Header, o), Body: f.body, Fresh: !f.route.MayRepeat(),
	}
}

// ended types a failure that came with the end of the request's time.
func (f *flight) ended(e *outcome.Error) *outcome.Error {
	if e.State != outcome.NotRun {
		f.sends++
		f.ran = true
	}
	if errors.Is(context.Cause(f.ctx), errDeadline) {
		e = outcome.Fail(outcome.CodeDeadlinePassed, e.State, e.Step, errDeadline)
	}
	return e
}

// blame notes a failure of an endpoint, unless the caller or its time ended.
func (f *flight) blame(h announce.Record, e *outcome.Error) schedule.Outcome {
	f.exclude = append(f.exclude, h.ID)
	if f.ctx.Err() != nil {
		return schedule.Done
	}
	f.g.breakers.Failed(time.Now(), h.ID)
	f.log(h.ID, e)
	return schedule.Failed
}

// rejected takes an endpoint's word that it did not run the request.
func (f *flight) rejected(h announce.Record, reply *forward.Reply) *outcome.Error {
	atFault := f.atFault(h, reply)
	f.exclude = append(f.exclude, atFault)
	e := outcome.Refuse(outcome.CodeOverloaded, "gateway.attempt", "endpoint %s refused with status %d", h.ID, reply.Status)
	e.Peer = atFault
	e.RetryAfter = comeBackLeast
	// The connection is kept if the rest of the refusal can be read.
	if _, err := reply.ReadAll(); err != nil {
		f.log(h.ID, outcome.From(err))
	}
	f.g.breakers.Refused(time.Now(), h.ID)
	if reply.Status == http.StatusMisdirectedRequest || atFault != h.ID {
		e.Code = outcome.CodeLeaving
		f.g.breakers.Failed(time.Now(), atFault)
	}
	f.log(atFault, e)
	return e
}

// atFault returns the id of the endpoint that a refusal blames: a helper that is
// gone, or the endpoint itself.
func (f *flight) atFault(h announce.Record, reply *forward.Reply) string {
	address := f.g.dialect.FaultyAddress(reply.Header)
	for _, helper := range f.placed.Helpers {
		if address != "" && helper.Address == address {
			return helper.ID
		}
	}
	return h.ID
}
