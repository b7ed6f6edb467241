// Package route is the routing table of an entry: which service answers which
// requests, for whom, how often and how long. It does no I/O.
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

// Kind tells what may be repeated.
type Kind uint8

// Kinds of requests.
const (
	NonIdempotent Kind = iota // runs at most once
	Idempotent                // may run again
	Stream                    // a series of events; may run again only where it can be resumed
)

// String returns the name used in logs.
func (k Kind) String() string {
	return [...]string{"non_idempotent", "idempotent", "stream"}[k]
}

// WeightedService is a service with its part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route tells how requests of one host and path are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	Timeout    time.Duration // longest time that a caller is kept waiting
	Goal       time.Duration // time to the first byte that callers hope for
	PauseGoal  time.Duration // longest pause between two events that callers hope for
	Priority   int           // 0 goes first
	Split      []WeightedService
	Attempts   int  // most endpoints that one request may be sent to
	Public     bool // needs no key
	Resumable  bool // a broken stream may go on at another endpoint
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service is a group of like endpoints.
type Service struct {
	Name           string
	MaxConnections int                     // connections that one endpoint takes from all callers
	Engine         *schedule.EngineProfile // nil for a plain service
}

// Account is a client account with the keys of its callers.
type Account struct {
	Name     string
	Keys     []string
	Priority *int // goes before the route's; nil for none
}

// Limits bound what callers may send.
type Limits struct {
	BodyBytes int64
	Header    HeaderLimits
}

// HeaderLimits bound the heads of requests and the time between two of them; zero
// stands for the usual value.
type HeaderLimits struct {
	Bytes   int
	Timeout time.Duration // for a head to come whole
	Idle    time.Duration // between two requests of a connection
}

// Table is one version of the routing table. It is not changed once compiled.
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

// Compile checks the table whole and prepares it for Match and Account. The
// error names the first fault.
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
	places := make(map[string]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := t.checkRoute(r); err != nil {
			return err
		}
		place := r.Host + r.PathPrefix
		if other, taken := places[place]; taken {
			return fmt.Errorf("routes %q and %q share host and prefix %s", other, r.Name, place)
		}
		places[place] = r.Name
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

// Match returns the route with the longest prefix for a request; nil for none.
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

// NeedsKey reports whether callers of a route have to show a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Accounts) > 0 && !r.Public }

// Account returns the account that a key belongs to; nil for none.
func (t *Table) Account(key string) *Account { return t.byKey[key] }

// Service returns a service by name; nil for none.
func (t *Table) Service(name string) *Service { return t.byService[name] }

// Choose returns the service for a request, by the weights of the split. draw
// is random.
func (r *Route) Choose(draw uint64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := int(draw % uint64(total))
	for _, s := range r.Split {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
