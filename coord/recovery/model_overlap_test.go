package recovery_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// overlaps are disturbances that are no loss of a disk and go on while one is repaired.
var overlaps = []string{"none", "hand-overs", "leaders killed", "short cuts", "restarts", "slow links", "slow disks", "planned stops", "starved"}

// overlap plays a disturbance until ctx ends. Entries that return are not among those whose disk was
// lost.
func (m *model) overlap(ctx context.Context, how string, lost []int) {
	sound := func() int {
		for {
			if i := m.intN(len(m.places)); !slices.Contains(lost, i) {
				return i
			}
		}
	}
	switch how {
	case "slow links":
		m.slow(slowness{link: m.duration(100 * time.Millisecond)})
	case "slow disks":
		m.slow(slowness{disk: m.duration(50 * time.Millisecond)})
	case "starved":
		m.starve(m.places[lost[0]].address)
	}
	for ctx.Err() == nil {
		time.Sleep(300*time.Millisecond + m.duration(time.Second))
		leader, _ := m.leader()
		switch {
		case leader == nil:
		case how == "hand-overs":
			leader.currentNode().TransferLeadership()
		case how == "leaders killed":
			place := slices.Index(m.places, leader)
			leader.kill(m.intN(2) == 0)
			m.restart(place)
		case how == "short cuts":
			e := m.places[sound()]
			m.cutOff(e)
			time.Sleep(m.duration(700 * time.Millisecond))
			m.heal(e)
		case how == "restarts":
			place := sound()
			m.places[place].kill(m.intN(2) == 0)
			time.Sleep(m.duration(700 * time.Millisecond))
			m.restart(place)
		case how == "planned stops":
			place := sound()
			m.places[place].leave()
			time.Sleep(m.duration(500 * time.Millisecond))
			m.restart(place)
		}
	}
	m.slow(slowness{})
	m.starve("")
}

// TestModelBearsNextLoss loses disks, lets a disturbance that is no loss go on for as long as a loss
// counts after their return, and loses as many again, the leader's among them, while all others lose
// power. It guards against a repair that waits for the end of something that has no end: lost
// disks that still count then leave no majority for good. It plays one seed of 25.
func TestModelBearsNextLoss(t *testing.T) {
	for seed := *modelFirstSeed; seed < *modelFirstSeed+(*modelSeeds+24)/25; seed++ {
		for _, fleet := range modelFleets {
			for _, how := range overlaps {
				if how == "starved" && fleet.size <= 2*fleet.tolerated+1 {
					continue // without a further disk, nothing can take the place of one that doesn't learn
				}
				t.Run(fmt.Sprintf("%d entries, %s, seed %d", fleet.size, how, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						m := newModel(t, seed, fleet.size, fleet.tolerated)
						m.play(func() { m.loseTwice(how) })
					})
				})
			}
		}
	}
}

func (m *model) loseTwice(how string) {
	count := 1 + m.intN(m.tolerated)
	if how == "starved" {
		count = 1
	}
	var lost []int
	var emptied []*entry
	for _, e := range m.chosen(count) {
		lost = append(lost, slices.Index(m.places, e))
		emptied = append(emptied, e)
		m.logf("%s emptied, %s;", e.name, how)
	}
	m.killAll(emptied, emptied)
	ctx, cancel := context.WithCancel(context.Background())
	var disturbed sync.WaitGroup
	disturbed.Go(func() { m.overlap(ctx, how, lost) })
	time.Sleep(m.duration(3 * time.Second))
	for _, place := range lost {
		m.restart(place)
	}
	time.Sleep(lossCounts)
	cancel()
	disturbed.Wait()
	m.loseWorst()
	m.awaitComplete(completeAgain)
}
