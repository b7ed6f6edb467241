// Package route provides the routing table of an entry: it maps requests to services
// and sets their access, attempts and time limits. It performs no I/O.
package route

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/jacinthplank/jacinthplank/schedule"
)

// Kind determines whether a request may be repeated.
type Kind uint8

// Kinds of requests.
const (
	NonIdempotent Kind = iota // executed at most once
	Idempotent                // may be executed again
	Stream                    // a series of events; may be executed again only if resumable
)

// String returns the name used in logs.
func (k Kind) String() string {
	return [...]string{"non_idempotent", "idempotent", "stream"}[k]
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route defines how requests for a host and path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	Timeout    time.Duration // maximum time that a caller waits
	Goal       time.Duration // target for the time to first byte
	PauseGoal  time.Duration // target for the longest pause between two events
	Priority   int           // 0 is the highest
	Split      []WeightedService
	Attempts   int      // maximum number of endpoints tried per request
	Public     bool     // no key required
	Resumable  bool     // a broken stream may resume at another endpoint
	Homes      []string // regions whose endpoints may serve it; nil for any
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service is a group of equivalent endpoints.
type Service struct {
	Name           string
	MaxConnections int                     // maximum connections per endpoint, over all callers
	Engine         *schedule.EngineProfile // nil for a plain service
	Cold           Cold
}

// Cold tells what the endpoints of a service take while they are cold, after their start.
type Cold struct {
	Duration  time.Duration // for which an endpoint is cold
	PerSecond float64       // requests a second from all callers together; 0 for no limit
}

// Account is a client account with its API keys.
type Account struct {
	Name     string
	Keys     []string
	Priority *int     // overrides the route's priority; nil for none
	Homes    []string // regions whose endpoints may serve it; nil for any. A route's homes apply as well
}

// Limits are limits on incoming requests.
type Limits struct {
	BodyBytes int64
	Header    HeaderLimits
}

// HeaderLimits are limits on request headers and idle connections. Zero selects the
// default.
type HeaderLimits struct {
	Bytes   int
	Timeout time.Duration // to receive a complete request header
	Idle    time.Duration // between two requests on a connection
}

// Table is one version of the routing table. It is immutable once compiled.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	byHost    map[string][]*Route // longest prefix first
	byKey     map[string]*Account
	byService map[string]*Service
}

// Compile validates the table and prepares it for Match and Account. It returns the
// first error found.
func (t *Table) Compile() error {
	t.byService = make(map[string]*Service, len(t.Services))
	for i := range t.Services {
		t.byService[t.Services[i].Name] = &t.Services[i]
	}
	if err := t.compileRoutes(); err != nil {
		return err
	}
	return t.compileAccounts()
}

func (t *Table) compileRoutes() error {
	t.byHost = make(map[string][]*Route)
	prefixes := make(map[string]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := t.checkRoute(r); err != nil {
			return err
		}
		prefix := r.Host + r.PathPrefix
		if other, taken := prefixes[prefix]; taken {
			return fmt.Errorf("routes %q and %q share host and prefix %s", other, r.Name, prefix)
		}
		prefixes[prefix] = r.Name
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return nil
}

func (t *Table) checkRoute(r *Route) error {
	if r.Timeout <= 0 {
		return fmt.Errorf("route %q has no timeout", r.Name)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fmt.Errorf("route %q: prefix %q does not begin and end with a slash", r.Name, r.PathPrefix)
	}
	total := 0
	for _, s := range r.Split {
		if t.byService[s.Service] == nil {
			return fmt.Errorf("route %q names the unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("route %q gives service %q the weight %d", r.Name, s.Service, s.Weight)
		}
		total += s.Weight
	}
	if total == 0 {
		return fmt.Errorf("the weights of route %q add up to 0", r.Name)
	}
	return nil
}

func (t *Table) compileAccounts() error {
	t.byKey = make(map[string]*Account)
	for i := range t.Accounts {
		a := &t.Accounts[i]
		for _, key := range a.Keys {
			if other := t.byKey[key]; other != nil && other.Name != a.Name {
				return fmt.Errorf("accounts %q and %q share a key", other.Name, a.Name)
			}
			t.byKey[key] = a
		}
	}
	return nil
}

// Match returns the route with the longest matching prefix, or nil.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether callers of a route must present a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Accounts) > 0 && !r.Public }

// Account returns the account that a key belongs to, or nil.
func (t *Table) Account(key string) *Account { return t.byKey[key] }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.byService[name] }

// Choose selects the service for a request by the weights of the split. draw is a
// random number.
func (r *Route) Choose(draw uint64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := int(draw % uint64(total))
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
