package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	pairEntries = flag.Int("soak.pair-entries", 8, "entries of TestPairsOfLosses; each is a process")
	pairSeeds   = flag.Uint64("soak.pair-seeds", 1, "number of seeds of TestPairsOfLosses")
	pairFirst   = flag.Uint64("soak.pair-first", 1, "first seed of TestPairsOfLosses")
	pairCount   = flag.Int("soak.pairs", 3, "pairs of losses in a run of TestPairsOfLosses")
)

// Bounds of the larger deployments.
const (
	pairDisks   = 6
	catchUpTime = 6 * time.Second // after its return an entry counts as lost for so long
	ackTime     = 5 * time.Second // of a change while no entry is lost
	readTime    = 15 * time.Second
)

// pairsRun is a fleet that loses two of its six disks at once, again and again.
type pairsRun struct {
	*soak
	successors int
}

// TestPairsOfLosses guards against a quorum that is lost for good, and an acknowledged
// configuration with it, after losses that the settings tolerate: two of six entries with a disk
// are killed, frozen, wiped or replaced at once, or the second during the repair of the first.
func TestPairsOfLosses(t *testing.T) {
	binary := build(t)
	for seed := *pairFirst; seed < *pairFirst+*pairSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			r := &pairsRun{soak: &soak{t: t, kind: "pairs", seed: seed, stop: ctx, fleet: newFleet(t, binary, seed, shape{entries: *pairEntries, disks: pairDisks, tolerated: 2})}}
			r.random = r.newRandom("choices")
			r.wait.Go(func() { r.fleet.watchMemory(ctx) })
			if !eventually(readTime, func() bool { return r.putConfiguration(1) }) {
				t.Fatal("no configuration was accepted")
			}
			r.wait.Go(r.runOperator)
			r.wait.Go(r.runReader)
			random := r.newRandom("pairs")
			for pair := 1; pair <= *pairCount && !t.Failed(); pair++ {
				r.losePair(random)
				back := time.Now()
				time.Sleep(catchUpTime)
				r.expectChange(pair)
				r.expectVoters(back, catchUpTime, fmt.Sprintf("after pair %d", pair))
			}
			cancel()
			r.wait.Wait()
			r.expectReads()
			for _, v := range r.violations {
				t.Error(v)
			}
			t.Logf("configuration %d acknowledged of %d sent", r.ackedVersion, r.sentVersion)
			if t.Failed() {
				r.saveLog()
			}
		})
	}
}

// losePair loses two entries with a disk and returns once both are back.
func (r *pairsRun) losePair(random *rand.Rand) {
	first := random.IntN(pairDisks)
	second := (first + 1 + random.IntN(pairDisks-1)) % pairDisks
	var wait sync.WaitGroup
	for _, place := range []int{first, second} {
		kind := []string{"kill", "pause", "wipe", "wipe", "replace", "replace"}[random.IntN(6)]
		if place == first && random.IntN(2) == 0 {
			kind = "replace" // most often beside a disk that comes back empty, as voters add up by that
		}
		down := between(random, 100*time.Millisecond, 3*time.Second)
		later := time.Duration(0)
		if place == second && random.IntN(2) == 0 {
			later = between(random, 0, 4*time.Second)
		}
		r.t.Logf("%s of %s after %v, back %v later", kind, r.fleet.processes[place].name, later.Round(time.Millisecond), down.Round(time.Millisecond))
		wait.Go(func() {
			time.Sleep(later)
			r.lose(place, kind, down)
		})
	}
	wait.Wait()
}

func (r *pairsRun) lose(place int, kind string, down time.Duration) {
	r.mu.Lock()
	p := r.fleet.processes[place]
	r.mu.Unlock()
	p.setFaulted(true)
	if kind == "pause" {
		p.signal(syscall.SIGSTOP)
		time.Sleep(down)
		p.signal(syscall.SIGCONT)
		return
	}
	p.kill()
	if kind == "wipe" {
		if err := os.RemoveAll(p.dataDir); err != nil {
			r.reportViolation("%v", err)
		}
	}
	time.Sleep(down)
	if kind == "replace" {
		r.mu.Lock()
		r.fleet.mu.Lock()
		p = r.fleet.newProcess(r.seed, len(r.fleet.processes)+r.successors, p.domain, true)
		p.setFaulted(true)
		r.successors++
		r.fleet.processes[place] = p
		r.fleet.mu.Unlock()
		r.mu.Unlock()
	}
	r.fleet.start(p, false)
}

// expectChange expects that a change that is sent from now on is acknowledged in time.
func (r *pairsRun) expectChange(pair int) {
	r.mu.Lock()
	sent := r.sentVersion
	r.mu.Unlock()
	if !eventually(ackTime, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.ackedVersion > sent
	}) {
		r.t.Errorf("no change was acknowledged within %v, %v after pair %d was back", ackTime, catchUpTime, pair)
	}
}

// expectReads expects that each entry returns the last configuration.
func (r *pairsRun) expectReads() {
	for _, p := range r.fleet.processes {
		var status int
		if !eventually(readTime, func() bool {
			status = r.control(p, http.MethodGet, wire.Get, "").status
			version, ok := r.read(p)
			return ok && version >= r.ackedVersion
		}) {
			r.t.Errorf("%s doesn't return configuration %d within %v, last status %d", p.name, r.ackedVersion, readTime, status)
			return
		}
	}
}
