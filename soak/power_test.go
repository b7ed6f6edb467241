package soak

import (
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/wal/powerloss"
)

// darken takes the power of entries for the links: their open connections go silent for both ends
// and new ones hang.
func (l *links) darken(ips ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ip := range ips {
		l.dark[ip] = true
	}
	for k := range l.open {
		if l.dark[k.from] || l.dark[k.to] {
			k.silent.Store(true)
		}
	}
	l.notify()
}

// lighten gives it back. An entry knows nothing of its connections of before.
func (l *links) lighten(ip string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.dark, ip)
	for k := range l.open {
		if k.silent.Load() && (k.from == ip || k.to == ip) {
			k.forgotten.Store(true)
		}
	}
	l.notify()
}

// notify wakes those that wait for another state. l.mu is held.
func (l *links) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// powerLoss is an entry that loses power.
type powerLoss struct {
	entry *process
	wipe  bool          // its disk is lost as well
	down  time.Duration // until it starts again
}

// losePower takes the power of all these entries at once and gives it back to each after its time.
func (r *linkRun) losePower(losses ...powerLoss) {
	var ips []string
	for _, loss := range losses {
		loss.entry.setFaulted(true)
		ips = append(ips, loss.entry.ip)
	}
	r.fleet.links.darken(ips...)
	var killed sync.WaitGroup
	for _, loss := range losses {
		loss.entry.setDark(true)
		killed.Go(loss.entry.kill)
	}
	killed.Wait()
	began := time.Now()
	for _, loss := range losses {
		if loss.entry.dataDir != "" {
			r.loseUnsynced(loss)
		}
	}
	var back sync.WaitGroup
	for _, loss := range losses {
		back.Go(func() {
			time.Sleep(time.Until(began.Add(loss.down)))
			loss.entry.setDark(false)
			r.fleet.links.lighten(loss.entry.ip)
			r.fleet.start(loss.entry, false)
		})
	}
	back.Wait()
}

// loseUnsynced leaves on a disk what a loss of power leaves.
func (r *linkRun) loseUnsynced(loss powerLoss) {
	report, err := "wiped", error(nil)
	if loss.wipe {
		err = os.RemoveAll(loss.entry.dataDir)
	} else {
		report, err = powerloss.Apply(loss.entry.dataDir, powerloss.RandomFate(r.random))
	}
	if err != nil {
		r.reportViolation("%v", err)
	}
	r.t.Logf("%s lost power for %v: %s", loss.entry.name, loss.down.Round(time.Millisecond), report)
}

func (p *process) setDark(dark bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dark = dark
}

// finalKinds are losses at the end of a run: two disks are lost while nothing else happens, while the other
// entries with a disk or all others lose power, or all lose power and no disk is lost.
var finalKinds = []string{"wiped", "wiped+disks-dark", "wiped+all-dark", "all-dark"}

// loseFinally plays one of finalKinds. wiped are places of entries with a disk.
func (r *linkRun) loseFinally(kind string, wiped []int, down func() time.Duration) {
	all := r.fleet.all()
	var losses []powerLoss
	for place, p := range all {
		isWiped := kind != "all-dark" && slices.Contains(wiped, place)
		isDark := kind == "wiped+all-dark" || kind == "all-dark" || (kind == "wiped+disks-dark" && place < r.fleet.shape.disks)
		if isWiped || isDark {
			losses = append(losses, powerLoss{p, isWiped, down()})
		}
	}
	r.losePower(losses...)
}

// awaitChange waits until a change was acknowledged, or sent but not acknowledged, and 0 to 20 ms
// longer.
func (r *linkRun) awaitChange(underWay bool) {
	r.mu.Lock()
	before := r.ackedVersion
	r.mu.Unlock()
	end := time.Now().Add(ackTime)
	for time.Now().Before(end) && r.stop.Err() == nil {
		r.mu.Lock()
		acked, isSent := r.ackedVersion > before, r.sentVersion > r.ackedVersion
		r.mu.Unlock()
		if (underWay && isSent) || (!underWay && acked) {
			break
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(between(r.random, 0, 20*time.Millisecond))
}

// pickDisks returns the places of n entries with a disk, with the leader among them if asked for.
func (r *linkRun) pickDisks(n int, random *rand.Rand, withLeader bool) []int {
	places := random.Perm(r.fleet.shape.disks)[:n]
	if !withLeader {
		return places
	}
	leader, _ := r.findLeader()
	if leader == nil {
		return places
	}
	if place := r.place(leader.ip); !slices.Contains(places, place) {
		places[0] = place
	}
	return places
}
