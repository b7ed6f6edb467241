package main

import (
	"fmt"
	"syscall"
	"time"
)

// firstLoss starts a deployment for the first time and loses one machine with a disk for good,
// 1.5 s after the start. An empty machine at another address replaces it. It breaks the rule if
// no request is served.
func firstLoss(e *environment) (bool, error) {
	const (
		observed = 50 * time.Second // of traffic
		lostAt   = 1500 * time.Millisecond
		replaced = 2 * time.Second // after the loss
	)
	f, err := newFleet(e.record, e.folder, 3, 4)
	if err != nil {
		return false, err
	}
	defer f.stop()
	spare := f.newSpare(8, f.machines[2].zone)
	started := time.Now()
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		m := f.machines[i]
		r, err := newReplica(f, fmt.Sprintf("i-%d", i+1), "registry", m.ip, m.zone)
		if err != nil {
			return false, err
		}
		defer r.stop()
	}
	end := started.Add(trafficLead + observed)
	if e.trouble {
		time.Sleep(time.Until(started.Add(lostAt)))
		f.signal(f.machines[2], syscall.SIGKILL)
		f.machines[2] = spare // replicas, clients and the operator find the new one in its place
		time.Sleep(time.Until(started.Add(lostAt + replaced)))
		if err := f.start(spare); err != nil {
			return false, err
		}
	}
	acknowledged := make(chan bool, 1)
	go func() { acknowledged <- (&operator{f}).put(4, end) }()
	time.Sleep(time.Until(started.Add(trafficLead)))
	c := &callers{fleet: f}
	c.run(end, 250*time.Millisecond)
	e.record.printf("configuration acknowledged: %t; %d requests sent, %d served, statuses %v", <-acknowledged, c.sent, c.served, c.statuses)
	if c.sent < 100 {
		return false, fmt.Errorf("only %d requests were sent", c.sent)
	}
	return c.served == 0, nil
}
