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

	"github.com/jacinthplank/jacinthplank/breaker"
	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/expect"
	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/limits"
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
	Limiter       *limits.Limiter  // nil for one without a leaser
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
	limiter       *limits.Limiter
	breakers      *breaker.Set
	retries       *retry.Budgets
	lengths       *expect.Estimator
	distances     distances
	attempts      attempts

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
	if o.Limiter == nil {
		o.Limiter = limits.New(nil)
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	r := &Router{
		directory:     o.Directory,
		dial:          o.Dial,
		configuration: o.Configuration,
		recorder:      o.Recorder,
		domain:        o.FailureDomain,
		policy:        o.Policy,
		limiter:       o.Limiter,
		breakers:      breaker.NewSet(),
		retries:       retry.NewBudgets(),
		lengths:       expect.New(),
		random:        rand.New(rand.NewPCG(o.Seed, o.Seed)),
		endpoints:     map[string]dialed{},
	}
	r.breakers.OnChange = func(endpoint string, s breaker.State, reason string) {
		r.recorder.Record(timeline.Event{
			Kind: timeline.KindBreaker, Endpoint: endpoint, Step: "entry", Outcome: s.String(), Detail: reason,
		})
	}
	return r
}

// Breaker returns the state of the breaker of an endpoint.
func (r *Router) Breaker(endpoint string) breaker.State { return r.breakers.State(endpoint) }

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
	members, err := r.members(req)
	if err != nil {
		return placement.Choice{}, err
	}
	now := time.Now()
	query := placement.Query{
		Now:      now,
		Adapter:  req.Adapter,
		Class:    req.Class(),
		Tokens:   req.Prompt.Tokens,
		Output:   req.MaxTokens,
		Blocks:   req.Prompt.Blocks,
		Key:      xxhash.Sum64String(req.Account),
		Random:   r.draw(),
		Domain:   r.domain,
		Distance: r.distances.from(r.domain, r.configuration()),
		Avoid:    avoid,
		Blocked:  func(m *directory.Member) bool { return r.breakers.Blocked(now, m.Name) },
	}
	choice, ok := r.policy.Choose(&query, members)
	if !ok {
		return choice, noEndpoint(req, members)
	}
	return choice, nil
}

// members returns the endpoints of the request's model.
func (r *Router) members(req *submit.Request) ([]*directory.Member, error) {
	model, known := r.engineModel(req.Model)
	if !known {
		return nil, outcome.Refuse(outcome.CodeModelNotFound, stepPlace, "no model %q", req.Model)
	}
	return r.directory.Model(model), nil
}

// noEndpoint tells why no endpoint can be chosen.
func noEndpoint(req *submit.Request, members []*directory.Member) error {
	if longest := longestPrompt(members); longest > 0 && memoryTokens(req) > longest {
		return outcome.Refuse(outcome.CodePromptTooLong, stepPlace,
			"prompt and answer have up to %d tokens; one endpoint holds %d", memoryTokens(req), longest)
	}
	err := outcome.Refuse(outcome.CodeNoEndpoint, stepPlace, "no endpoint takes work for model %q", req.Model)
	err.RetryAfter = directory.DefaultLease
	return err
}

// longestPrompt returns the most tokens that one of the members can hold.
func longestPrompt(members []*directory.Member) int {
	longest := 0
	for _, m := range members {
		longest = max(longest, m.MaxPrompt)
	}
	return longest
}

// memoryTokens returns the tokens for which the request needs memory.
func memoryTokens(req *submit.Request) int { return req.Prompt.Tokens + req.MaxTokens }

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
