package timeline

import "time"

// Filter selects events. Empty fields match all events.
type Filter struct {
	Request  string
	Endpoint string
	Account  string
	From     time.Time // events at or after
	To       time.Time // events before
	Limit    int       // maximum number of events, newest kept; 0 for DefaultLimit
}

// DefaultLimit is the maximum number of events that one daemon returns if the
// filter sets no limit.
const DefaultLimit = 10_000

// Match reports whether e matches the filter. Fleet events have no request and
// match by endpoint and time only.
func (f Filter) Match(e *Event) bool {
	if f.Request != "" && f.Request != e.Request {
		return false
	}
	if f.Endpoint != "" && f.Endpoint != e.Endpoint {
		return false
	}
	if f.Account != "" && f.Account != e.Account {
		return false
	}
	if !f.From.IsZero() && e.WallMicros < f.From.UnixMicro() {
		return false
	}
	return f.To.IsZero() || e.WallMicros < f.To.UnixMicro()
}

func (f Filter) limit() int {
	if f.Limit <= 0 {
		return DefaultLimit
	}
	return f.Limit
}
