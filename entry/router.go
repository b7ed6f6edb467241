// Package entry implements the router of the entry duty. It chooses an endpoint
// for each request, forwards the frames of the answer and retries failed attempts
// within the request's deadline and the retry budgets.
package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthplank/jacinthplank/blame"
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

// Options configures a Router. Directory and Dial are required.
type Options struct {
	Directory *directory.Directory
	// Dial returns the client of an endpoint. It is called once per incarnation
	// and address.
	Dial func(directory.Endpoint) submit.Endpoint
	// Configuration returns the active configuration; nil for an empty one.
	Configuration func() *fleet.Configuration
	Recorder      timeline.Recorder
	FailureDomain string
	Policy        placement.Policy // nil for the placer of package placement
	Limiter       *limits.Limiter  // nil for a limiter without a leaser
	Seed          uint64           // of jitter and random choices; 0 for a random seed
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
	blame         *blame.Store // of this entry alone
	retries       *retry.Budgets
	lengths       *expect.Estimator
	roundTrips    domainRoundTrips
	attempts      attemptSet

	mu      sync.Mutex
	random  *rand.Rand
	clients map[string]cachedClient
}

// cachedClient is the client of one incarnation of an endpoint.
type cachedClient struct {
	incarnation uint64
	address     string
	client      submit.Endpoint
}

var emptyConfiguration = &fleet.Configuration{}

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
		blame:         blame.NewStore(),
		retries:       retry.NewBudgets(),
		lengths:       expect.New(),
		random:        rand.New(rand.NewPCG(o.Seed, o.Seed)),
		clients:       map[string]cachedClient{},
	}
	r.blame.OnChange = r.recordVerdict
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
// request. Remaining must be set: the answer ends, complete or with an error, by
// the time it has passed.
func (r *Router) Submit(ctx context.Context, req submit.Request) (submit.Answer, error) {
	if req.Remaining <= 0 {
		return nil, outcome.Refuse(outcome.CodeDeadlinePassed, stepPlace, "the request's deadline has passed")
	}
	r.retries.Earn(req.Account)
	f := newInflightRequest(ctx, r, req)
	if err := f.start(nil); err != nil {
		return nil, f.fail(err)
	}
	return f, nil
}

// engineModel returns the engines' name of a model and whether the active
// configuration contains it. A configuration without models allows all.
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
		Random:   r.randomBits(),
		Domain:   r.domain,
		Distance: r.roundTrips.lookupFrom(r.domain, r.configuration()),
		Avoid:    avoid,
		Blocked:  func(m *directory.Member) bool { return r.breakers.Blocked(now, m.Name) },
	}
	choice, ok := r.policy.Choose(&query, members)
	if !ok {
		return choice, noEndpointError(req, members)
	}
	return choice, nil
}

// members returns the endpoints of the request's model.
func (r *Router) members(req *submit.Request) ([]*directory.Member, error) {
	model, known := r.engineModel(req.Model)
	if !known {
		return nil, outcome.Refuse(outcome.CodeModelNotFound, stepPlace, "unknown model %q", req.Model)
	}
	return r.directory.Model(model), nil
}

// noEndpointError returns the reason why no endpoint can be chosen.
func noEndpointError(req *submit.Request, members []*directory.Member) error {
	if longest := maxPromptTokens(members); longest > 0 && requiredTokens(req) > longest {
		return outcome.Refuse(outcome.CodePromptTooLong, stepPlace,
			"prompt and answer take up to %d tokens; the largest endpoint holds %d", requiredTokens(req), longest)
	}
	err := outcome.Refuse(outcome.CodeNoEndpoint, stepPlace, "no endpoint takes work for model %q", req.Model)
	err.RetryAfter = directory.DefaultLease
	return err
}

// maxPromptTokens returns the maximum number of tokens that any one member can hold.
func maxPromptTokens(members []*directory.Member) int {
	longest := 0
	for _, m := range members {
		longest = max(longest, m.MaxPrompt)
	}
	return longest
}

// requiredTokens returns the number of tokens for which the request needs memory.
func requiredTokens(req *submit.Request) int { return req.Prompt.Tokens + req.MaxTokens }

// endpointClient returns the client of a member. It dials again when the member's
// incarnation or address has changed.
func (r *Router) endpointClient(m *directory.Member) submit.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	cached, ok := r.clients[m.Name]
	if !ok || cached.incarnation != m.Incarnation || cached.address != m.Address {
		cached = cachedClient{incarnation: m.Incarnation, address: m.Address, client: r.dial(m.Endpoint)}
		r.clients[m.Name] = cached
	}
	return cached.client
}

// randomBits returns 64 random bits.
func (r *Router) randomBits() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Uint64()
}
