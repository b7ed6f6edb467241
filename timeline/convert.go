package timeline

import (
	"time"

	jacinthplankv1 "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// Answer returns the response to a call of PeerService.Events.
func (l *Log) Answer(request *jacinthplankv1.EventsRequest) *jacinthplankv1.EventsResponse {
	part := l.Query(FilterFromProto(request))
	response := &jacinthplankv1.EventsResponse{
		Daemon:  part.Daemon,
		Lost:    part.Lost,
		SinceUs: part.Since.UnixMicro(),
		Cut:     part.Cut,
		Events:  make([]*jacinthplankv1.Event, len(part.Events)),
	}
	for i := range part.Events {
		response.Events[i] = ToProto(&part.Events[i])
	}
	return response
}

// PartFromProto converts the response of PeerService.Events to a Part.
func PartFromProto(response *jacinthplankv1.EventsResponse) Part {
	part := Part{
		Daemon: response.GetDaemon(),
		Lost:   response.GetLost(),
		Cut:    response.GetCut(),
		Since:  time.UnixMicro(inRange(response.GetSinceUs())).UTC(),
		Events: make([]Event, len(response.GetEvents())),
	}
	for i, e := range response.GetEvents() {
		part.Events[i] = FromProto(e)
	}
	return part
}

// FilterToProto returns the request for the events that match f.
func FilterToProto(f Filter) *jacinthplankv1.EventsRequest {
	return &jacinthplankv1.EventsRequest{
		Request:  f.Request,
		Endpoint: f.Endpoint,
		Account:  f.Account,
		FromUs:   microsOf(f.From),
		ToUs:     microsOf(f.To),
		Limit:    int32(f.Limit),
	}
}

// FilterFromProto is the inverse of FilterToProto.
func FilterFromProto(request *jacinthplankv1.EventsRequest) Filter {
	return Filter{
		Request:  request.GetRequest(),
		Endpoint: request.GetEndpoint(),
		Account:  request.GetAccount(),
		From:     timeFromMicros(request.GetFromUs()),
		To:       timeFromMicros(request.GetToUs()),
		Limit:    int(request.GetLimit()),
	}
}

// ToProto converts e to its wire form.
func ToProto(e *Event) *jacinthplankv1.Event {
	return &jacinthplankv1.Event{
		WallUs:      e.WallMicros,
		Logical:     e.Logical,
		Daemon:      e.Daemon,
		Kind:        string(e.Kind),
		Request:     e.Request,
		Attempt:     e.Attempt,
		Account:     e.Account,
		Endpoint:    e.Endpoint,
		Step:        e.Step,
		Peer:        e.Peer,
		Outcome:     e.Outcome,
		Detail:      e.Detail,
		Tokens:      int64(e.Tokens),
		RemainingUs: e.Remaining.Microseconds(),
		State:       stateToProto[e.State],
	}
}

// FromProto is the inverse of ToProto.
func FromProto(e *jacinthplankv1.Event) Event {
	return Event{
		WallMicros: inRange(e.GetWallUs()),
		Logical:    e.GetLogical(),
		Daemon:     e.GetDaemon(),
		Kind:       Kind(e.GetKind()),
		Request:    e.GetRequest(),
		Attempt:    e.GetAttempt(),
		Account:    e.GetAccount(),
		Endpoint:   e.GetEndpoint(),
		Step:       e.GetStep(),
		Peer:       e.GetPeer(),
		Outcome:    e.GetOutcome(),
		Detail:     e.GetDetail(),
		Tokens:     int(e.GetTokens()),
		Remaining:  time.Duration(e.GetRemainingUs()) * time.Microsecond,
		State:      stateFromProto(e.GetState()),
	}
}

// Times that JSON represents, in microseconds.
var (
	minMicros = time.Time{}.UnixMicro()
	maxMicros = time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC).UnixMicro()
)

func inRange(micros int64) int64 { return min(max(micros, minMicros), maxMicros) }

var stateToProto = map[outcome.State]jacinthplankv1.RunState{
	outcome.NotRun: jacinthplankv1.RunState_RUN_STATE_NOT_RUN,
	outcome.Ran:    jacinthplankv1.RunState_RUN_STATE_RAN,
}

func stateFromProto(s jacinthplankv1.RunState) outcome.State {
	switch s {
	case jacinthplankv1.RunState_RUN_STATE_NOT_RUN:
		return outcome.NotRun
	case jacinthplankv1.RunState_RUN_STATE_RAN:
		return outcome.Ran
	default:
		return outcome.Unknown
	}
}

func microsOf(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

func timeFromMicros(micros int64) time.Time {
	if micros == 0 {
		return time.Time{}
	}
	return time.UnixMicro(micros).UTC()
}
