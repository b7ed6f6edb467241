package quorum

import (
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestLeaderStaysWhileLargeEntryArrives guards against a leader that steps down again and again while
// the voter that it needs for a majority receives a large entry that is committed already: each
// leader sends it from its start, and no change is ever committed.
func TestLeaderStaysWhileLargeEntryArrives(t *testing.T) {
	const bytesPerTick, ticks = 10, 120
	g, s, leader := newSettledCluster(t)
	s.setBytesPerTick(bytesPerTick)
	behind, lost := (leader+1)%3, (leader+2)%3
	s.isolate(behind)
	s.propose(leader, strings.Repeat("x", bytesPerTick*ticks))
	s.deliverAll(true)
	s.cutLinks = map[[2]int]bool{}
	s.isolate(lost)
	s.propose(leader, "waits for the voter that is behind")
	core := s.members[leader].core
	core.ReportLost(s.members[behind].core.config.Self) // what was sent before
	term := core.Term()
	arrivesAt := map[int][]inFlightMessage{}
	for tick := range 4 * ticks {
		s.tickAll()
		for range 10 {
			s.inFlight = slices.DeleteFunc(s.inFlight, func(packet inFlightMessage) bool {
				isLarge := len(packet.data) > bytesPerTick*ticks
				if isLarge {
					arrivesAt[tick+ticks] = append(arrivesAt[tick+ticks], packet)
				}
				return isLarge
			})
			for n := len(s.inFlight); n > 0; n-- {
				s.deliver(0)
			}
			s.syncAll()
		}
		for _, packet := range arrivesAt[tick] {
			s.inFlight = append(s.inFlight, packet)
			s.deliver(len(s.inFlight) - 1)
		}
	}
	g.Expect(core.Commit()).To(Equal(core.LastIndex()))
	g.Expect(core.Term()).To(Equal(term), "the leader stepped down")
}
