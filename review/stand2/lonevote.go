package main

import "time"

// playLoneVote cuts one machine with a disk off from all others while the whole system starts
// for the first time. It loses its disk right after it has acknowledged a configuration.
func playLoneVote(r *record, f *fleet, trouble bool) bool {
	lost := f.add("front-dar-a-1", "dar-a", 11, true)
	y := f.add("front-dar-b-1", "dar-b", 12, true)
	z := f.add("front-dar-c-1", "dar-c", 13, true)
	f.add("front-dar-b-2", "dar-b", 14, false)
	f.add("front-dar-c-2", "dar-c", 15, false)
	// The paths between this machine and the others go through proxies, which stand in its
	// place among the seeds of the others and in theirs among its own.
	toLost, toY, toZ := f.ipOf(10), f.ipOf(22), f.ipOf(23)
	f.choosePorts(toLost, toY, toZ)
	seed := func(ip string) string { return ip + lost.control()[len(lost.ip):] }
	lost.seeds = []string{lost.control(), seed(toY), seed(toZ)}
	for _, m := range f.machines[1:] {
		m.seeds = []string{seed(toLost), y.control(), z.control()}
	}
	peers := []int{f.ports.peers}
	links := []*link{
		newLink(toLost, lost.ip, peers, trouble), newLink(toY, y.ip, peers, trouble), newLink(toZ, z.ip, peers, trouble),
	}
	if trouble {
		r.event("%s is cut off from all other machines", lost.name)
	}
	f.startAll()
	healed := make(chan struct{})
	go func() {
		defer close(healed)
		r.at(5500 * time.Millisecond)
		for _, l := range links {
			l.set(false)
		}
		if trouble {
			r.event("the cut has healed")
		}
	}()
	r.at(3 * time.Second)
	o := newOperator(r, f.controls())
	acknowledged, _ := o.putUntil(1, configuration(1), r.started.Add(30*time.Second))
	if acknowledged == "" {
		cannotRun("the configuration was not acknowledged")
	}
	if trouble && acknowledged != lost.control() {
		cannotRun("the configuration was acknowledged by another machine than the one that is cut off")
	}
	if trouble {
		lost.kill()
		lost.wipe()
		time.Sleep(time.Second)
		lost.start(false)
	}
	<-healed
	return o.readBack(configuration(1), time.Now().Add(40*time.Second))
}

// readBack reads the configuration at one machine after the other until one has it, and reports
// whether that is the one that was acknowledged.
func (o *operator) readBack(want string, until time.Time) bool {
	return o.readBackEither(want, want, until)
}

// readBackEither also takes another one, which got no clear answer.
func (o *operator) readBackEither(want, other string, until time.Time) bool {
	for time.Now().Before(until) {
		for _, t := range o.targets {
			status, body := o.get(t)
			o.rec.event("operator: Config.Get at %s -> %s, the acknowledged one: %t", t, statusText(status), body == want)
			if status == 200 {
				return body == want || body == other
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}
