package work_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthplank/jacinthplank/work"
)

func TestPrefillTimeIsAdditive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		rates := work.Rates{PrefillPerSec: 20_000, AttentionScale: rapid.IntRange(1000, 1_000_000).Draw(t, "scale")}
		first := rapid.IntRange(0, 500_000).Draw(t, "first")
		middle := first + rapid.IntRange(1, 200_000).Draw(t, "left")
		last := middle + rapid.IntRange(1, 200_000).Draw(t, "right")
		parts := rates.Prefill(first, middle) + rates.Prefill(middle, last)
		g.Expect(rates.Prefill(first, last)).To(BeNumerically("~", parts, time.Microsecond))
		g.Expect(first + rates.PrefillableTokens(first, rates.Prefill(first, last))).To(BeNumerically("~", last, 2))
	})
}

func TestEstimatorLearnsPerAccountAndScript(t *testing.T) {
	g := NewWithT(t)
	e := work.NewEstimator()
	latin, cyrillic := strings.Repeat("barua ya malalamiko ", 100), strings.Repeat("жалоба ", 200)
	g.Expect(e.Tokens("a", latin)).To(Equal(500))
	g.Expect(work.ScriptOf(cyrillic)).To(Equal(work.ScriptTwoByte))
	e.Observe("a", latin, 1000)
	g.Expect(e.Tokens("a", latin)).To(Equal(1000))
	g.Expect(e.Tokens("b", latin)).To(Equal(500))
	e.Observe("a", latin, 500)
	g.Expect(e.Tokens("a", latin)).To(BeNumerically("~", 909, 2))
}

func TestPrefixBlocksAreChained(t *testing.T) {
	g := NewWithT(t)
	text := strings.Repeat("x", 3*work.BlockBytes+5)
	blocks := work.PrefixBlocks(text)
	g.Expect(blocks).To(HaveLen(3))
	g.Expect(work.PrefixBlocks(text + "more")[:3]).To(Equal(blocks))
	g.Expect(work.PrefixBlocks("y" + text[1:])[2]).NotTo(Equal(blocks[2]))
}
