package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// wipedMember lets a machine lose its disk, kills its process once more soon after it is back,
// and much later replaces another machine by an empty one. Never more than one machine is lost
// at a time. It breaks the rule if the acknowledged configuration can't be read at the end.
// With ONCE=1 the process is not killed a second time.
func wipedMember(e *environment) (bool, error) {
	const (
		settle  = 15 * time.Second // between two losses; catch_up_s is 4
		recover = 20 * time.Second // recovery_s is 12
		reading = 10 * time.Second // the operator asks for longer than stable_window_ms
	)
	f, err := newFleet(e.record, e.folder, 3, 4)
	if err != nil {
		return false, err
	}
	defer f.stop()
	started := time.Now()
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return false, err
		}
	}
	o := &operator{f}
	if !o.put(4, started.Add(trafficLead)) {
		return false, fmt.Errorf("the first configuration was not acknowledged")
	}
	time.Sleep(time.Until(started.Add(trafficLead)))
	if e.trouble {
		m := f.machines[1]
		f.signal(m, syscall.SIGKILL)
		time.Sleep(time.Second)
		m.bootstrap, m.dataDir = false, m.dataDir+"-empty"
		if err := f.start(m); err != nil {
			return false, err
		}
		if os.Getenv("ONCE") != "1" {
			killAndRestart(f, m, 500*time.Millisecond)
		}
	}
	time.Sleep(settle)
	if !o.put(5, time.Now().Add(10*time.Second)) {
		return false, fmt.Errorf("the second configuration was not acknowledged")
	}
	time.Sleep(2 * time.Second)
	if e.trouble {
		f.signal(f.machines[2], syscall.SIGKILL)
		time.Sleep(time.Second)
		f.machines[2] = f.newSpare(8, f.machines[2].zone)
		if err := f.start(f.machines[2]); err != nil {
			return false, err
		}
	}
	time.Sleep(recover)
	return !o.readBack(5, reading), nil
}
