package recovery_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// TestModelLosesPairAfterChangesOfLeader empties a disk, and two more when the first one's entry is back
// for as long as a loss counts. Meanwhile the leader hands over again and again, which is no
// loss. It guards against a lost disk that is still counted as a voter then: the three that are left
// of six are no majority, and there is no leader for good.
func TestModelLosesPairAfterChangesOfLeader(t *testing.T) {
	for seed := *modelFirstSeed; seed < *modelFirstSeed+(*modelSeeds+4)/5; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(t, seed, 6, 2)
				m.play(func() { m.losePairAfterHandovers(700*time.Millisecond + m.duration(250*time.Millisecond)) })
			})
		})
	}
}

// TestModelLosesPairWhileSuccessorLearns is the same with one leader, and a new disk that learns for
// longer than a loss counts. It guards against a lost disk that remains the sixth voter meanwhile,
// though the five others bear the loss of two without it.
func TestModelLosesPairWhileSuccessorLearns(t *testing.T) {
	for seed := *modelFirstSeed; seed < *modelFirstSeed+(*modelSeeds+4)/5; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const payload, logBytes = 1000, 100 << 10
				m := newModelWith(t, seed, 6, 2, payload, logBytes, false)
				m.play(func() {
					first := m.emptyFollower()
					m.starve(m.places[first].address)
					m.restart(first)
					time.Sleep(lossCounts)
					m.losePair(first)
				})
			})
		})
	}
}

// starvedMessage is the size above which an address that is starved gets no messages.
const starvedMessage = 400

func (m *model) starve(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starved = address
}

func (m *model) isStarved(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return address == m.starved
}

// emptyFollower empties the disk of an entry that doesn't lead, and returns its place.
func (m *model) emptyFollower() (place int) {
	leader, _ := m.leader()
	for m.places[place] == leader {
		place++
	}
	m.logf("%s emptied;", m.places[place].name)
	m.places[place].kill(false)
	m.places[place].folder = wal.NewMemoryFolder()
	return place
}

func (m *model) losePairAfterHandovers(interval time.Duration) {
	first := m.emptyFollower()
	m.restart(first)
	m.handOver(interval)
	m.losePair(first)
}

// losePair empties the disks of the leader and of another entry than the first one, and expects a
// leader before they return.
func (m *model) losePair(first int) {
	var pair []int
	leader, _ := m.leader()
	for i, e := range m.places {
		if i != first && e == leader {
			pair = append(pair, i)
		}
	}
	for i := range m.places {
		if i != first && len(pair) < 2 && m.places[i] != leader {
			pair = append(pair, i)
		}
	}
	for _, i := range pair {
		m.logf("%s emptied;", m.places[i].name)
		m.places[i].kill(false)
		m.places[i].folder = wal.NewMemoryFolder()
	}
	m.awaitLeader()
	m.starve("")
	for _, i := range pair {
		m.restart(i)
	}
	m.awaitComplete(completeAgain)
}

// lossCounts is how long an entry that is back still counts as lost.
const lossCounts = 4 * time.Second
