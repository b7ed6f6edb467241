package recovery_test

import (
	"slices"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// killAll ends processes at the same moment. Those that are lost lose their disks, the others
// lose power.
func (m *model) killAll(entries, lost []*entry) {
	var ended sync.WaitGroup
	for _, e := range entries {
		ended.Go(func() { e.kill(!slices.Contains(lost, e)) })
	}
	ended.Wait()
	for _, e := range lost {
		e.folder = wal.NewMemoryFolder()
	}
}

// worstLoss returns as many entries as may be lost at once: the leader, and voters rather than
// learners.
func (m *model) worstLoss() []*entry {
	leader, s := m.leader()
	var lost []*entry
	if leader != nil {
		lost = append(lost, leader)
	}
	order := m.chosen(len(m.places))
	m.mu.Lock()
	m.random.Shuffle(len(order), func(i, k int) { order[i], order[k] = order[k], order[i] })
	m.mu.Unlock()
	isVoter := func(e *entry) bool {
		for _, v := range s.Voters {
			if v.Name == e.name {
				return true
			}
		}
		return false
	}
	for _, votes := range []bool{true, false} {
		for _, e := range order {
			if len(lost) < m.tolerated && isVoter(e) == votes && !slices.Contains(lost, e) {
				lost = append(lost, e)
			}
		}
	}
	return lost
}

// loseWorst empties the disks of the leader and of other voters, as many as may be lost at once,
// while all others lose power, and expects a leader before the lost ones return.
func (m *model) loseWorst() {
	lost := m.worstLoss()
	for _, e := range lost {
		m.logf("%s emptied;", e.name)
	}
	m.killAll(slices.Clone(m.places), lost)
	var places []int
	for i, e := range m.places {
		if slices.Contains(lost, e) {
			places = append(places, i)
			continue
		}
		go func() {
			time.Sleep(m.duration(time.Second))
			m.restart(i)
		}()
	}
	m.awaitLeader()
	for _, i := range places {
		m.restart(i)
	}
}

// awaitLeader waits for a leader, at most recoveryBound after all others than those lost are back.
func (m *model) awaitLeader() {
	end := time.Now().Add(recoveryBound + time.Second)
	for {
		if leader, _ := m.leader(); leader != nil {
			return
		}
		if time.Now().After(end) {
			m.fail("no leader without the lost disks: %s", m.configurations())
		}
		time.Sleep(10 * time.Millisecond)
	}
}
