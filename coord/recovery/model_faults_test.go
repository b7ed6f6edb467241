package recovery_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

var (
	modelSeeds     = flag.Uint64("recovery.seeds", 25, "number of seeds of TestModel")
	modelFirstSeed = flag.Uint64("recovery.first", 1, "first seed of TestModel")
	modelFaults    = flag.Int("recovery.faults", 6, "faults in one run of TestModel")
)

const (
	// completeAgain is how long after the last return no voter may be gone and all entries have
	// to be members with the disks that they have then: others may be lost after that.
	completeAgain = 4 * time.Second
	// formed is how long a quorum takes to form when all entries run: the founder's wait for
	// promises, and then as after a loss.
	formed = 2*time.Second + 2*completeAgain
	// refusalTime is what a damaged disk takes longer: two refused starts.
	refusalTime = 2 * restartBackoff
)

var errDead = errors.New("the process has ended")

// kill ends a process at once. With power, each change of its disk that was not synced may be
// lost, or all of them are.
func (e *entry) kill(power bool) {
	m := e.model
	m.mu.Lock()
	if m.entries[e.address] == e {
		delete(m.entries, e.address)
	}
	m.mu.Unlock()
	e.folder.SetFault(func(string, string) error { return errDead })
	e.cancel()
	<-e.done
	e.folder.SetFault(nil)
	switch {
	case !power:
	case m.intN(3) == 0:
		never := func() bool { return false }
		e.folder.PowerLoss(func(int) (int, int) { return 0, 0 }, never, never)
	default:
		e.folder.PowerLoss(func(size int) (int, int) {
			from := m.intN(size + 1)
			switch m.intN(3) {
			case 0:
				return 0, size
			case 1:
				return 0, 0
			}
			return from, from + m.intN(size+1-from)
		}, m.isChosen, m.isChosen)
	}
}

func (m *model) isChosen() bool { return m.intN(2) == 0 }

// killAtOperation kills a process in the middle of its use of the disk, some operations from
// now, and loses power.
func (e *entry) killAtOperation(operations int) {
	reached := make(chan struct{})
	var used atomic.Int64
	e.folder.SetFault(func(string, string) error {
		n := int(used.Add(1))
		if n <= operations {
			return nil
		}
		if n == operations+1 {
			e.model.mu.Lock()
			delete(e.model.entries, e.address)
			e.model.mu.Unlock()
			close(reached)
		}
		return errDead
	})
	select {
	case <-reached:
	case <-time.After(3 * time.Second):
	}
	e.kill(true)
}

// rot damages synced data of the newest log.
func (e *entry) rot() {
	names, err := e.folder.List()
	if err != nil {
		panic(err)
	}
	for _, name := range slices.Backward(names) {
		if wal.IsLog(name) && !strings.HasSuffix(name, ".tmp") {
			data, err := e.folder.ReadFile(name)
			if err != nil {
				panic(err)
			}
			e.folder.Corrupt(name, len(data)/3)
			return
		}
	}
}

// disturbDisk makes a disk full, slow or silent for some time.
func (e *entry) disturbDisk(how string, d time.Duration) {
	end := time.Now().Add(d)
	e.folder.SetFault(func(operation, _ string) error {
		switch {
		case time.Now().After(end):
		case how == "full" && operation == "create":
			return syscall.ENOSPC
		case how == "full" && operation == "write":
			return wal.ErrPartialWrite
		case how == "slow":
			time.Sleep(100 * time.Millisecond)
		case how == "silent":
			time.Sleep(time.Until(end))
		}
		return nil
	})
	time.Sleep(d)
	e.folder.SetFault(nil)
}

// bringBack starts a process again, and kills it up to twice more at random moments of its
// return, with or without the loss of its disk.
func (m *model) bringBack(place int, mayWipe bool) {
	for m.intN(3) == 0 {
		e := m.restart(place)
		time.Sleep(m.duration(2 * time.Second))
		how := []string{"killed", "without power", "wiped", "killed at an operation"}[m.intN(4)]
		switch {
		case how == "killed at an operation":
			e.killAtOperation(m.intN(30))
		case how == "wiped" && mayWipe:
			e.kill(false)
			e.folder = wal.NewMemoryFolder()
		default:
			e.kill(how == "without power")
		}
		m.logf("%s %s again;", e.name, how)
		time.Sleep(m.duration(4 * time.Second)) // long enough for a learner to be removed
	}
	m.restart(place)
}

// loseAtFirstStart loses an entry while the quorum forms, other than its founder: that one's
// loss is not overcome.
func (m *model) loseAtFirstStart() {
	time.Sleep(m.duration(4 * time.Second))
	place := 1 + m.intN(len(m.places)-1)
	e := m.places[place]
	how := []string{"kill", "power loss", "wipe", "replacement"}[m.intN(4)]
	m.logf("%s of %s at the first start;", how, e.name)
	e.kill(how == "power loss")
	switch how {
	case "wipe":
		e.folder = wal.NewMemoryFolder()
	case "replacement":
		successor := m.newEntry()
		m.mu.Lock()
		m.places[place] = successor
		m.mu.Unlock()
		time.Sleep(m.duration(3 * time.Second))
		successor.start()
		return
	}
	time.Sleep(m.duration(3 * time.Second))
	m.bringBack(place, how == "wipe")
}

func (m *model) restart(place int) *entry {
	m.mu.Lock()
	e := m.places[place].again()
	m.places[place] = e
	m.mu.Unlock()
	e.start()
	return e
}

// disturb plays as many faults as the fleet tolerates at once, two at most, or one of the whole
// fleet, up to the moment at which all run again. The second fault comes during the repair of
// the first.
func (m *model) disturb() (allowed time.Duration) {
	if m.intN(6) == 0 {
		return m.disturbFleet()
	}
	if m.tolerated >= 2 && m.intN(3) > 0 {
		return m.disturbPair()
	}
	if m.intN(len(entryFaults)+1) > 0 {
		return m.disturbEntry(m.intN(len(m.places)))
	}
	m.logf("power loss of all;")
	for _, e := range m.places {
		e.kill(true)
	}
	time.Sleep(m.duration(3 * time.Second))
	for i := range m.places {
		m.restart(i)
	}
	return completeAgain
}

func (m *model) disturbPair() (allowed time.Duration) {
	first := m.intN(len(m.places))
	second := (first + 1 + m.intN(len(m.places)-1)) % len(m.places)
	allowedFirst := make(chan time.Duration)
	go func() { allowedFirst <- m.disturbEntry(first) }()
	if m.intN(2) == 0 {
		time.Sleep(m.duration(completeAgain))
	}
	allowed = m.disturbEntry(second)
	return max(allowed, <-allowedFirst)
}

// disturbEntry plays one fault of one entry.
func (m *model) disturbEntry(place int) (allowed time.Duration) {
	m.mu.Lock()
	e := m.places[place]
	m.mu.Unlock()
	fault := entryFaults[m.intN(len(entryFaults))]
	m.logf("%s of %s;", fault, e.name)
	down := m.duration(3 * time.Second)
	switch fault {
	case "kill", "power loss":
		e.kill(fault == "power loss")
		time.Sleep(down)
		m.bringBack(place, false)
	case "planned stop":
		e.leave()
		time.Sleep(down / 3)
		m.bringBack(place, false)
	case "planned stop and wipe":
		e.leave()
		e.folder = wal.NewMemoryFolder()
		time.Sleep(down)
		m.bringBack(place, true)
	case "power loss at an operation":
		e.killAtOperation(m.intN(60))
		time.Sleep(down)
		m.bringBack(place, false)
	case "wipe":
		e.kill(false)
		e.folder = wal.NewMemoryFolder()
		time.Sleep(down)
		m.bringBack(place, true)
	case "rot":
		e.kill(false)
		e.rot()
		time.Sleep(down)
		m.bringBack(place, true)
		return completeAgain + refusalTime
	case "replacement":
		if m.intN(2) == 0 {
			e.leave()
		} else {
			e.kill(false)
		}
		time.Sleep(down)
		successor := m.newEntry()
		m.mu.Lock()
		m.places[place] = successor
		m.mu.Unlock()
		successor.start()
		if m.intN(3) == 0 {
			time.Sleep(m.duration(2 * time.Second))
			successor.kill(true)
			m.logf("%s killed;", successor.name)
			m.bringBack(place, true)
		}
	case "cut":
		m.cutOff(e)
		time.Sleep(2 * down)
		m.heal(e)
	case "full disk", "slow disk", "silent disk":
		e.disturbDisk(strings.TrimSuffix(fault, " disk"), 2*down)
	}
	return completeAgain
}

var entryFaults = []string{
	"kill", "power loss", "power loss at an operation", "wipe", "rot", "replacement", "cut", "full disk", "slow disk",
	"silent disk", "planned stop", "planned stop and wipe",
}

// cutOff cuts entries off from all others, but not from each other.
func (m *model) cutOff(entries ...*entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sides++
	for _, e := range entries {
		e.side = m.sides
	}
}

func (m *model) heal(entries ...*entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range entries {
		e.side = 0
	}
}

// modelFleets are the fleets of TestModel: as many disks as deployments have, and losses that
// they tolerate at once.
var modelFleets = []struct{ size, tolerated int }{{3, 1}, {4, 1}, {5, 2}, {6, 2}, {7, 3}, {8, 2}}

// TestModel plays series of losses and disturbances of a quorum in virtual time, each as soon
// as the last one is overcome: kills, losses of power at any operation on a disk, emptied and
// damaged disks, successors, cuts, disks that are full, slow or silent, and restarts of all,
// also two at once where the fleet tolerates that. It guards against an acknowledged number that
// is lost or read in an older state, two leaders in one term, voters that are gone for good, and
// a quorum that isn't complete in time.
func TestModel(t *testing.T) {
	started, longest := time.Now(), time.Duration(0)
	for seed := *modelFirstSeed; seed < *modelFirstSeed+*modelSeeds; seed++ {
		for _, fleet := range modelFleets {
			t.Run(fmt.Sprintf("%d entries, seed %d", fleet.size, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newModel(t, seed, fleet.size, fleet.tolerated)
					ctx, cancel := context.WithCancel(t.Context())
					go m.propose(ctx)
					defer func() {
						cancel()
						for _, e := range m.running() {
							e.kill(false)
						}
						time.Sleep(5 * time.Second) // for messages and changes on their way
					}()
					if m.intN(2) == 0 {
						m.loseAtFirstStart()
					}
					m.awaitComplete(formed)
					for range *modelFaults {
						allowed := m.disturb()
						longest = max(longest, m.awaitComplete(allowed))
					}
					time.Sleep(m.duration(completeAgain))
					m.loseWorst()
					longest = max(longest, m.awaitComplete(completeAgain))
				})
			})
		}
	}
	t.Logf("%d runs in %v, complete again after %v at most", uint64(len(modelFleets))**modelSeeds, time.Since(started).Round(time.Millisecond), longest)
}
