package limits_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/limits"
	"github.com/jacinthplank/jacinthplank/outcome"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

var acme = &fleet.Account{Name: "acme", ShortTokenRate: 1000, LongTokenRate: 10_000}

// fakeLeaser grants every request in full, and fails while disconnected.
type fakeLeaser struct {
	disconnected bool
	granted      int
}

func (l *fakeLeaser) Lease(_ context.Context, _ string, _ limits.Kind, tokens int) (int, time.Time, error) {
	if l.disconnected {
		return 0, time.Time{}, errors.New("cut off")
	}
	l.granted += tokens
	return tokens, time.Now().Add(10 * time.Second), nil
}

// spendRepeatedly sends n requests, one every 100 ms, each for 100 ms worth of the
// account's rate for short work. It returns how many passed.
func spendRepeatedly(l *limits.Limiter, n int) int {
	passed := 0
	for range n {
		time.Sleep(100 * time.Millisecond)
		if l.Spend(time.Now(), acme, limits.Short, 100) == nil {
			passed++
		}
	}
	return passed
}

func TestLeasesRemainValidWhileDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		control := &fakeLeaser{}
		l := limits.New(control)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = l.Serve(ctx) }()

		g.Expect(spendRepeatedly(l, 100)).To(Equal(100))
		control.disconnected = true
		g.Expect(spendRepeatedly(l, 5)).To(Equal(5), "leases granted before the disconnection")
		spendRepeatedly(l, 100) // uses up the leases
		g.Expect(spendRepeatedly(l, 200)).To(BeNumerically("~", 50, 10), "a quarter of the rate while disconnected")
		control.disconnected = false
		time.Sleep(2 * time.Second)
		spendRepeatedly(l, 1)
		g.Expect(spendRepeatedly(l, 20)).To(BeNumerically(">=", 19))
	})
}

func TestShortAndLongWorkHaveSeparateBudgets(t *testing.T) {
	g := NewWithT(t)
	l := limits.New(nil)
	g.Expect(l.Spend(start, acme, limits.Long, 600_000)).To(Succeed())
	err := l.Spend(start, acme, limits.Long, 600_000)
	g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeAccountLimit))
	g.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
	g.Expect(outcome.From(err).RetryAfter).To(BeNumerically(">", 50*time.Second))
	g.Expect(l.Spend(start, acme, limits.Short, 1000)).To(Succeed())

	g.Expect(l.Spend(start.Add(30*time.Second), acme, limits.Long, 1)).NotTo(Succeed(), "half of the debt is still unpaid")
	g.Expect(l.Spend(start.Add(62*time.Second), acme, limits.Long, 1)).To(Succeed())
}

func TestLargestAccountIsLimitedFirst(t *testing.T) {
	g := NewWithT(t)
	l := limits.New(nil)
	equalShare := func(string) float64 { return 1 }
	admitted := map[string]int{}
	now := start
	for i := range 4000 {
		account := "large"
		if i%10 == 0 {
			account = "small"
		}
		now = now.Add(5 * time.Millisecond)
		pressure := limits.Pressure{Wait: 800 * time.Millisecond, MaxWait: time.Second}
		if l.Admit(now, account, equalShare, limits.Short, 1000, pressure) == nil {
			admitted[account]++
		}
	}
	g.Expect(admitted["small"]).To(Equal(400))
	g.Expect(admitted["large"]).To(BeNumerically("<", 2500))
	g.Expect(admitted["large"]).To(BeNumerically(">=", 400))
}

func TestRefusalSetsRetryAfter(t *testing.T) {
	g := NewWithT(t)
	l := limits.New(nil)
	equalShare := func(string) float64 { return 1 }
	err := l.Admit(start, "a", equalShare, limits.Long, 1000, limits.Pressure{Wait: time.Minute, MaxWait: 20 * time.Second})
	g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeOverloaded))
	g.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
	g.Expect(outcome.From(err).RetryAfter).To(Equal(50 * time.Second))
}
