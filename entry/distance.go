package entry

import (
	"sync/atomic"
	"time"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// unknownDistance is the round trip assumed to a failure domain that the
// configuration tells nothing of.
const unknownDistance = 2 * time.Millisecond

// distances keeps the round trips from this entry's failure domain, as told by
// the configuration in force.
type distances struct {
	current atomic.Pointer[distanceTable]
}

type distanceTable struct {
	version fleet.Version
	trips   map[string]time.Duration
	lookup  func(domain string) time.Duration
}

// from returns the function that tells the round trip from domain to another.
func (d *distances) from(domain string, c *fleet.Configuration) func(string) time.Duration {
	if t := d.current.Load(); t != nil && t.version == c.Version {
		return t.lookup
	}
	t := &distanceTable{version: c.Version, trips: map[string]time.Duration{}}
	for _, f := range c.FailureDomains {
		if f.Name != domain {
			continue
		}
		for other, micros := range f.Distance {
			t.trips[other] = time.Duration(micros) * time.Microsecond
		}
	}
	t.lookup = func(other string) time.Duration {
		if trip, ok := t.trips[other]; ok {
			return trip
		}
		return unknownDistance
	}
	d.current.Store(t)
	return t.lookup
}
