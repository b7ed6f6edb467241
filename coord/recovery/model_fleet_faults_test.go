package recovery_test

import (
	"slices"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// fleetFaults disturb all entries at once.
var fleetFaults = []string{
	"slow links", "slow disks", "split in halves", "worst loss, power loss of all others", "wipe of two, power loss of all others",
	"cut over a change of members", "split in halves, lost disks", "two dark", "planned stops",
}

// disturbFleet plays one fault of the whole fleet.
func (m *model) disturbFleet() (allowed time.Duration) {
	fault := fleetFaults[m.intN(len(fleetFaults))]
	if m.tolerated < 2 {
		fault = fleetFaults[m.intN(4)] // the others lose two disks
	}
	m.logf("%s;", fault)
	switch fault {
	case "slow links":
		m.slowDown(slowness{link: m.duration(500 * time.Millisecond)})
	case "slow disks":
		m.slowDown(slowness{disk: m.duration(500 * time.Millisecond)})
	case "split in halves":
		half := m.chosen(len(m.places) / 2)
		m.cutOff(half...)
		time.Sleep(m.duration(12 * time.Second))
		m.heal(half...)
	case "wipe of two, power loss of all others":
		m.wipeTwo()
	case "worst loss, power loss of all others":
		m.loseWorst()
	case "cut over a change of members":
		m.cutOverChange()
	case "split in halves, lost disks":
		m.splitAndLose()
	case "two dark":
		m.darken()
	case "planned stops":
		m.stopInTurn()
	}
	return completeAgain
}

// chosen returns some random entries.
func (m *model) chosen(count int) []*entry {
	left := slices.Clone(m.places)
	for len(left) > count {
		i := m.intN(len(left))
		left = slices.Delete(left, i, i+1)
	}
	return left
}

// slowDown slows the fleet for some time, in which one entry may be killed.
func (m *model) slowDown(s slowness) {
	m.slow(s)
	if m.intN(2) == 0 {
		time.Sleep(m.duration(time.Second))
		place := m.intN(len(m.places))
		m.logf("kill of %s;", m.places[place].name)
		m.places[place].kill(false)
		time.Sleep(m.duration(3 * time.Second))
		m.restart(place).slowDisk(s.disk)
	}
	time.Sleep(m.duration(6 * time.Second))
	m.slow(slowness{})
}

// wipeTwo empties two disks while all other entries lose power at the same moment.
func (m *model) wipeTwo() {
	lost := m.chosen(2)
	for _, e := range slices.Clone(m.places) {
		e.kill(!slices.Contains(lost, e))
	}
	for _, e := range lost {
		e.folder = wal.NewMemoryFolder()
	}
	time.Sleep(m.duration(3 * time.Second))
	for i := range m.places {
		m.restart(i)
	}
}

// cutOverChange cuts an entry off while the disk of another one is replaced, and empties two
// further disks as the cut heals. A last one misses the entries just before that.
func (m *model) cutOverChange() {
	order := m.chosen(len(m.places))
	m.mu.Lock()
	m.random.Shuffle(len(order), func(i, k int) { order[i], order[k] = order[k], order[i] })
	m.mu.Unlock()
	away, replaced, lost, behind := order[0], order[1], order[2:4], order[4]
	m.cutOff(away)
	replaced.kill(false)
	replaced.folder = wal.NewMemoryFolder()
	m.restart(slices.Index(m.places, replaced))
	time.Sleep(completeAgain + m.duration(2*time.Second))
	m.cutOff(behind)
	time.Sleep(m.duration(time.Second))
	for _, e := range lost {
		e.kill(false)
		e.folder = wal.NewMemoryFolder()
	}
	m.heal(away, behind)
	time.Sleep(m.duration(3 * time.Second))
	for _, e := range lost {
		m.restart(slices.Index(m.places, e))
	}
}

// placesOf returns the places of entries, which may be restarted in parallel afterwards.
func (m *model) placesOf(entries []*entry) []int {
	places := make([]int, len(entries))
	for i, e := range entries {
		places[i] = slices.Index(m.places, e)
	}
	return places
}

// splitAndLose splits the fleet in halves and empties two disks at any moment of that. They are
// back before or after its end.
func (m *model) splitAndLose() {
	half := m.chosen(len(m.places) / 2)
	lost := m.chosen(2)
	m.cutOff(half...)
	time.Sleep(m.duration(8 * time.Second))
	for _, e := range lost {
		e.kill(m.intN(2) == 0)
		e.folder = wal.NewMemoryFolder()
		m.logf("%s emptied;", e.name)
		time.Sleep(m.duration(time.Second))
	}
	healed := m.duration(6 * time.Second)
	places := m.placesOf(lost)
	var back sync.WaitGroup
	for i, e := range lost {
		later := m.duration(6 * time.Second)
		back.Go(func() {
			time.Sleep(later)
			next := m.restart(places[i])
			if later < healed {
				m.mu.Lock()
				next.side = e.side
				m.mu.Unlock()
			}
		})
	}
	time.Sleep(healed)
	m.heal(m.running()...)
	back.Wait()
}

// darken lets two entries with whole disks lose power or all links for longer than it takes to
// replace them.
func (m *model) darken() {
	dark := m.chosen(2)
	losesPower := m.intN(2) == 0
	for _, e := range dark {
		m.logf("%s dark, without power %v;", e.name, losesPower)
		if losesPower {
			e.kill(true)
		} else {
			m.cutOff(e)
		}
	}
	time.Sleep(m.duration(7 * time.Second))
	for _, e := range dark {
		if losesPower {
			m.restart(slices.Index(m.places, e))
		} else {
			m.heal(e)
		}
	}
}

// stopInTurn stops three entries in turn, as an operator does who restarts a fleet. Another one
// loses power meanwhile.
func (m *model) stopInTurn() {
	order := m.chosen(4)
	places := m.placesOf(order)
	var ended sync.WaitGroup
	ended.Go(func() {
		time.Sleep(m.duration(6 * time.Second))
		order[3].kill(true)
		time.Sleep(m.duration(3 * time.Second))
		m.restart(places[3])
	})
	for i, e := range order[:3] {
		e.leave()
		time.Sleep(m.duration(time.Second))
		m.restart(places[i])
		time.Sleep(2 * time.Second)
	}
	ended.Wait()
}
