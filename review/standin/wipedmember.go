package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// wipedMember lets a machine lose its disk, kills its process once more soon after it is back,
// and much later replaces another machine by an empty one. Never more than one machine is lost
// at a time. It breaks the rule if the acknowledged configuration can't be read at the end.
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
	spare := &machine{name: "front-8", ip: strings.TrimSuffix(f.machines[0].ip, ".1") + ".8", zone: f.machines[2].zone, hasDisk: true, dataDir: filepath.Join(e.folder, "disk-front-8"), settings: filepath.Join(e.folder, "front-8.toml")}
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
	second, third := f.machines[1], f.machines[2]
	if e.trouble {
		f.signal(second, syscall.SIGKILL)
		time.Sleep(time.Second)
		second.bootstrap, second.dataDir = false, second.dataDir+"-empty"
		if err := f.start(second); err != nil {
			return false, err
		}
		if os.Getenv("ONCE") == "" {
			killAndRestart(f, second, 500*time.Millisecond)
		}
	}
	time.Sleep(settle)
	if !o.put(5, time.Now().Add(10*time.Second)) {
		return false, fmt.Errorf("the second configuration was not acknowledged")
	}
	time.Sleep(2 * time.Second)
	if e.trouble {
		f.signal(third, syscall.SIGKILL)
		f.machines[2] = spare
		time.Sleep(time.Second)
		if err := f.start(spare); err != nil {
			return false, err
		}
	}
	time.Sleep(recover)
	read, older := 0, 0
	for limit := time.Now().Add(reading); time.Now().Before(limit); {
		for _, m := range f.machines {
			switch status, text := o.get(m); {
			case status == http.StatusOK && strings.Contains(text, `"version":5`):
				read++
			case status == http.StatusOK:
				older++
			}
		}
	}
	e.record.printf("configuration 5 was acknowledged; read back %d times, another one %d times", read, older)
	return read == 0 || older > 0, nil
}
