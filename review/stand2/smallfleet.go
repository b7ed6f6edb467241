package main

import "time"

// stableWindow is stable_window_ms of the deployment.
const stableWindow = 3 * time.Second

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
