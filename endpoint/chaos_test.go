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

// outcomeGrace is the time after its deadline within which a request must have an
// outcome.
const outcomeGrace = 100 * time.Millisecond

// TestRandomFaultsLeakNoMemoryOrOutcomes kills, freezes and slows the engine, loses
// cancels and restarts the agent's loops at random while callers disconnect. Every
// request must get an outcome in time, a finished answer must have its full text,
// a request refused as not run must not have reached the engine, and no memory
// block may be held at the end.
func TestRandomFaultsLeakNoMemoryOrOutcomes(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		t.Logf("seed %d", seed)
		synctest.Test(t, func(t *testing.T) {
			b := newTestbed(t, emulator.Config{Seed: seed, EventLag: time.Second, EventLoss: 0.2}, endpoint.Config{StallTimeout: 3 * time.Second})
			random := rand.New(rand.NewPCG(seed, 3))
			var callers sync.WaitGroup
			var finished, refused, failed int
			var mu sync.Mutex
			for i := range 300 {
				r := request(fmt.Sprint("prefix", i%40), 200<<random.IntN(11), 1+random.IntN(60), time.Duration(1+random.IntN(40))*time.Second)
				r.ID = fmt.Sprint("r", i)
				callerTimeout := time.Duration(random.IntN(60)) * time.Second
				callers.Go(func() {
					err := b.call(r, callerTimeout)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case err == nil:
						finished++
					case outcome.StateOf(err) == outcome.NotRun:
						refused++
						b.Expect(b.emu.SubmitCount(r.Key())).To(BeZero(), "%s was refused as not run, but the engine saw it: %v", r.ID, err)
					default:
						failed++
					}
				})
				b.injectFault(random)
				b.Expect(b.agent.Backlog().FreeBlocks).To(BeNumerically("<=", 3200-b.emu.HeldBlocks()), "the ledger reports blocks as free that the engine holds")
				time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
			}
			callers.Wait()
			t.Logf("%d finished, %d refused, %d failed", finished, refused, failed)
			b.Expect(finished).To(BeNumerically(">", 30))
			b.close()
		})
	}
}

// injectFault injects a random fault in some calls. Each fault is temporary.
func (b *testbed) injectFault(random *rand.Rand) {
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
		b.restartAgentLoops()
	}
}

// restartAgentLoops restarts Serve, as the supervisor does after a panic.
func (b *testbed) restartAgentLoops() {
	b.stopAgent()
	ctx, cancel := context.WithCancel(context.Background())
	b.stop, b.served = cancel, make(chan struct{})
	ended := b.served
	go func() {
		_ = b.agent.Serve(ctx)
		close(ended)
	}()
}

// call submits a request whose caller disconnects after callerTimeout.
func (b *testbed) call(r submit.Request, callerTimeout time.Duration) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	answer, err := b.agent.Submit(ctx, r)
	if err == nil {
		stop := context.AfterFunc(ctx, func() { _ = answer.Close() })
		defer stop()
		var text string
		var last submit.Frame
		text, last, err = readAnswer(answer)
		b.Expect(expectedText(r.Prompt, 0, r.MaxTokens)).To(HavePrefix(text), "%s received text of another answer", r.ID)
		if err == nil {
			b.Expect(last.Finish).To(Equal(engine.FinishLength))
			b.Expect(text).To(Equal(expectedText(r.Prompt, 0, r.MaxTokens)), "%s received an incomplete answer", r.ID)
		}
	}
	b.Expect(time.Since(began)).To(BeNumerically("<=", r.Remaining+outcomeGrace), "%s: %v", r.ID, err)
	return err
}

func TestLateReplyAfterReleaseDoesNotDoubleFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, emulator.Config{}, endpoint.Config{})
		first := request("first", 1000, 50, time.Minute)
		answer := b.submit(first)
		second := b.submit(request("second", 100_000, 1000, time.Minute))
		time.Sleep(100 * time.Millisecond)
		b.emu.FailCancels(1)
		b.Expect(b.agent.Release(t.Context(), first.Key())).To(Succeed())
		_, _, err := readAnswer(answer)
		b.Expect(outcome.From(err).Code).To(Equal(outcome.CodeCanceled))
		b.Expect(b.agent.Release(t.Context(), first.Key())).To(Succeed())
		time.Sleep(5 * time.Second) // the first attempt has finished at the engine by itself
		held := b.emu.HeldBlocks()
		b.Expect(held).To(BeNumerically(">", 700))
		b.Expect(b.agent.Backlog().FreeBlocks).To(BeNumerically("<=", 3200-held))
		b.Expect(second.Close()).To(Succeed())
		b.close()
	})
}

func TestImporterFailureLeaksNoExporterMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 0)
		a, b := g.testbeds[0], g.testbeds[1]
		a.Expect(g.reserve(0, 5*time.Minute)).To(Succeed())
		a.Expect(g.reserve(1, 5*time.Minute)).To(Succeed())
		_, last, err := readAnswer(a.submit(g.member(0)))
		a.Expect(err).NotTo(HaveOccurred())
		second := b.submit(g.member(1, last.Handle))
		time.Sleep(time.Second)
		b.emu.Kill()
		_, _, err = readAnswer(second)
		a.Expect(outcome.From(err).Code).To(Equal(outcome.CodeEngineFailed))
		b.emu.Revive()
		// Nothing calls Release: the reservations end at their deadline.
		time.Sleep(5 * time.Minute)
		a.close()
		b.close()
	})
}
