package ledger_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/ledger"
	"github.com/jacinthplank/jacinthplank/outcome"
)

const (
	total = 100 // memory blocks
	grace = 10 * time.Second
)

var start = time.Unix(1_000_000, 0)

func newLedger() *ledger.Ledger {
	return ledger.New(ledger.Config{Blocks: total, OrphanGrace: grace, FreedKeyRetention: time.Hour})
}

func key(i int) engine.Key { return engine.Key{Request: fmt.Sprint("r", i), Attempt: 1} }

func TestReserveIsIdempotentAndRefusedAfterRelease(t *testing.T) {
	g := NewWithT(t)
	l := newLedger()
	g.Expect(l.Reserve(key(1), 60, start.Add(time.Minute))).To(Succeed())
	g.Expect(l.Reserve(key(1), 60, start.Add(time.Minute))).To(Succeed())
	g.Expect(l.Free()).To(Equal(40))
	refused := l.Reserve(key(2), 41, start.Add(time.Minute))
	g.Expect(outcome.From(refused).Code).To(Equal(outcome.CodeMemoryReserved))
	g.Expect(outcome.StateOf(refused)).To(Equal(outcome.NotRun))

	g.Expect(l.Commit(key(1))).To(BeTrue())
	g.Expect(l.Release(key(1), start)).To(BeTrue())
	g.Expect(l.Free()).To(Equal(40)) // until the engine confirms
	g.Expect(l.Commit(key(1))).To(BeFalse())
	l.Confirm(key(1), start)
	l.Confirm(key(1), start)
	g.Expect(l.Release(key(1), start)).To(BeFalse())
	g.Expect(l.Free()).To(Equal(total))
	g.Expect(l.Reserve(key(1), 60, start.Add(time.Minute))).NotTo(Succeed())
}

func TestReleaseBeforeReserveBlocksKey(t *testing.T) {
	g := NewWithT(t)
	l := newLedger()
	g.Expect(l.Release(key(1), start)).To(BeFalse())
	g.Expect(l.Reserve(key(1), 10, start.Add(time.Minute))).NotTo(Succeed())
	l.Expire(start.Add(time.Hour))
	g.Expect(l.Reserve(key(1), 10, start.Add(2*time.Hour))).To(Succeed())
}

func TestOrphansCountImmediatelyAndAreFreedAfterGracePeriod(t *testing.T) {
	g := NewWithT(t)
	l := newLedger() // as after a restart, while the engine still holds key 7
	held := []engine.Holding{{Key: key(7), Blocks: 80}}
	g.Expect(l.Reconcile(nil, held, start)).To(BeEmpty())
	g.Expect(l.Free()).To(Equal(20))
	g.Expect(l.Reserve(key(7), 10, start.Add(time.Minute))).NotTo(Succeed())
	g.Expect(l.Reconcile(nil, held, start.Add(grace))).To(ConsistOf(key(7)))
	l.Confirm(key(7), start.Add(grace))
	g.Expect(l.Free()).To(Equal(total))
}

func TestReconcileDetectsLostCancel(t *testing.T) {
	g := NewWithT(t)
	l := newLedger()
	g.Expect(l.Reserve(key(1), 30, start.Add(time.Minute))).To(Succeed())
	l.Commit(key(1))
	l.Release(key(1), start)
	l.Reconcile(l.Releasing(), []engine.Holding{{Key: key(1), Blocks: 30}}, start)
	g.Expect(l.Used()).To(Equal(30))
	l.Reconcile(nil, nil, start) // queried before the release, so nothing may be freed
	g.Expect(l.Used()).To(Equal(30))
	l.Reconcile(l.Releasing(), nil, start)
	g.Expect(l.Used()).To(BeZero())
}

// TestMemoryIsAccountedFor runs random operations on a ledger and a model of the
// engine, with lost calls and restarts, and checks that blocks are neither
// over-committed nor leaked.
func TestMemoryIsAccountedFor(t *testing.T) {
	if err := flag.Set("rapid.steps", "200"); err != nil { // the default of 30 steps is too short to over-commit
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		now := start
		held := make(map[engine.Key]int) // blocks held by the engine
		listHoldings := func() []engine.Holding {
			var all []engine.Holding
			for k, blocks := range held {
				all = append(all, engine.Holding{Key: k, Blocks: blocks})
			}
			return all
		}
		reconcile := func() {
			for _, k := range l.Reconcile(l.Releasing(), listHoldings(), now) {
				delete(held, k)
				l.Confirm(k, now)
			}
		}
		drawKey := func(t *rapid.T) engine.Key { return key(rapid.IntRange(0, 9).Draw(t, "key")) }
		// drawLeasedKey draws a key that holds a lease, or key 0.
		drawLeasedKey := func(t *rapid.T) engine.Key {
			var keys []engine.Key
			for i := range 10 {
				if _, ok := l.Lease(key(i)); ok {
					keys = append(keys, key(i))
				}
			}
			return rapid.SampledFrom(append(keys, key(0))).Draw(t, "leased")
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				_ = l.Reserve(drawKey(t), rapid.SampledFrom([]int{30, 50, 70}).Draw(t, "blocks"), now.Add(time.Minute))
			},
			"start": func(t *rapid.T) {
				k := drawLeasedKey(t)
				if l.Commit(k) {
					lease, _ := l.Lease(k)
					held[k] = lease.Blocks
				}
			},
			"cancel": func(t *rapid.T) {
				k := drawLeasedKey(t)
				if l.Release(k, now) && rapid.Bool().Draw(t, "arrives") {
					delete(held, k)
					if rapid.Bool().Draw(t, "answered") {
						l.Confirm(k, now)
					}
				}
			},
			"finish": func(t *rapid.T) {
				k := drawLeasedKey(t)
				if lease, ok := l.Lease(k); ok && lease.State != ledger.Reserved {
					delete(held, k)
					l.Confirm(k, now)
				}
			},
			"late confirm": func(t *rapid.T) {
				k := drawKey(t)
				if held[k] == 0 {
					if lease, ok := l.Lease(k); !ok || lease.State == ledger.Releasing {
						l.Confirm(k, now)
					}
				}
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
				l.Expire(now)
			},
			"reconcile": func(*rapid.T) { reconcile() },
			"fault": func(t *rapid.T) {
				switch rapid.IntRange(0, 9).Draw(t, "fault") {
				case 1:
					l = newLedger()
					reconcile()
				case 2:
					clear(held)
				}
			},
			"": func(t *rapid.T) {
				sum := 0
				for _, blocks := range held {
					sum += blocks
				}
				if sum > total || l.Used() < 0 || l.Orphaned() < 0 || l.Used() > total {
					t.Fatalf("engine holds %d blocks, leases %d, orphans %d, of %d in total", sum, l.Used(), l.Orphaned(), total)
				}
			},
		})
		now = now.Add(time.Hour)
		l.Expire(now)
		for range 3 {
			reconcile()
			now = now.Add(grace)
		}
		if l.Free() != total || len(held) != 0 {
			t.Fatalf("%d of %d blocks free at the end, engine still holds %v", l.Free(), total, held)
		}
	})
}
