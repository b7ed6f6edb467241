package recovery_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestModelLosesPairAfterReplacement removes an entry for good and adds another one under a new name,
// while the leader hands over every 1.2 to 1.9 s, which is no loss, and empties two more disks when
// the new one has had the time in which a loss counts. It guards against a removed entry that is
// still counted as a voter then, as each new leader waits for it to be silent.
func TestModelLosesPairAfterReplacement(t *testing.T) {
	testReplacement(t, 1200*time.Millisecond, 700*time.Millisecond)
}

// TestModelLosesPairAfterReplacementAndFastHandOvers is the same with a hand-over every 0.7 to 0.95 s.
func TestModelLosesPairAfterReplacementAndFastHandOvers(t *testing.T) {
	testReplacement(t, 700*time.Millisecond, 250*time.Millisecond)
}

func testReplacement(t *testing.T, interval, spread time.Duration) {
	for seed := *modelFirstSeed; seed < *modelFirstSeed+(*modelSeeds+4)/5; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(t, seed, 6, 2)
				m.play(func() {
					time.Sleep(2 * syncInterval) // all entries know each other
					place := m.replaceFollower()
					m.handOver(interval + m.duration(spread))
					m.losePair(place)
				})
			})
		})
	}
}

// replaceFollower removes an entry that doesn't lead, and starts one under another name in its place.
func (m *model) replaceFollower() (place int) {
	leader, _ := m.leader()
	for m.places[place] == leader {
		place++
	}
	m.places[place].kill(false)
	successor := m.newEntry()
	m.logf("%s replaced by %s;", m.places[place].name, successor.name)
	m.mu.Lock()
	m.places[place] = successor
	m.mu.Unlock()
	successor.start()
	return place
}

// handOver lets the leader hand over again and again for as long as a loss counts.
func (m *model) handOver(interval time.Duration) {
	m.logf("handed over each %v;", interval)
	for end := time.Now().Add(lossCounts); time.Now().Before(end); time.Sleep(interval) {
		if leader, _ := m.leader(); leader != nil {
			leader.currentNode().TransferLeadership()
		}
	}
}
