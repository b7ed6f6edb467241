package main

import (
	"fmt"
	"time"
)

// catchUp is catch_up_s of the grown deployment: how long a machine stays lost after it is back.
const catchUp = 6 * time.Second

// recovery is recovery_s of that deployment.
const recovery = 15 * time.Second

// playDeadVoters loses two of six machines with a disk at once, as the deployment tolerates, again
// and again, each time later than catchUp after all were back: one is replaced for good by an
// empty one at another address, the other one loses its disk.
func playDeadVoters(r *record, f *fleet, trouble bool) bool {
	f.tolerate = 2
	zones := []string{"dar-a", "dar-b", "dar-c"}
	for i := range 6 {
		f.add(fmt.Sprintf("front-%s-%d", zones[i%3], 1+i/3), zones[i%3], 11+i, true)
	}
	f.add("front-dar-a-3", "dar-a", 17, false)
	disks := append([]*machine(nil), f.machines[:6]...)
	plain := f.machines[6]
	f.choosePorts()
	operators := func() []string {
		out := []string{plain.control()}
		for _, m := range disks {
			out = append(out, m.control())
		}
		return out
	}
	f.seeds = []string{disks[0].control(), disks[1].control(), disks[2].control()}
	f.startAll()
	r.at(4 * time.Second)
	o := newOperator(r, operators())
	version := 1
	if target, _ := o.putUntil(version, configuration(version), r.started.Add(20*time.Second)); target == "" {
		cannotRun("the first configuration was not acknowledged")
	}
	for loss := 1; loss <= 8; loss++ {
		replaced, wiped := disks[(2*loss)%6], disks[(2*loss+3)%6]
		if trouble {
			replaced.kill()
			wiped.kill()
			wiped.wipe()
			time.Sleep(2 * time.Second)
			successor := f.add(fmt.Sprintf("front-%s-%d", replaced.zone, 10+loss), replaced.zone, 30+loss, true)
			disks[(2*loss)%6] = successor
			// The platform names three machines of its list that run.
			f.seeds = []string{plain.control(), disks[(2*loss+1)%6].control(), disks[(2*loss+2)%6].control()}
			r.event("loss %d: %s is replaced by %s", loss, replaced.name, successor.name)
			successor.start(false)
			// The other one is back a little later, at another phase of the leader's timers each time.
			time.Sleep([]time.Duration{300, 500, 100, 400, 200}[loss%5] * time.Millisecond)
			wiped.start(false)
		}
		time.Sleep(catchUp + time.Second)
		version++
		o.targets = operators()
		sent := time.Now()
		target, at := o.putUntil(version, configuration(version), sent.Add(14*time.Second))
		if target == "" {
			r.event("configuration %d was not acknowledged in 14 s, while all machines ran", version)
			return o.readBackEither(configuration(version-1), configuration(version), time.Now().Add(recovery))
		}
		r.event("configuration %d was acknowledged after %d ms", version, at.Sub(sent).Milliseconds())
	}
	return o.readBack(configuration(version), time.Now().Add(10*time.Second))
}
