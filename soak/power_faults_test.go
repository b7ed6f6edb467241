package soak

import (
	"sync"
	"syscall"
	"time"
)

// powerKindsAll are the faults before the losses at the end of a series.
var powerKindsAll = []string{
	"dark-pair", "wiped", "split", "split+wiped", "leader-mute", "leader-deaf", "silent", "silent-leader", "pause", "replace", "day", "overlap", "wiped-pair", "all-dark",
}

// Times of the losses in a deployment's day.
const (
	minDark, maxDark   = 5 * time.Second, 7 * time.Second
	minWiped, maxWiped = time.Second, 1500 * time.Millisecond
)

// injectPower plays a fault and returns the time after which the quorum has to be stable, or 0 if the
// next fault follows at once.
func (r *powerRun) injectPower(kind string) (settle time.Duration) {
	dark, wiped := between(r.random, minDark, maxDark), between(r.random, minWiped, maxWiped)
	settle = catchUpTime
	switch kind {
	case "dark-pair":
		r.losePlaces(r.pickDisks(2, r.random, r.random.IntN(2) == 0), false, dark)
	case "wiped":
		r.losePlaces(r.pickDisks(1, r.random, r.random.IntN(2) == 0), true, wiped)
	case "wiped-pair":
		r.awaitChange(r.random.IntN(3) == 0)
		r.losePlaces(r.pickDisks(2, r.random, r.random.IntN(2) == 0), true, wiped)
	case "all-dark":
		r.awaitChange(r.random.IntN(3) == 0)
		r.loseFinally(kind, nil, func() time.Duration { return between(r.random, 300*time.Millisecond, time.Second) })
		settle = 2 * stableTime
	case "split":
		r.split()
		time.Sleep(dark)
		r.heal()
	case "split+wiped":
		r.split()
		time.Sleep(between(r.random, 0, dark))
		r.losePlaces(r.pickDisks(1, r.random, false), true, wiped)
		time.Sleep(between(r.random, 0, 2*time.Second))
		r.heal()
	case "pause":
		var wait sync.WaitGroup
		for _, place := range r.pickDisks(2, r.random, r.random.IntN(2) == 0) {
			p := r.fleet.all()[place]
			wait.Go(func() {
				p.signal(syscall.SIGSTOP)
				time.Sleep(dark)
				p.signal(syscall.SIGCONT)
			})
		}
		wait.Wait()
	case "replace":
		r.lose(r.random.IntN(r.fleet.shape.disks), "replace", wiped)
	case "day":
		r.playDay()
	case "overlap":
		// A disk is lost while two entries that keep theirs are only just back.
		places := r.pickDisks(3, r.random, r.random.IntN(2) == 0)
		r.losePlaces(places[:2], false, dark)
		time.Sleep(between(r.random, 0, catchUpTime))
		r.losePlaces(places[2:], true, wiped)
	default:
		return r.inject(kind)
	}
	return settle
}

// losePlaces takes the power of entries with a disk.
func (r *powerRun) losePlaces(places []int, wipe bool, down time.Duration) {
	var losses []powerLoss
	for _, place := range places {
		losses = append(losses, powerLoss{r.fleet.all()[place], wipe, down})
	}
	r.losePower(losses...)
}

// split parts the entries with a disk into two halves, which all others reach.
func (r *powerRun) split() {
	half := map[int]bool{}
	for _, place := range r.random.Perm(r.fleet.shape.disks)[:r.fleet.shape.disks/2] {
		half[place] = true
	}
	r.cut(func(from, to string) bool { return r.haveDisks(from, to) && half[r.place(from)] != half[r.place(to)] })
}

// playDay plays the losses of a deployment's day, at the times they had there, while entries are
// stopped in turn.
func (r *powerRun) playDay() {
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	at(time.Second)
	leader, _ := r.findLeader()
	follower := r.random.IntN(r.fleet.shape.disks)
	for leader != nil && r.fleet.all()[follower] == leader {
		follower = r.random.IntN(r.fleet.shape.disks)
	}
	r.losePlaces([]int{follower}, true, 1500*time.Millisecond)
	at(11500 * time.Millisecond)
	r.losePlaces([]int{(follower + 1) % r.fleet.shape.disks, (follower + 2) % r.fleet.shape.disks}, false, 7*time.Second)
	at(31 * time.Second)
	r.awaitChange(false)
	r.losePlaces(r.pickDisks(1, r.random, false), true, time.Second)
	at(44 * time.Second)
	r.logLeader("end of the day")
	r.awaitChange(false)
	kind := r.finalKinds[r.random.IntN(len(r.finalKinds))]
	r.loseFinally(kind, r.pickDisks(r.fleet.shape.tolerated, r.random, true), func() time.Duration { return 600 * time.Millisecond })
}
