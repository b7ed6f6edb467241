package main

import "time"

// newSmallFleet returns three machines with a disk, in three zones, and two without.
func newSmallFleet(f *fleet) (disks []*machine) {
	f.add("front-dar-a-1", "dar-a", 11, true)
	f.add("front-dar-b-1", "dar-b", 12, true)
	f.add("front-dar-c-1", "dar-c", 13, true)
	f.add("front-dar-a-2", "dar-a", 14, false)
	f.add("front-dar-b-2", "dar-b", 15, false)
	f.choosePorts()
	for _, m := range f.machines[:3] {
		f.seeds = append(f.seeds, m.control())
	}
	return f.machines[:3]
}

func (f *fleet) controls() []string {
	var out []string
	for _, m := range f.machines {
		out = append(out, m.control())
	}
	return out
}

// startAll starts the whole system for the first time: all processes within 0.3 s.
func (f *fleet) startAll() {
	for _, m := range f.machines {
		m.start(true)
		time.Sleep(20 * time.Millisecond)
	}
}

// Bounds of the deployment.
const (
	stableWindow = 3 * time.Second
	ackBound     = 4 * time.Second
)

// playFirstStart kills one machine with a disk a second after the whole system has started for
// the first time. It is back a second later, with an empty disk.
func playFirstStart(r *record, f *fleet, trouble bool) bool {
	disks := newSmallFleet(f)
	f.startAll()
	back := 2 * time.Second
	if trouble {
		r.at(time.Second)
		disks[0].kill()
		disks[0].wipe()
		r.at(back)
		disks[0].start(false)
	}
	for i, zone := range []string{"dar-a", "dar-b", "dar-c"} {
		startReplica(r, "i-"+zone, zone, f.ipOf(30+i), f.controls())
	}
	r.at(3 * time.Second)
	acked := make(chan time.Time, 1)
	go func() {
		o := newOperator(r, f.controls())
		if target, at := o.putUntil(1, configuration(1), r.started.Add(60*time.Second)); target != "" {
			acked <- at
		}
		close(acked)
	}()
	r.at(10 * time.Second)
	got := sendLoad(r, f, 100*time.Millisecond, r.started.Add(60*time.Second))
	at, isAcked := <-acked
	stableSince := r.started.Add(back + stableWindow)
	if isAcked {
		r.event("configuration 1 was acknowledged %.1f s after the core was stable", max(at.Sub(stableSince).Seconds(), 0))
	} else {
		r.event("configuration 1 was not acknowledged in %.0f s of a stable core", time.Since(stableSince).Seconds())
	}
	return isAcked && at.Sub(stableSince) <= ackBound && got.served.Load() > 0
}
