package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/retry"
)

func TestRetriesNeverMultiplyTheLoad(t *testing.T) {
	g := NewWithT(t)
	b := retry.NewBudgets()
	spent := map[string]int{}
	for i := range 10_000 {
		account := []string{"a", "b", "c"}[i%3]
		b.Earn(account)
		for range 3 { // every attempt fails
			if b.Spend(account) {
				spent[account]++
			}
		}
	}
	total := spent["a"] + spent["b"] + spent["c"]
	g.Expect(total).To(BeNumerically("<=", 10_000*retry.FleetRatio+retry.FleetBurst))
}

func TestOneAccountCannotExhaustFleetBudget(t *testing.T) {
	g := NewWithT(t)
	b := retry.NewBudgets()
	for range 10 * int(retry.FleetBurst) {
		b.Spend("failing")
	}
	g.Expect(b.Spend("other")).To(BeTrue())
}

func TestDelayGrowsAndIsJittered(t *testing.T) {
	g := NewWithT(t)
	g.Expect(retry.Delay(1, 7)).To(BeZero())
	seen := map[time.Duration]bool{}
	for random := range uint64(50) {
		d := retry.Delay(3, random)
		g.Expect(d).To(BeNumerically("<", 80*time.Millisecond))
		seen[d] = true
	}
	g.Expect(len(seen)).To(BeNumerically(">", 40))
}
