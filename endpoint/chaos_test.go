package endpoint_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/endpoint"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/engine/emulator"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

// outcomeGrace is how long after its deadline a request may get its outcome.
const outcomeGrace = 100 * time.Millisecond

// TestFaultsLoseNeitherMemoryNorOutcomes kills, freezes, slows and restarts at
// random while callers come and go. Every request must have an outcome in time,
// every complete answer must be whole, a refused one must not have run, and no
// block may be held at the end.
func TestFaultsLoseNeitherMemoryNorOutcomes(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		t.Logf("seed %d", seed)
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t, emulator.Config{Seed: seed, EventLag: time.Second, EventLoss: 0.2}, endpoint.Config{Stall: 3 * time.Second})
			random := rand.New(rand.NewPCG(seed, 3))
			var callers sync.WaitGroup
			var finished, refused, failed int
			var mu sync.Mutex
			for i := range 300 {
				r := request(fmt.Sprint("prefix", i%40), 200<<random.IntN(11), 1+random.IntN(60), time.Duration(1+random.IntN(40))*time.Second)
				r.ID = fmt.Sprint("r", i)
				patience := time.Duration(random.IntN(60)) * time.Second
				callers.Go(func() {
					err := b.call(r, patience)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case err == nil:
						finished++
					case outcome.StateOf(err) == outcome.NotRun:
						refused++
						b.Expect(b.emu.SubmitCount(r.Key())).To(BeZero(), "%s was refused and run: %v", r.ID, err)
					default:
						failed++
					}
				})
				b.fault(random)
				b.Expect(b.agent.Backlog().FreeBlocks).To(BeNumerically("<=", 3200-b.emu.HeldBlocks()), "the ledger promises what the engine holds")
				time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
			}
			callers.Wait()
			t.Logf("%d finished, %d refused, %d failed", finished, refused, failed)
			b.Expect(finished).To(BeNumerically(">", 30))
			b.close()
		})
	}
}

// fault brings about a fault now and then; it passes by itself.
func (b *bench) fault(random *rand.Rand) {
	length := time.Duration(random.IntN(8000)) * time.Millisecond
	switch random.IntN(60) {
	case 0:
		b.emu.Kill()
		time.AfterFunc(length, b.emu.Revive)
	case 1:
		b.emu.Freeze()
		time.AfterFunc(length, b.emu.Thaw)
	case 2:
		b.emu.SetSlowdown(20)
		time.AfterFunc(length, func() { b.emu.SetSlowdown(1) })
	case 3, 4, 5:
		b.emu.FailCancels(random.IntN(4))
	case 6:
		b.stopAgentLoops()
	}
}

// stopAgentLoops restarts the duty, as its supervisor does after a panic.
func (b *bench) stopAgentLoops() {
	b.stopAgent()
	ctx, cancel := context.WithCancel(context.Background())
	b.stop, b.ended = cancel, make(chan struct{})
	ended := b.ended
	go func() {
		_ = b.agent.Serve(ctx)
		close(ended)
	}()
}

// call makes one request whose caller goes away after patience.
func (b *bench) call(r submit.Request, patience time.Duration) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	answer, err := b.agent.Submit(ctx, r)
	if err == nil {
		stop := context.AfterFunc(ctx, func() { _ = answer.Close() })
		defer stop()
		var text string
		var last submit.Frame
		text, last, err = read(answer)
		b.Expect(words(r.Prompt, 0, r.MaxTokens)).To(HavePrefix(text), "%s got another answer", r.ID)
		if err == nil {
			b.Expect(last.Finish).To(Equal(engine.FinishLength))
			b.Expect(text).To(Equal(words(r.Prompt, 0, r.MaxTokens)), "%s got a part", r.ID)
		}
	}
	b.Expect(time.Since(began)).To(BeNumerically("<=", r.Remaining+outcomeGrace), "%s: %v", r.ID, err)
	return err
}

func TestALateReplyAfterReleaseFreesNothingTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, emulator.Config{}, endpoint.Config{})
		first := request("first", 1000, 50, time.Minute)
		answer := b.submit(first)
		second := b.submit(request("second", 100_000, 1000, time.Minute))
		time.Sleep(100 * time.Millisecond)
		b.emu.FailCancels(1)
		b.Expect(b.agent.Release(t.Context(), first.Key())).To(Succeed())
		_, _, err := read(answer)
		b.Expect(outcome.From(err).Code).To(Equal(outcome.CodeCanceled))
		b.Expect(b.agent.Release(t.Context(), first.Key())).To(Succeed())
		time.Sleep(5 * time.Second) // the engine's own end of the first has come and gone
		held := b.emu.HeldBlocks()
		b.Expect(held).To(BeNumerically(">", 700))
		b.Expect(b.agent.Backlog().FreeBlocks).To(BeNumerically("<=", 3200-held))
		b.Expect(second.Close()).To(Succeed())
		b.close()
	})
}

func TestAnImporterThatDiesLeavesTheExporterWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		a, b := g.benches[0], g.benches[1]
		a.Expect(g.reserve(0, 5*time.Minute)).To(Succeed())
		a.Expect(g.reserve(1, 5*time.Minute)).To(Succeed())
		_, last, err := read(a.submit(g.member(0)))
		a.Expect(err).NotTo(HaveOccurred())
		second := b.submit(g.member(1, last.Handle))
		time.Sleep(time.Second)
		b.emu.Kill()
		_, _, err = read(second)
		a.Expect(outcome.From(err).Code).To(Equal(outcome.CodeEngineFailed))
		b.emu.Revive()
		// Nobody releases: the deadline does.
		time.Sleep(5 * time.Minute)
		a.close()
		b.close()
	})
}
