package quorum

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestCoresKeepTheirPromisesUnderFaults exposes a cluster to random faults: lost,
// duplicated, delayed and reordered messages, one-way and two-way partitions,
// members that freeze, crash and lose unsynced writes, and replaced disks. After
// each step the simulation checks election safety, log matching, leader
// completeness, durability of committed entries and linearizable reads. Once the
// faults stop, the cluster must commit again.
func TestCoresKeepTheirPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 3, 3, 5}).Draw(t, "size")
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), size)
		s.setBytesPerTick(rapid.SampledFrom([]int{0, 4, 64}).Draw(t, "bytes per tick"))
		s.bootstrap()
		s.settle(rapid.IntRange(0, 40).Draw(t, "quiet ticks"))
		member := rapid.IntRange(0, size-1)
		count := 0
		actions := map[string]func(*rapid.T){
			"tick all":  func(*rapid.T) { s.tickAll() },
			"tick":      func(t *rapid.T) { s.tick(member.Draw(t, "member")) },
			"race":      func(t *rapid.T) { s.tickUntilElection(member.Draw(t, "member")) },
			"deliver":   func(t *rapid.T) { s.deliverSome(t, 12) },
			"deliver 2": func(t *rapid.T) { s.deliverSome(t, 12) },
			"lose":      func(t *rapid.T) { s.dropMessage(t) },
			"repeat":    func(t *rapid.T) { s.duplicateMessage(t) },
			"sync":      func(t *rapid.T) { s.sync(member.Draw(t, "member"), rapid.IntRange(1, 4).Draw(t, "writes")) },
			"sync all":  func(*rapid.T) { s.syncAll() },
			"crash":     func(t *rapid.T) { s.crash(member.Draw(t, "member")) },
			"compact":   func(t *rapid.T) { s.compact(member.Draw(t, "member")) },
			"cut": func(t *rapid.T) {
				s.cutLinks[[2]int{member.Draw(t, "from"), member.Draw(t, "to")}] = true
			},
			"isolate": func(t *rapid.T) { s.isolate(member.Draw(t, "member")) },
			"join":    func(*rapid.T) { s.cutLinks = map[[2]int]bool{} },
			"propose": func(t *rapid.T) {
				count++
				s.propose(member.Draw(t, "member"), fmt.Sprintf("%0*d", rapid.IntRange(1, 80).Draw(t, "length"), count))
			},
			"read":     func(t *rapid.T) { s.read(member.Draw(t, "member")) },
			"transfer": func(t *rapid.T) { s.transfer(member.Draw(t, "from"), member.Draw(t, "to")) },
			"exchange disk": func(t *rapid.T) {
				if i := member.Draw(t, "member"); s.canLoseDisk(i) {
					s.replaceDisk(i, nil)
				}
			},
			"report loss": func(t *rapid.T) { s.reportLoss(member.Draw(t, "from"), member.Draw(t, "to")) },
			"repair":      func(*rapid.T) { s.repair() },
			"quiet":       func(t *rapid.T) { s.settle(rapid.IntRange(1, 30).Draw(t, "ticks")) },
		}
		t.Repeat(actions)

		g := NewWithT(t)
		s.settle(120)
		leader, ok := s.leader()
		g.Expect(ok).To(BeTrue(), "no leader after the faults stopped")
		s.propose(leader, "last")
		s.settle(20)
		last := s.members[leader].core.LastIndex()
		for _, m := range s.members {
			g.Expect(m.applied).To(Equal(last), "%s of %v", m.name, s.members[leader].core.Configuration())
		}
	})
}

func (s *simulation) tickAll() {
	for i := range s.members {
		s.tick(i)
	}
}

func (s *simulation) syncAll() {
	for i, m := range s.members {
		s.sync(i, len(m.unsynced))
	}
}

// tickUntilElection ticks one member often enough to exceed its election timeout.
func (s *simulation) tickUntilElection(i int) {
	for range 25 {
		s.tick(i)
	}
}

func (s *simulation) deliverSome(t *rapid.T, maxCount int) {
	for range rapid.IntRange(1, maxCount).Draw(t, "count") {
		if len(s.inFlight) == 0 {
			return
		}
		s.deliver(rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message"))
	}
}

func (s *simulation) dropMessage(t *rapid.T) {
	if len(s.inFlight) == 0 {
		return
	}
	k := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message")
	s.inFlight = append(s.inFlight[:k:k], s.inFlight[k+1:]...)
}

func (s *simulation) duplicateMessage(t *rapid.T) {
	if len(s.inFlight) == 0 {
		return
	}
	s.inFlight = append(s.inFlight, s.inFlight[rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message")])
}

func (s *simulation) isolate(i int) {
	for k := range s.members {
		if k != i {
			s.cutLinks[[2]int{i, k}] = true
			s.cutLinks[[2]int{k, i}] = true
		}
	}
}

func (s *simulation) transfer(from, to int) {
	if s.members[from].core.Transfer(s.members[to].core.config.Self) == nil {
		s.handleReady(from)
	}
}

// setBytesPerTick sets the rate of links that members count on, also those that start later.
func (s *simulation) setBytesPerTick(bytesPerTick int) {
	s.bytesPerTick = bytesPerTick
	for _, m := range s.members {
		m.core.config.BytesPerTick = bytesPerTick
	}
}

// reportLoss reports to a member that messages to another one may be lost, whether they are or not.
func (s *simulation) reportLoss(from, to int) {
	s.members[from].core.ReportLost(s.members[to].core.config.Self)
}
