package endpoint_test

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"strings"
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

// testbed is one agent with one emulated engine, in virtual time.
type testbed struct {
	*WithT
	t      *testing.T
	agent  *endpoint.Agent
	emu    *emulator.Engine
	stop   context.CancelFunc
	served chan struct{}
}

// newTestbed starts an agent with an engine whose answers have MaxTokens tokens.
func newTestbed(t *testing.T, engineConfig emulator.Config, config endpoint.Config) *testbed {
	engineConfig.IgnoreEOS = true
	b := &testbed{WithT: NewWithT(t), t: t, emu: emulator.New(engineConfig)}
	b.startAgent(config)
	return b
}

func (b *testbed) startAgent(config endpoint.Config) {
	config.Name = "endpoint-1"
	config.Engine = b.emu
	config.Log = slog.New(slog.DiscardHandler)
	b.agent = endpoint.New(config)
	ctx, cancel := context.WithCancel(context.Background())
	b.stop, b.served = cancel, make(chan struct{})
	go func() {
		_ = b.agent.Serve(ctx)
		close(b.served)
	}()
	synctest.Wait()
}

func (b *testbed) stopAgent() {
	b.stop()
	<-b.served
}

// close checks that no memory block leaked and stops agent and engine.
func (b *testbed) close() {
	time.Sleep(time.Minute)
	b.Expect(b.emu.HeldBlocks()).To(BeZero(), "memory blocks still held by the engine")
	description, _ := b.emu.Describe(b.t.Context())
	b.Expect(b.agent.Backlog().FreeBlocks).To(Equal(description.MemoryBlocks), "free memory blocks in the ledger")
	b.stopAgent()
	b.emu.Close()
}

func request(id string, tokens, maxTokens int, remaining time.Duration) submit.Request {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(id))
	blocks := make([]engine.Block, tokens/engine.BlockTokens)
	for i := range blocks {
		blocks[i] = engine.Block(seed.Sum64() + uint64(i))
	}
	return submit.Request{
		ID:        id,
		Attempt:   1,
		Model:     "draft",
		Prompt:    engine.Prompt{Tokens: tokens, Blocks: blocks},
		MaxTokens: maxTokens,
		Remaining: remaining,
	}
}

// readAnswer reads an answer to its end. It returns the text received, the last
// frame and the error that ended the answer, nil if it is complete.
func readAnswer(answer submit.Answer) (string, submit.Frame, error) {
	var text strings.Builder
	var last submit.Frame
	for {
		f, err := answer.Next(context.Background())
		if errors.Is(err, io.EOF) {
			return text.String(), last, nil
		}
		if err != nil {
			return text.String(), last, err
		}
		text.WriteString(f.Text)
		last = f
	}
}

func expectedText(p engine.Prompt, first, last int) string {
	var text strings.Builder
	for i := first; i < last; i++ {
		text.WriteString(emulator.AnswerToken(p, i))
	}
	return text.String()
}

func (b *testbed) submit(r submit.Request) submit.Answer {
	answer, err := b.agent.Submit(b.t.Context(), r)
	b.Expect(err).NotTo(HaveOccurred())
	return answer
}

func TestAnswersAreCompleteAndCarryBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, emulator.Config{}, endpoint.Config{})
		for _, tokens := range []int{800, 30_000, 300_000} {
			r := request(fmt.Sprint("r", tokens), tokens, 40, time.Minute)
			r.Offset = 5
			answer := b.submit(r)
			first, err := answer.Next(t.Context())
			b.Expect(err).NotTo(HaveOccurred())
			b.Expect(first.Offset).To(Equal(5))
			b.Expect(first.Backlog).NotTo(BeNil())
			rest, last, err := readAnswer(answer)
			b.Expect(err).NotTo(HaveOccurred())
			b.Expect(first.Text + rest).To(Equal(expectedText(r.Prompt, 5, 40)))
			b.Expect(last.Finish).To(Equal(engine.FinishLength))
			b.Expect(last.Backlog.Endpoint).To(Equal("endpoint-1"))
		}
		b.close()
	})
}

func TestRefusedRequestNeverReachesEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, emulator.Config{MemoryBlocks: 400}, endpoint.Config{MaxRunning: 2, MaxQueued: 30})
		refused, finished, late := 0, 0, 0
		results := make(chan error, 200)
		for i := range 200 {
			r := request(fmt.Sprint("r", i), 2000+100*i, 50, time.Duration(1000+i*37%7000)*time.Millisecond)
			go func() {
				answer, err := b.agent.Submit(t.Context(), r)
				if err == nil {
					_, _, err = readAnswer(answer)
				}
				if err != nil && outcome.StateOf(err) == outcome.NotRun && b.emu.SubmitCount(r.Key()) > 0 {
					err = fmt.Errorf("%s was refused as not run, but the engine saw it: %v", r.ID, err)
				}
				results <- err
			}()
			time.Sleep(20 * time.Millisecond)
		}
		for range 200 {
			switch err := <-results; {
			case err == nil:
				finished++
			case outcome.From(err).Code == outcome.CodeDeadlinePassed:
				late++
			default:
				b.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun), "%v", err)
				b.Expect(submit.BacklogOf(err)).NotTo(BeNil())
				refused++
			}
		}
		b.Expect(finished).To(BeNumerically(">", 5))
		b.Expect(refused).To(BeNumerically(">", 50))
		t.Logf("%d finished, %d refused, %d late", finished, refused, late)
		b.Expect(late).To(BeZero(), "admitted attempts must not miss their deadline")
		b.close()
	})
}

func TestDrainRefusesQueuedAndFinishesRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, emulator.Config{}, endpoint.Config{MaxRunning: 1})
		running := b.submit(request("running", 1000, 100, time.Minute))
		queued := make(chan error, 1)
		go func() {
			_, err := b.agent.Submit(t.Context(), request("queued", 1000, 100, time.Minute))
			queued <- err
		}()
		synctest.Wait()
		drained := b.agent.Drain()
		err := <-queued
		b.Expect(outcome.From(err).Code).To(Equal(outcome.CodeEndpointLeaving))
		b.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
		b.Expect(submit.BacklogOf(err).Leaving).To(BeTrue())
		_, err = b.agent.Submit(t.Context(), request("late", 1000, 100, time.Minute))
		b.Expect(outcome.From(err).Code).To(Equal(outcome.CodeEndpointLeaving))
		_, last, err := readAnswer(running)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(last.Finish).To(Equal(engine.FinishLength))
		<-drained
		b.Expect(b.emu.SubmitCount(engine.Key{Request: "queued", Attempt: 1})).To(BeZero())
		b.close()
	})
}

func TestAgentRejectsStaleOrdersForUnfencedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, emulator.Config{ChecksFencing: false}, endpoint.Config{})
		order := func(target string, fence uint64) error {
			return b.agent.Order(t.Context(), engine.Order{Kind: engine.OrderLoadModel, Target: target, Fence: fence})
		}
		b.Expect(outcome.From(order("early", 9)).Code).To(Equal(outcome.CodeStaleFence))
		b.agent.RaiseFence(5)
		b.Expect(order("new", 6)).To(Succeed())
		stale := order("old", 5)
		b.Expect(outcome.From(stale).Code).To(Equal(outcome.CodeStaleFence))
		b.Expect(outcome.StateOf(stale)).To(Equal(outcome.NotRun))
		description, err := b.emu.Describe(t.Context())
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(description.Models).To(Equal([]string{"draft", "new"}))
		b.close()
	})
}

func TestShortRequestOvertakesLongPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, emulator.Config{AttentionScale: 131_072}, endpoint.Config{})
		long := b.submit(request("long", 300_000, 10, 5*time.Minute))
		time.Sleep(5 * time.Second)
		began := time.Now()
		short := b.submit(request("short", 1000, 10, time.Minute))
		_, err := short.Next(t.Context())
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond)) // 50 ms on an idle engine
		_, _, err = readAnswer(short)
		b.Expect(err).NotTo(HaveOccurred())
		_, last, err := readAnswer(long)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(last.Usage.PromptTokens).To(Equal(300_000))
		b.close()
	})
}
