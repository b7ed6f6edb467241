// Package entry is the entry duty's router. It takes a request, chooses an
// endpoint, passes the answer's frames on and, when an attempt fails, makes
// another one within the request's deadline and the retry budgets.
package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/placement"
	"github.com/jacinthplank/jacinthplank/retry"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// Options are what a Router needs. Directory and Dial must be set.
type Options struct {
	Directory *directory.Directory
	// Dial returns the port to an endpoint. It is asked once per incarnation.
	Dial func(directory.Endpoint) submit.Endpoint
	// Configuration returns the configuration in force; nil for an empty one.
	Configuration func() *fleet.Configuration
	Recorder      timeline.Recorder
	FailureDomain string
	Policy        placement.Policy // nil for the placer of package placement
	Seed          uint64           // of jitter and random draws; 0 for a random one
}

// Router implements submit.Submitter.
type Router struct {
	directory     *directory.Directory
	dial          func(directory.Endpoint) submit.Endpoint
	configuration func() *fleet.Configuration
	recorder      timeline.Recorder
	domain        string
	policy        placement.Policy
	retries       *retry.Budgets
	distances     distances

	mu        sync.Mutex
	random    *rand.Rand
	endpoints map[string]dialed
}

// dialed is the port to one incarnation of an endpoint.
type dialed struct {
	incarnation uint64
	address     string
	endpoint    submit.Endpoint
}

var emptyConfiguration = &fleet.Configuration{}

// NewRouter returns a router.
func NewRouter(o Options) *Router {
	if o.Configuration == nil {
		o.Configuration = func() *fleet.Configuration { return emptyConfiguration }
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard{}
	}
	if o.Policy == nil {
		o.Policy = placement.NewPlacer()
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return &Router{
		directory:     o.Directory,
		dial:          o.Dial,
		configuration: o.Configuration,
		recorder:      o.Recorder,
		domain:        o.FailureDomain,
		policy:        o.Policy,
		retries:       retry.NewBudgets(),
		random:        rand.New(rand.NewPCG(o.Seed, o.Seed)),
		endpoints:     map[string]dialed{},
	}
}

// Submit implements submit.Submitter. It returns once an endpoint admitted the
// request. Remaining must be set: the answer ends by then, in one way or
// another.
func (r *Router) Submit(ctx context.Context, req submit.Request) (submit.Answer, error) {
	if req.Remaining <= 0 {
		return nil, outcome.Refuse(outcome.CodeDeadlinePassed, stepPlace, "no time is left for the request")
	}
	r.retries.Earn(req.Account)
	f := newFlight(ctx, r, req)
	if err := f.start(nil); err != nil {
		return nil, f.fail(err)
	}
	return f, nil
}

// engineModel returns the engines' own name of a model and whether the
// configuration in force has it. A configuration without models allows all.
func (r *Router) engineModel(name string) (string, bool) {
	models := r.configuration().Models
	for i := range models {
		if models[i].Name != name {
			continue
		}
		if models[i].EngineName != "" {
			return models[i].EngineName, true
		}
		return name, true
	}
	return name, len(models) == 0
}

// place chooses an endpoint for one attempt.
func (r *Router) place(req *submit.Request, avoid []string) (placement.Choice, error) {
	model, known := r.engineModel(req.Model)
	if !known {
		return placement.Choice{}, outcome.Refuse(outcome.CodeModelNotFound, stepPlace, "no model %q", req.Model)
	}
	members := r.directory.Model(model)
	query := placement.Query{
		Now:      time.Now(),
		Adapter:  req.Adapter,
		Class:    req.Class(),
		Tokens:   req.Prompt.Tokens,
		Blocks:   req.Prompt.Blocks,
		Key:      xxhash.Sum64String(req.Account),
		Random:   r.draw(),
		Domain:   r.domain,
		Distance: r.distances.from(r.domain, r.configuration()),
		Avoid:    avoid,
	}
	choice, ok := r.policy.Choose(&query, members)
	if !ok {
		return choice, r.noEndpoint(req, members)
	}
	return choice, nil
}

// noEndpoint tells why no endpoint can be chosen.
func (r *Router) noEndpoint(req *submit.Request, members []*directory.Member) error {
	longest := 0
	for _, m := range members {
		longest = max(longest, m.MaxPrompt)
	}
	if longest > 0 && req.Prompt.Tokens > longest {
		return outcome.Refuse(outcome.CodePromptTooLong, stepPlace,
			"the prompt has %d tokens; the limit is %d", req.Prompt.Tokens, longest)
	}
	err := outcome.Refuse(outcome.CodeNoEndpoint, stepPlace, "no endpoint takes work for model %q", req.Model)
	err.RetryAfter = directory.DefaultLease
	return err
}

// port returns the port to a member.
func (r *Router) port(m *directory.Member) submit.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	have, ok := r.endpoints[m.Name]
	if !ok || have.incarnation != m.Incarnation || have.address != m.Address {
		have = dialed{incarnation: m.Incarnation, address: m.Address, endpoint: r.dial(m.Endpoint)}
		r.endpoints[m.Name] = have
	}
	return have.endpoint
}

// draw returns random bits.
func (r *Router) draw() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Uint64()
}
