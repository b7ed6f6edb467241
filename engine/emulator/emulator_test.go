package emulator_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/engine/emulator"
	"github.com/jacinthplank/jacinthplank/outcome"
)

func newWork(name string, tokens, maxTokens int) engine.Work {
	blocks := make([]engine.Block, tokens/engine.BlockTokens)
	for i := range blocks {
		blocks[i] = engine.Block(len(name)*1000 + int(name[0])<<32 + i)
	}
	return engine.Work{
		Key:       engine.Key{Request: name, Attempt: 1},
		Model:     "draft",
		Prompt:    engine.Prompt{Tokens: tokens, Blocks: blocks},
		MaxTokens: maxTokens,
	}
}

func readAll(s engine.Stream) (string, engine.Chunk, error) {
	var text strings.Builder
	var last engine.Chunk
	for {
		c, err := s.Next(context.Background())
		if errors.Is(err, io.EOF) {
			return text.String(), last, nil
		}
		if err != nil {
			return text.String(), last, err
		}
		text.WriteString(c.Text)
		last = c
	}
}

func TestContinuationReproducesAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := emulator.New(emulator.Config{Seed: 1, IgnoreEOS: true})
		defer e.Close()
		w := newWork("a", 2000, 20)
		full, last, err := readAll(must(e.Generate(t.Context(), w)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(last.Finish).To(Equal(engine.FinishLength))
		g.Expect(last.Usage).To(Equal(engine.Usage{PromptTokens: 2000, GeneratedTokens: 20}))

		w.Key.Attempt = 2
		w.Offset = 8
		w.Generated = strings.Join(strings.SplitAfter(full, " ")[:8], "")
		rest, last, err := readAll(must(e.Generate(t.Context(), w)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(w.Generated + rest).To(Equal(full))
		g.Expect(last.Usage.CachedTokens).To(Equal(1536))
		g.Expect(e.HeldBlocks()).To(BeZero())
	})
}

// An answer ends by itself, at a length that depends on the prompt and
// LengthSeed only, so that another engine can continue it.
func TestAnswersEndByThemselves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const maxTokens = 3000 // exceeds every natural length
		first := emulator.New(emulator.Config{Seed: 1})
		defer first.Close()
		second := emulator.New(emulator.Config{Seed: 2})
		defer second.Close()
		var lengths []int
		for i := range 40 {
			w := newWork(strings.Repeat("a", i+1), 1024, maxTokens)
			full, last, err := readAll(must(first.Generate(t.Context(), w)))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(last.Finish).To(Equal(engine.FinishStop))
			length := emulator.AnswerLength(w.Prompt, 0)
			g.Expect(last.Usage.GeneratedTokens).To(Equal(length))
			lengths = append(lengths, length)

			w.Offset = length / 2
			w.Generated = strings.Join(strings.SplitAfter(full, " ")[:w.Offset], "")
			rest, last, err := readAll(must(second.Generate(t.Context(), w)))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(last.Finish).To(Equal(engine.FinishStop))
			g.Expect(w.Generated + rest).To(Equal(full))
		}
		slices.Sort(lengths)
		g.Expect(lengths[0]).To(BeNumerically(">=", 1))
		g.Expect(lengths[0]*4).To(BeNumerically("<", lengths[39]), "lengths are spread")

		// At the natural length the answer has ended by itself; below it, max_tokens
		// ends it.
		w := newWork("b", 1024, 0)
		length := emulator.AnswerLength(w.Prompt, 0)
		for maxTokens, finish := range map[int]engine.FinishReason{
			length - 1: engine.FinishLength, length: engine.FinishStop, length + 1: engine.FinishStop,
		} {
			w.MaxTokens = maxTokens
			_, last, err := readAll(must(first.Generate(t.Context(), w)))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(last.Finish).To(Equal(finish))
			g.Expect(last.Usage.GeneratedTokens).To(Equal(min(maxTokens, length)))
		}
		g.Expect(first.HeldBlocks() + second.HeldBlocks()).To(BeZero())
	})
}

func TestAnswerLengthsAreSpread(t *testing.T) {
	g := NewWithT(t)
	const count = 10_000
	lengths := make([]int, count)
	changed := 0
	for i := range lengths {
		p := engine.Prompt{Text: strconv.Itoa(i)}
		lengths[i] = emulator.AnswerLength(p, 7)
		g.Expect(emulator.AnswerLength(p, 7)).To(Equal(lengths[i]))
		if emulator.AnswerLength(p, 8) != lengths[i] {
			changed++
		}
	}
	g.Expect(changed).To(BeNumerically(">", count*9/10))
	slices.Sort(lengths)
	g.Expect(lengths[0]).To(BeNumerically(">=", 1))
	g.Expect(lengths[count/2]).To(BeNumerically("~", 160, 10))
	g.Expect(lengths[count*95/100]).To(BeNumerically("~", 700, 70))
	g.Expect(lengths[count-1]).To(BeNumerically("<=", 2048))
}

func TestIgnoreEOSEndsAnswersAtMaxTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := emulator.New(emulator.Config{IgnoreEOS: true})
		defer e.Close()
		_, last, err := readAll(must(e.Generate(t.Context(), newWork("a", 1024, 3000))))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(last.Finish).To(Equal(engine.FinishLength))
		g.Expect(last.Usage.GeneratedTokens).To(Equal(3000))
	})
}

func TestPrefillTimeGrowsWithPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := emulator.New(emulator.Config{PrefillPerSec: 10_000, AttentionScale: 100_000})
		defer e.Close()
		elapsed := func(w engine.Work) time.Duration {
			start := time.Now()
			_, _, err := readAll(must(e.Generate(t.Context(), w)))
			g.Expect(err).NotTo(HaveOccurred())
			return time.Since(start)
		}
		g.Expect(elapsed(newWork("a", 10_000, 0))).To(BeNumerically("~", 1050*time.Millisecond, time.Millisecond))
		g.Expect(elapsed(newWork("b", 200_000, 0))).To(BeNumerically("~", 40*time.Second, 10*time.Millisecond))
		// The whole prompt of a is cached except its last, partial block.
		w := newWork("a", 10_000, 0)
		w.Key.Attempt = 2
		g.Expect(elapsed(w)).To(BeNumerically("<", 30*time.Millisecond))
	})
}

func TestMemoryLimitAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := emulator.New(emulator.Config{MemoryBlocks: 400, EventLag: time.Second, IgnoreEOS: true})
		defer e.Close()
		first := newWork("a", 40_000, 8_000)
		second := newWork("b", 16_000, 10)
		_ = must(e.Generate(t.Context(), first))
		secondStream := must(e.Generate(t.Context(), second))
		time.Sleep(3 * time.Second)
		g.Expect(e.HeldBlocks()).To(Equal(375))
		g.Expect(e.Cancel(t.Context(), first.Key)).To(Succeed())
		g.Expect(e.Cancel(t.Context(), first.Key)).To(Succeed())
		_, last, err := readAll(secondStream)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(last.Finish).To(Equal(engine.FinishLength))
		g.Expect(e.HeldBlocks()).To(BeZero())

		time.Sleep(2 * time.Second)
		events, err := e.CacheEvents(t.Context(), 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(events).To(HaveLen(40_000/512 + 16_000/512 + 10)) // 10 blocks were evicted to make room
	})
}

func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := emulator.New(emulator.Config{ChecksFencing: true, IgnoreEOS: true})
		defer e.Close()
		stream := must(e.Generate(t.Context(), newWork("a", 1000, 100)))
		e.Freeze()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		g.Expect(outcome.StateOf(e.Cancel(ctx, engine.Key{Request: "a", Attempt: 1}))).To(Equal(outcome.Unknown))
		e.Thaw()
		time.Sleep(time.Second)
		e.Kill()
		text, _, err := readAll(stream)
		g.Expect(text).NotTo(BeEmpty())
		g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeEngineFailed))
		e.Revive()
		g.Expect(e.Holdings(t.Context())).To(BeEmpty())

		g.Expect(e.Order(t.Context(), engine.Order{Kind: engine.OrderLoadModel, Target: "big", Fence: 7})).To(Succeed())
		staleErr := e.Order(t.Context(), engine.Order{Kind: engine.OrderUnloadModel, Target: "big", Fence: 6})
		g.Expect(outcome.From(staleErr).Code).To(Equal(outcome.CodeStaleFence))
	})
}

func TestSegmentReadsExportedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fabric := &emulator.Fabric{}
		a := emulator.New(emulator.Config{Name: "a", Fabric: fabric})
		defer a.Close()
		b := emulator.New(emulator.Config{Name: "b", Fabric: fabric})
		defer b.Close()

		full := newWork("group", 800_000, 5)
		first, second := engine.SegmentOf(800_000, 0, 2), engine.SegmentOf(800_000, 1, 2)
		w := full
		w.Segment, w.MaxTokens = &first, 0
		_, _, err := readAll(must(a.Generate(t.Context(), w)))
		g.Expect(err).NotTo(HaveOccurred())
		handle, err := a.Export(t.Context(), w.Key)
		g.Expect(err).NotTo(HaveOccurred())

		w = full
		w.Segment, w.ContextHandles = &second, []string{handle}
		text, _, err := readAll(must(b.Generate(t.Context(), w)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(text).To(HavePrefix(emulator.AnswerToken(full.Prompt, 0)))
		g.Expect(a.HeldBlocks()).To(Equal(first.Tokens() / 128))

		g.Expect(a.Cancel(t.Context(), w.Key)).To(Succeed())
		g.Expect(b.Cancel(t.Context(), w.Key)).To(Succeed())
		_, err = b.Generate(t.Context(), w)
		g.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
		g.Expect(a.HeldBlocks() + b.HeldBlocks()).To(BeZero())
	})
}

// exportPrompt prefills a prompt whose memory stays allocated, and exports it.
func exportPrompt(t *testing.T, e *emulator.Engine, name string, tokens int) (engine.Key, string, error) {
	w := newWork(name, tokens, 0)
	segment := engine.SegmentOf(tokens, 0, 1)
	w.Segment = &segment
	_, _, err := readAll(must(e.Generate(t.Context(), w)))
	if err != nil {
		return w.Key, "", err
	}
	handle, err := e.Export(t.Context(), w.Key)
	return w.Key, handle, err
}

func TestExportsEndWithTheirAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := emulator.New(emulator.Config{})
		defer e.Close()
		for i := range 50 {
			k, _, err := exportPrompt(t, e, strings.Repeat("a", i+1), 1024)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(e.Exports().Held).To(Equal(1))
			g.Expect(e.Cancel(t.Context(), k)).To(Succeed())
		}
		g.Expect(e.Exports()).To(Equal(emulator.ExportStats{}))
	})
}

func expectNotExported(g *WithT, err error) {
	g.Expect(err).To(MatchError(ContainSubstring("is no longer exported")))
	g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeNotFound))
	g.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
}

func TestOldExportsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fabric := &emulator.Fabric{}
		a := emulator.New(emulator.Config{Name: "a", Fabric: fabric, ExportAge: time.Minute})
		defer a.Close()
		b := emulator.New(emulator.Config{Name: "b", Fabric: fabric})
		defer b.Close()
		k, handle, err := exportPrompt(t, a, "p", 1024)
		g.Expect(err).NotTo(HaveOccurred())
		importer := engine.Key{Request: "import", Attempt: 1}
		time.Sleep(59 * time.Second)
		g.Expect(b.Import(t.Context(), importer, handle)).To(Succeed())
		g.Expect(b.Cancel(t.Context(), importer)).To(Succeed())

		time.Sleep(time.Second)
		for _, e := range []*emulator.Engine{a, b} {
			expectNotExported(g, e.Import(t.Context(), importer, handle))
		}
		g.Expect(a.Exports()).To(Equal(emulator.ExportStats{Expired: 1}))
		g.Expect(b.HeldBlocks()).To(BeZero())
		g.Expect(a.HeldBlocks()).To(Equal(8), "the attempt keeps its memory")

		_, err = a.Export(t.Context(), k)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b.Import(t.Context(), importer, handle)).To(Succeed())
	})
}

// An import whose export ends during the transfer is refused as not run, so it
// holds no memory.
func TestImportOfExportThatEndsHoldsNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fabric := &emulator.Fabric{}
		a := emulator.New(emulator.Config{Name: "a", Fabric: fabric})
		defer a.Close()
		b := emulator.New(emulator.Config{Name: "b", Fabric: fabric, TransferPerSec: 1024})
		defer b.Close()
		k, handle, err := exportPrompt(t, a, "p", 1024)
		g.Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(500*time.Millisecond, func() { _ = a.Cancel(context.Background(), k) })
		expectNotExported(g, b.Import(t.Context(), engine.Key{Request: "import", Attempt: 1}, handle))
		g.Expect(b.HeldBlocks()).To(BeZero())
		g.Expect(b.Holdings(t.Context())).To(BeEmpty())
	})
}

func TestExportsAreBoundedInBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const bytesOf1024Tokens = 1024 * 128 << 10
		fabric := &emulator.Fabric{}
		a := emulator.New(emulator.Config{Name: "a", Fabric: fabric, ExportBytes: 2 * bytesOf1024Tokens})
		defer a.Close()
		b := emulator.New(emulator.Config{Name: "b", Fabric: fabric})
		defer b.Close()
		var handles []string
		for _, name := range []string{"p", "q", "r"} {
			_, handle, err := exportPrompt(t, a, name, 1024)
			g.Expect(err).NotTo(HaveOccurred())
			handles = append(handles, handle)
		}
		g.Expect(a.Exports()).To(Equal(emulator.ExportStats{Held: 2, Bytes: 2 * bytesOf1024Tokens, Evicted: 1}))
		expectNotExported(g, b.Import(t.Context(), engine.Key{Request: "p"}, handles[0]))
		g.Expect(b.Import(t.Context(), engine.Key{Request: "q"}, handles[1])).To(Succeed())
		g.Expect(b.Import(t.Context(), engine.Key{Request: "r"}, handles[2])).To(Succeed())

		_, _, err := exportPrompt(t, a, "s", 3*1024)
		g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeMemoryReserved))
		g.Expect(a.Exports().Held).To(Equal(2))
	})
}

func must(s engine.Stream, err error) engine.Stream {
	if err != nil {
		panic(err)
	}
	return s
}
