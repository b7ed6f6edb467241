package endpoint_test

import (
	"context"
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

func TestDisconnectDuringPrefillFreesMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, lost := range []int{0, 1, 3} {
			b := newTestbed(t, emulator.Config{}, endpoint.Config{})
			b.emu.FailCancels(lost)
			answer := b.submit(request("gone", 200_000, 100, time.Minute))
			time.Sleep(time.Second)
			b.Expect(answer.Close()).To(Succeed())
			_, _, err := readAnswer(answer)
			b.Expect(outcome.From(err).Code).To(Equal(outcome.CodeCanceled))
			b.Expect(outcome.StateOf(err)).To(Equal(outcome.Ran))
			b.Expect(answer.Close()).To(Succeed())
			b.close()
		}
	})
}

func TestCanceledSubmitNeverStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, emulator.Config{}, endpoint.Config{MaxRunning: 1})
		running := b.submit(request("running", 1000, 100, time.Minute))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := b.agent.Submit(ctx, request("queued", 1000, 10, time.Minute))
		b.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
		_, _, err = readAnswer(running)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(b.emu.SubmitCount(engine.Key{Request: "queued", Attempt: 1})).To(BeZero())
		b.close()
	})
}

func TestFrozenEngineIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, emulator.Config{}, endpoint.Config{StallTimeout: 5 * time.Second})
		answer := b.submit(request("a", 1000, 500, time.Minute))
		_, err := answer.Next(t.Context())
		b.Expect(err).NotTo(HaveOccurred())
		b.emu.Freeze()
		began := time.Now()
		_, _, err = readAnswer(answer)
		b.Expect(outcome.From(err).Code).To(Equal(outcome.CodeEngineStalled))
		b.Expect(outcome.StateOf(err)).To(Equal(outcome.Ran))
		b.Expect(time.Since(began)).To(BeNumerically("<=", 5*time.Second))

		// A call that the frozen engine does not answer may still have reached it.
		_, err = b.agent.Submit(t.Context(), request("b", 1000, 10, time.Minute))
		b.Expect(outcome.From(err).Code).To(Equal(outcome.CodeEngineStalled))
		b.Expect(outcome.StateOf(err)).To(Equal(outcome.Unknown))
		b.Expect(b.agent.Backlog().FreeBlocks).To(BeNumerically("<", 3200), "memory counts as used until the engine confirms")
		b.emu.Thaw()
		b.close()
	})
}

func TestDeadlineEndsRunningAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, emulator.Config{}, endpoint.Config{})
		began := time.Now()
		answer := b.submit(request("a", 1000, 100, 3*time.Second)) // 1.7 s on an idle engine
		b.emu.SetSlowdown(10)
		_, _, err := readAnswer(answer)
		b.Expect(outcome.From(err).Code).To(Equal(outcome.CodeDeadlinePassed))
		b.Expect(time.Since(began)).To(Equal(3 * time.Second))
		b.emu.SetSlowdown(1)
		time.Sleep(100 * time.Millisecond)
		b.Expect(b.emu.HeldBlocks()).To(BeZero())
		b.close()
	})
}

func TestKilledEngineFailsItsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, emulator.Config{}, endpoint.Config{})
		long := b.submit(request("long", 200_000, 100, time.Minute))
		short := b.submit(request("short", 1000, 500, time.Minute))
		time.Sleep(time.Second)
		b.emu.Kill()
		for _, answer := range []submit.Answer{long, short} {
			_, _, err := readAnswer(answer)
			b.Expect(outcome.From(err).Code).To(Equal(outcome.CodeEngineFailed))
			b.Expect(outcome.StateOf(err)).NotTo(Equal(outcome.NotRun))
		}
		b.emu.Revive()
		time.Sleep(2 * time.Second)
		_, _, err := readAnswer(b.submit(request("after", 1000, 10, time.Minute)))
		b.Expect(err).NotTo(HaveOccurred())
		b.close()
	})
}

func TestEngineRestartClearsCacheView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, emulator.Config{}, endpoint.Config{})
		r := request("a", 100_000, 10, time.Minute) // 5 s of prefill
		_, _, err := readAnswer(b.submit(r))
		b.Expect(err).NotTo(HaveOccurred())
		r.Attempt, r.Remaining = 2, 3*time.Second
		_, _, err = readAnswer(b.submit(r))
		b.Expect(err).NotTo(HaveOccurred(), "the prompt is cached, so it fits the deadline")
		b.emu.Kill()
		time.Sleep(3 * time.Second)
		b.emu.Revive()
		time.Sleep(3 * time.Second)
		r.Attempt = 3
		_, err = b.agent.Submit(t.Context(), r)
		b.Expect(outcome.From(err).Code).To(Equal(outcome.CodeDeadlineInfeasible))
		r.Attempt, r.Remaining = 4, time.Minute
		_, _, err = readAnswer(b.submit(r))
		b.Expect(err).NotTo(HaveOccurred())
		time.Sleep(3 * time.Second) // cache events are applied although their sequence restarted at 1
		r.Attempt, r.Remaining = 5, 3*time.Second
		_, _, err = readAnswer(b.submit(r))
		b.Expect(err).NotTo(HaveOccurred())
		b.close()
	})
}

func TestRestartedAgentFreesOrphanedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, emulator.Config{MemoryBlocks: 1000}, endpoint.Config{})
		// Work left by an earlier run of the agent holds 782 blocks for 27 minutes.
		_, err := b.emu.Generate(t.Context(), engine.Work{
			Key: engine.Key{Request: "old", Attempt: 1}, Model: "draft", Prompt: engine.Prompt{Tokens: 8}, MaxTokens: 100_000,
		})
		b.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		b.stopAgent()
		b.startAgent(endpoint.Config{OrphanGrace: 10 * time.Second})
		b.Expect(b.agent.Backlog().FreeBlocks).To(Equal(1000 - 782))
		_, err = b.agent.Submit(t.Context(), request("too soon", 60_000, 10, 8*time.Second))
		b.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
		time.Sleep(12 * time.Second)
		_, _, err = readAnswer(b.submit(request("fits", 60_000, 10, time.Minute)))
		b.Expect(err).NotTo(HaveOccurred())
		b.close()
	})
}

func TestResentAttemptRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, emulator.Config{}, endpoint.Config{})
		r := request("a", 1000, 20, time.Minute)
		answer := b.submit(r)
		_, err := b.agent.Submit(t.Context(), r)
		b.Expect(outcome.StateOf(err)).To(Equal(outcome.Unknown))
		_, _, err = readAnswer(answer)
		b.Expect(err).NotTo(HaveOccurred())
		_, err = b.agent.Submit(t.Context(), r)
		b.Expect(outcome.From(err).Code).To(Equal(outcome.CodeConflict))
		b.Expect(outcome.StateOf(err)).To(Equal(outcome.Unknown))
		b.Expect(b.emu.SubmitCount(r.Key())).To(Equal(1))
		b.close()
	})
}

// group is two agents whose engines together hold one prompt.
type group struct {
	testbeds [2]*testbed
	request  submit.Request
}

func newGroup(t *testing.T, exportAge time.Duration) *group {
	fabric := &emulator.Fabric{}
	var g group
	for i, name := range []string{"a", "b"} {
		g.testbeds[i] = newTestbed(t, emulator.Config{Name: name, Fabric: fabric, AttentionScale: 131_072, ExportAge: exportAge}, endpoint.Config{})
	}
	g.request = request("archive", 600_000, 20, 10*time.Minute)
	return &g
}

func (g *group) member(i int, handles ...string) submit.Request {
	r := g.request
	r.Group = &submit.Group{Members: []string{"a", "b"}, Index: i, Handles: handles}
	return r
}

func (g *group) reserve(i int, remaining time.Duration) error {
	tokens := engine.SegmentOf(g.request.Prompt.Tokens, i, 2).Tokens() + g.request.MaxTokens
	return g.testbeds[i].agent.Reserve(context.Background(), g.request.Key(), tokens, remaining)
}

func TestGroupServesPromptLargerThanOneEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 0)
		a, b := g.testbeds[0], g.testbeds[1]
		_, err := a.agent.Submit(t.Context(), g.request)
		a.Expect(outcome.From(err).Code).To(Equal(outcome.CodePromptTooLong))
		_, err = a.agent.Submit(t.Context(), g.member(0))
		a.Expect(outcome.From(err).Code).To(Equal(outcome.CodeGroupUnavailable))

		a.Expect(g.reserve(0, 10*time.Minute)).To(Succeed())
		a.Expect(g.reserve(0, 10*time.Minute)).To(Succeed())
		a.Expect(g.reserve(1, 10*time.Minute)).To(Succeed())
		_, last, err := readAnswer(a.submit(g.member(0)))
		a.Expect(err).NotTo(HaveOccurred())
		a.Expect(last.Handle).NotTo(BeEmpty())
		text, last, err := readAnswer(b.submit(g.member(1, last.Handle)))
		a.Expect(err).NotTo(HaveOccurred())
		a.Expect(text).To(Equal(expectedText(g.request.Prompt, 0, 20)))
		a.Expect(last.Finish).To(Equal(engine.FinishLength))
		a.Expect(a.emu.HeldBlocks()).To(BeNumerically(">", 2000))
		a.Expect(a.agent.Release(t.Context(), g.request.Key())).To(Succeed())
		a.Expect(a.agent.Release(t.Context(), g.request.Key())).To(Succeed())
		a.Expect(g.reserve(0, time.Minute)).NotTo(Succeed(), "a released attempt must not be reserved again")
		a.close()
		b.close()
	})
}

func TestLostMemberFreesGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 0)
		a, b := g.testbeds[0], g.testbeds[1]
		a.Expect(g.reserve(0, 10*time.Minute)).To(Succeed())
		a.Expect(g.reserve(1, 10*time.Minute)).To(Succeed())
		_, last, err := readAnswer(a.submit(g.member(0)))
		a.Expect(err).NotTo(HaveOccurred())
		second := b.submit(g.member(1, last.Handle))
		time.Sleep(time.Second)
		a.emu.Kill() // frees the memory that the handle refers to
		a.emu.Revive()
		_, _, err = readAnswer(second)
		a.Expect(outcome.StateOf(err)).To(Equal(outcome.Ran))
		for _, member := range g.testbeds {
			a.Expect(member.agent.Release(t.Context(), g.request.Key())).To(Succeed())
		}
		a.close()
		b.close()
	})
}

// A member whose context is no longer exported fails as not run, and the memory of
// the group is freed.
func TestDroppedExportFailsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 30*time.Second)
		a, b := g.testbeds[0], g.testbeds[1]
		a.Expect(g.reserve(0, 10*time.Minute)).To(Succeed())
		a.Expect(g.reserve(1, 10*time.Minute)).To(Succeed())
		_, last, err := readAnswer(a.submit(g.member(0)))
		a.Expect(err).NotTo(HaveOccurred())
		time.Sleep(30 * time.Second)
		_, err = b.agent.Submit(t.Context(), g.member(1, last.Handle))
		a.Expect(err).To(MatchError(ContainSubstring("is no longer exported")))
		a.Expect(outcome.From(err).Code).To(Equal(outcome.CodeNotFound))
		a.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
		a.Expect(a.emu.Exports().Expired).To(Equal(1))
		for _, member := range g.testbeds {
			a.Expect(member.agent.Release(t.Context(), g.request.Key())).To(Succeed())
		}
		a.close()
		b.close()
	})
}

func TestReservationsExpireAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 0)
		a, b := g.testbeds[0], g.testbeds[1]
		a.Expect(g.reserve(0, 2*time.Minute)).To(Succeed())
		a.Expect(g.reserve(1, time.Second)).To(Succeed())
		_, last, err := readAnswer(a.submit(g.member(0))) // the router fails after this and calls no Release
		a.Expect(err).NotTo(HaveOccurred())
		_, err = b.agent.Submit(t.Context(), g.member(1, last.Handle))
		a.Expect(outcome.From(err).Code).To(Equal(outcome.CodeGroupUnavailable))
		time.Sleep(2 * time.Minute)
		a.close()
		b.close()
	})
}
