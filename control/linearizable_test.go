package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/control"
	"github.com/jacinthplank/jacinthplank/coord/once"
	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// Inputs and outputs of the operations in the histories.
type (
	acceptInput  struct{ base uint64 }
	acceptOutput struct {
		verdict  revision.Verdict
		revision uint64
		unknown  bool
	}
	readInput  struct{}
	claimInput struct {
		request string
		state   once.State // Running for a claim, else the outcome to record
	}
	claimOutput struct {
		verdict once.Verdict
		unknown bool
	}
)

// acceptModel models the configuration as a revision that a compare-and-set
// increments.
var acceptModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		now, out := state.(uint64), output.(acceptOutput)
		if _, isRead := input.(readInput); isRead {
			return out.unknown || out.revision == now, now
		}
		next := now
		if input.(acceptInput).base == now {
			next++
		}
		switch {
		case out.unknown:
			return true, next
		case out.verdict == revision.Accepted:
			return next == now+1 && out.revision == next, next
		default:
			return next == now && out.revision == now, now
		}
	},
}

// claimState is the state of one key in the model of once-records.
type claimState struct {
	holder   string
	state    once.State // empty for a free key
	released string     // requests released so far, each preceded by a comma
}

var claimModel = porcupine.Model{
	Init: func() any { return claimState{} },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(claimState), input.(claimInput), output.(claimOutput)
		next, verdict := now.step(in)
		return out.unknown || out.verdict == verdict, next
	},
}

func (s claimState) step(in claimInput) (claimState, once.Verdict) {
	if in.state == once.Running {
		return s.claim(in.request)
	}
	switch {
	case in.state == once.Released && s.holder != in.request && s.wasReleased(in.request):
		return s, once.WasRecorded
	case s.holder != in.request || s.state == "":
		return s, once.NotHolder
	case s.state == in.state:
		return s, once.WasRecorded
	case s.state == once.Done:
		return s, once.IsDone
	case s.state == once.Released:
		return s, once.IsReleased
	}
	s.state = in.state
	if in.state == once.Released {
		s.released += "," + in.request
	}
	return s, once.WasRecorded
}

func (s claimState) claim(request string) (claimState, once.Verdict) {
	switch {
	case s.holder != request && s.wasReleased(request):
		return s, once.IsReleased
	case s.state == "" || s.state == once.Released && s.holder != request:
		s.holder, s.state = request, once.Running
		return s, once.Granted
	case s.state == once.Running && s.holder == request:
		return s, once.Granted
	case s.state == once.Released:
		return s, once.IsReleased
	case s.state == once.Done:
		return s, once.IsDone
	default:
		return s, once.IsRunning
	}
}

func (s claimState) wasReleased(request string) bool {
	return strings.Contains(s.released+",", ","+request+",")
}

// history collects operations. An operation with an unknown outcome may take
// effect at any time after its call.
type history struct {
	started time.Time
	mu      sync.Mutex
	accepts []porcupine.Operation
	claims  map[string][]porcupine.Operation
}

func (h *history) now() int64 { return int64(time.Since(h.started)) }

func operation(client int, called, returned int64, input, output any, isUnknown bool) porcupine.Operation {
	if isUnknown {
		returned = 1 << 62
	}
	return porcupine.Operation{ClientId: client, Input: input, Call: called, Output: output, Return: returned}
}

func (h *history) accept(ctx context.Context, client int, c *control.Client, r *rand.Rand) {
	called := h.now()
	update, err := c.Configuration(ctx, fleet.Version{})
	if err != nil {
		return
	}
	read := operation(client, called, h.now(), readInput{}, acceptOutput{revision: update.Version.Revision}, false)
	name := fmt.Sprint(client, r.Uint64())
	called = h.now()
	a, err := c.Accept(ctx, control.Change{ID: name, Base: fleet.Version(update.Version), Configuration: testConfiguration(name)})
	out := acceptOutput{verdict: a.Verdict, revision: a.Version.Revision, unknown: err != nil && outcome.StateOf(err) != outcome.NotRun}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.accepts = append(h.accepts, read)
	if err == nil || out.unknown {
		h.accepts = append(h.accepts, operation(client, called, h.now(), acceptInput{update.Version.Revision}, out, out.unknown))
	}
}

func (h *history) claim(ctx context.Context, client int, c *control.Client, r *rand.Rand) {
	key := once.Key{Account: "a", Service: "s", Key: fmt.Sprint(r.IntN(40))}
	request := fmt.Sprint(client, r.Uint64())
	called := h.now()
	a, err := c.Claim(ctx, once.Claim{Key: key, Request: request, Body: "b", Remaining: time.Hour})
	h.recordClaim(client, key.Key, called, claimInput{request, once.Running}, a, err)
	if a.Verdict != once.Granted {
		return
	}
	state := once.Done
	if r.IntN(2) == 0 {
		state = once.Released
	}
	called = h.now()
	a, err = c.Record(ctx, once.Outcome{Key: key, Request: request, Fence: a.Fence, State: state})
	h.recordClaim(client, key.Key, called, claimInput{request, state}, a, err)
}

func (h *history) recordClaim(client int, key string, called int64, in claimInput, a once.Answer, err error) {
	isUnknown := err != nil && outcome.StateOf(err) != outcome.NotRun
	if err != nil && !isUnknown {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims[key] = append(h.claims[key], operation(client, called, h.now(), in, claimOutput{a.Verdict, isUnknown}, isUnknown))
}

// injectFaults isolates or stops one random member at a time and brings it back,
// until ctx is done.
func (c *cluster) injectFaults(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		victim := c.members[r.IntN(len(c.members))]
		if r.IntN(2) == 0 {
			c.isolate(victim)
		} else {
			c.stop(victim)
		}
		sleep(ctx, time.Duration(r.IntN(1200))*time.Millisecond)
		c.isolate()
		if c.running[victim.Name] == nil {
			c.start(victim, c.members)
		}
		sleep(ctx, time.Duration(r.IntN(600))*time.Millisecond)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func TestHistoriesUnderFaultsAreLinearizable(t *testing.T) {
	const seed, clients, duration = 11, 6, 12 * time.Second
	t.Logf("seed %d", seed)
	g := NewWithT(t)
	c := newCluster(t, 3)
	c.leader()
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	h := &history{started: time.Now(), claims: map[string][]porcupine.Operation{}}
	var workers sync.WaitGroup
	workers.Go(func() { c.injectFaults(ctx, rand.New(rand.NewPCG(seed, 0))) })
	for i := range clients {
		workers.Go(func() {
			r, client := rand.New(rand.NewPCG(seed, uint64(i+1))), c.client()
			for ctx.Err() == nil {
				h.accept(ctx, i, client, r)
				h.claim(ctx, i, client, r)
				sleep(ctx, time.Duration(r.IntN(20))*time.Millisecond)
			}
		})
	}
	workers.Wait()

	const checkTimeout = 30 * time.Second
	granted := 0
	g.Expect(porcupine.CheckOperationsTimeout(acceptModel, h.accepts, checkTimeout)).To(Equal(porcupine.Ok))
	for key, operations := range h.claims {
		g.Expect(porcupine.CheckOperationsTimeout(claimModel, operations, checkTimeout)).To(Equal(porcupine.Ok), "key %s", key)
		if slices.ContainsFunc(operations, func(o porcupine.Operation) bool {
			return o.Output.(claimOutput).verdict == once.Granted
		}) {
			granted++
		}
	}
	t.Logf("%d accepts and reads, %d keys of which %d were granted", len(h.accepts), len(h.claims), granted)
	g.Expect(len(h.accepts)).To(BeNumerically(">", 100), "too few operations completed under the faults to check the history")
	g.Expect(granted).To(BeNumerically(">", 10))
}
