package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// firstStart starts a deployment for the first time and kills the process of one machine with
// a disk once, in the second in which the machines form their quorum. It breaks the rule if no
// request is served.
func firstStart(e *environment) (bool, error) {
	const observed = 45 * time.Second // of traffic
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
	var replicas []*replica
	for i := range 3 {
		m := f.machines[i]
		r, err := newReplica(f, fmt.Sprintf("i-%d", i+1), "registry", m.ip, m.zone)
		if err != nil {
			return false, err
		}
		defer r.stop()
		replicas = append(replicas, r)
	}
	if e.trouble {
		go killAndRestart(f, f.machines[0], 500*time.Millisecond)
	}
	end := started.Add(trafficLead + observed)
	acknowledged := make(chan bool, 1)
	go func() { acknowledged <- (&operator{f}).put(4, end) }()
	time.Sleep(time.Until(started.Add(trafficLead)))
	c := &callers{fleet: f}
	c.run(end, 250*time.Millisecond)
	ran := 0
	for _, r := range replicas {
		ran += r.runs()
	}
	e.record.printf("configuration acknowledged: %t; %d requests sent, %d served, statuses %v; %d run by replicas", <-acknowledged, c.sent, c.served, c.statuses, ran)
	if c.sent < 100 {
		return false, fmt.Errorf("only %d requests were sent", c.sent)
	}
	return c.served == 0, nil
}

// killAndRestart kills the process of a machine once it has begun to use its disk, and starts
// it again some time later with the same settings.
func killAndRestart(f *fleet, m *machine, pause time.Duration) {
	for {
		if _, err := os.Stat(filepath.Join(m.dataDir, "identity")); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	f.signal(m, syscall.SIGKILL)
	time.Sleep(pause)
	if err := f.start(m); err != nil {
		f.record.printf("%s: not started again: %v", m.name, err)
	}
}
