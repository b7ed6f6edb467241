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

func (m *model) losePairAfterHandovers(interval time.Duration) {
	leader, _ := m.leader()
	first := 0
	for m.places[first] == leader {
		first++
	}
	m.logf("%s emptied, handed over each %v;", m.places[first].name, interval)
	m.places[first].kill(false)
	m.places[first].folder = wal.NewMemoryFolder()
	m.restart(first)
	for end := time.Now().Add(lossCounts); time.Now().Before(end); time.Sleep(interval) {
		if leader, _ := m.leader(); leader != nil {
			leader.currentNode().TransferLeadership()
		}
	}
	var pair []int
	leader, _ = m.leader()
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
	for _, i := range pair {
		m.restart(i)
	}
	m.awaitComplete(completeAgain)
}

// lossCounts is how long an entry that is back still counts as lost.
const lossCounts = 4 * time.Second
