package timeline

import "time"

// Filter chooses events. Empty fields choose all.
type Filter struct {
	Request  string
	Endpoint string
	Account  string
	From     time.Time // events at or after
	To       time.Time // events before
	Limit    int       // at most so many, the newest; 0 for DefaultLimit
}

// DefaultLimit is the most events that one daemon answers with when a filter
// names no limit.
const DefaultLimit = 10_000

// Match reports whether the filter chooses e. An event of the fleet, without a
// request, is chosen by its endpoint and time only.
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
