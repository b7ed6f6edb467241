package entry

import (
	"sync/atomic"
	"time"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// defaultRoundTrip is the round trip assumed to a failure domain without a
// configured distance.
const defaultRoundTrip = 2 * time.Millisecond

// domainRoundTrips caches the round trips from this entry's failure domain
// according to the active configuration.
type domainRoundTrips struct {
	current atomic.Pointer[roundTripTable]
}

type roundTripTable struct {
	version  fleet.Version
	byDomain map[string]time.Duration
	lookup   func(domain string) time.Duration
}

// lookupFrom returns a function that returns the round trip from domain to another.
func (d *domainRoundTrips) lookupFrom(domain string, c *fleet.Configuration) func(string) time.Duration {
	if t := d.current.Load(); t != nil && t.version == c.Version {
		return t.lookup
	}
	t := &roundTripTable{version: c.Version, byDomain: map[string]time.Duration{}}
	for _, f := range c.FailureDomains {
		if f.Name != domain {
			continue
		}
		for other, micros := range f.Distance {
			t.byDomain[other] = time.Duration(micros) * time.Microsecond
		}
	}
	t.lookup = func(other string) time.Duration {
		if roundTrip, ok := t.byDomain[other]; ok {
			return roundTrip
		}
		return defaultRoundTrip
	}
	d.current.Store(t)
	return t.lookup
}
