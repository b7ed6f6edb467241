package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// doPlannedWork stops and restarts entries, one or two at a time, sends them SIGHUP and
// replaces replicas for the duration faultPhase. The operator changes the
// configuration meanwhile.
func (s *soak) doPlannedWork() {
	end := time.Now().Add(*faultPhase)
	var wait sync.WaitGroup
	for i := range max(1, len(s.fleet.processes)/12) {
		wait.Go(func() { s.rollEntries(end, s.newRandom(fmt.Sprint("entries ", i))) })
	}
	wait.Go(func() { s.reloadEntries(end, s.newRandom("reloads")) })
	wait.Go(func() { s.rollReplicas(end, s.newRandom("replicas")) })
	wait.Wait()
}

// stopPlan is what happens at the planned stop of an entry.
type stopPlan struct {
	busy        bool           // the entry has to run a request
	rush        bool           // callers send when idle connections are closed
	againAfter  time.Duration  // until a second signal
	againSignal syscall.Signal // 0 for none
	down        time.Duration
	random      *rand.Rand
}

func drawStopPlan(random *rand.Rand) stopPlan {
	return stopPlan{
		busy: random.IntN(2) == 0, rush: random.IntN(4) > 0,
		random:      rand.New(rand.NewPCG(random.Uint64(), 0)),
		againAfter:  between(random, 0, 3*time.Second),
		againSignal: []syscall.Signal{0, syscall.SIGTERM, syscall.SIGHUP}[random.IntN(3)],
		down:        between(random, 0, 600*time.Millisecond),
	}
}

func (s *soak) rollEntries(end time.Time, random *rand.Rand) {
	for time.Now().Before(end) {
		count := 1 + random.IntN(2)
		var wait sync.WaitGroup
		for range count {
			p, plan, delay := s.fleet.processes[random.IntN(len(s.fleet.processes))], drawStopPlan(random), between(random, 0, 2*time.Second)
			wait.Go(func() {
				if count > 1 {
					time.Sleep(delay)
				}
				s.rollEntry(p, plan)
			})
		}
		wait.Wait()
	}
}

// readyTimeout is the time in which an entry that was restarted has to be ready.
const readyTimeout = 15 * time.Second

func (s *soak) rollEntry(p *process, plan stopPlan) {
	if !p.claim() {
		return
	}
	defer p.release()
	s.stopEntry(p, plan)
	time.Sleep(plan.down)
	s.fleet.start(p, false)
	if !eventually(readyTimeout, p.isReady) {
		s.reportViolation("%s is not ready %v after its restart", p.name, readyTimeout)
	}
	p.setStopping(false)
}

// stopEntry stops an entry gracefully and waits for its end.
func (s *soak) stopEntry(p *process, plan stopPlan) {
	rush := func() {}
	if plan.rush {
		rush = s.rush(p, plan.random)
	}
	if plan.busy {
		eventually(300*time.Millisecond, func() bool { return p.requests.Load() > 0 })
	}
	s.stops.Add(1)
	p.setStopping(true)
	p.signal(syscall.SIGTERM)
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(rush)
	if plan.againSignal != 0 {
		again := time.AfterFunc(plan.againAfter, func() { p.signal(plan.againSignal) })
		defer again.Stop()
	}
	if !eventually(gracePeriod+2*time.Second, func() bool { return !p.running() }) {
		s.reportViolation("%s did not exit within %v of SIGTERM", p.name, gracePeriod+2*time.Second)
	}
}

// reloadEntries sends SIGHUP to entries, also to those that shut down.
func (s *soak) reloadEntries(end time.Time, random *rand.Rand) {
	for time.Now().Before(end) {
		time.Sleep(between(random, 100*time.Millisecond, 500*time.Millisecond))
		p := s.fleet.processes[random.IntN(len(s.fleet.processes))]
		p.mu.Lock()
		starting := p.stops%2 == 1 && !p.ending // it may not handle signals yet
		p.mu.Unlock()
		if !starting {
			p.signal(syscall.SIGHUP)
		}
	}
}

const heartbeatInterval = 300 * time.Millisecond

// addReplica starts a replica, which announces itself until it leaves.
func (s *soak) addReplica(id string) {
	s.mu.Lock()
	run := fmt.Sprintf("%s/%d", id, len(s.replicaRuns))
	s.mu.Unlock()
	r, err := newReplica(id, run, s.runs, s.newRandom(run))
	if err != nil {
		s.t.Error(err)
		return
	}
	r.onDeadly = s.endReplica
	s.t.Cleanup(r.close)
	s.mu.Lock()
	s.replicas, s.replicaRuns[run] = append(s.replicas, r), r
	s.mu.Unlock()
	s.wait.Go(func() {
		for s.stop.Err() == nil {
			body := r.heartbeat()
			if body == "" {
				return
			}
			s.announce(wire.Heartbeat+r.id, body)
			s.sleep(heartbeatInterval)
		}
	})
}

// rollReplicas replaces replicas one after the other, by one with the same or with
// another id.
func (s *soak) rollReplicas(end time.Time, random *rand.Rand) {
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(between(random, 0, 500*time.Millisecond))
		s.mu.Lock()
		r := s.replicas[0]
		s.replicas = s.replicas[1:]
		s.mu.Unlock()
		s.removeReplica(r, between(random, 300*time.Millisecond, time.Second))
		id := r.id
		if random.IntN(2) == 0 {
			id = fmt.Sprintf("replacement-%d", n)
		}
		s.addReplica(id)
	}
}

// announceTimeout is the time in which an announcement has to be acknowledged.
const announceTimeout = 5 * time.Second

// removeReplica lets a replica drain, leave and end.
func (s *soak) removeReplica(r *replica, drainTime time.Duration) {
	r.stateLeaving()
	time.Sleep(leavingNotice + drainTime) // entries have only its responses to go by
	r.setState("draining")
	if !eventually(announceTimeout, func() bool { return s.announce(wire.Heartbeat+r.id, r.heartbeat()) }) {
		s.reportViolation("the draining of %s was not acknowledged", r.run)
	}
	time.Sleep(drainTime)
	if !eventually(callDeadline, func() bool { return r.running.Load() == 0 }) {
		s.reportViolation("%s still gets requests after its draining was acknowledged", r.run)
	}
	if most := r.leavingDisregarded(); most > 0 {
		s.reportViolation("replica %s stated that it leaves and got %d requests from an entry that it had told so", r.run, most)
	}
	r.setState("")
	leave := func() bool {
		return s.announce(wire.Leave+r.id, fmt.Sprintf(`{"born":%d}`, r.born.UnixMilli()))
	}
	if !eventually(announceTimeout, leave) {
		s.reportViolation("the leave of %s was not acknowledged", r.run)
	}
	time.Sleep(heartbeatInterval)
	if n := r.running.Load(); n > 0 {
		s.reportViolation("%s runs %d requests after its leave was acknowledged", r.run, n)
	}
	r.close()
}
