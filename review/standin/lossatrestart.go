package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// lossAtRestart kills all processes at the same moment. One machine with a disk does not come
// back and is replaced by an empty one. Much later another machine is replaced in the same way.
// It breaks the rule if the acknowledged configuration can't be read at the end.
func lossAtRestart(e *environment) (bool, error) {
	const (
		back     = 700 * time.Millisecond // after the kill
		replaced = 2 * time.Second
		settle   = 25 * time.Second // between the losses; recovery_s is 12, catch_up_s 4
		recover  = 20 * time.Second
		reading  = 10 * time.Second // the operator asks for longer than stable_window_ms
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
		for _, m := range f.machines {
			f.signal(m, syscall.SIGKILL)
		}
		time.Sleep(back)
		for i, m := range f.machines {
			m.bootstrap = false
			if i == 2 {
				continue // lost for good
			}
			if err := f.start(m); err != nil {
				return false, err
			}
		}
		time.Sleep(replaced - back)
		f.machines[2] = f.newSpare(8, f.machines[2].zone)
		if err := f.start(f.machines[2]); err != nil {
			return false, err
		}
	}
	time.Sleep(settle)
	if !o.put(5, time.Now().Add(10*time.Second)) {
		return false, fmt.Errorf("the second configuration was not acknowledged")
	}
	time.Sleep(2 * time.Second)
	if e.trouble {
		f.signal(f.machines[1], syscall.SIGKILL)
		time.Sleep(replaced)
		f.machines[1] = f.newSpare(9, f.machines[1].zone)
		if err := f.start(f.machines[1]); err != nil {
			return false, err
		}
	}
	time.Sleep(recover)
	return !o.readBack(5, reading), nil
}

// newSpare returns an empty machine with a disk at an address of its own.
func (f *fleet) newSpare(number int, zone string) *machine {
	ip := f.machines[0].ip
	name := fmt.Sprintf("front-%d", number)
	return &machine{
		name: name, ip: fmt.Sprintf("%s.%d", ip[:strings.LastIndex(ip, ".")], number), zone: zone, hasDisk: true,
		dataDir: filepath.Join(f.folder, "disk-"+name), settings: filepath.Join(f.folder, name+".toml"),
	}
}

// readBack reads the configuration repeatedly at all machines. It reports whether the version
// was read and no other one.
func (o *operator) readBack(version int, during time.Duration) bool {
	read, other := 0, 0
	for limit := time.Now().Add(during); time.Now().Before(limit); {
		for _, m := range o.fleet.machines {
			switch status, text := o.get(m); {
			case status != http.StatusOK:
			case strings.Contains(text, fmt.Sprintf(`"version":%d,`, version)):
				read++
			default:
				other++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	o.fleet.record.printf("configuration %d was acknowledged; read back %d times, another one %d times", version, read, other)
	return read > 0 && other == 0
}
