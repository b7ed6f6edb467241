package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
)

var (
	linkEntries   = flag.Int("soak.link-entries", 8, "entries of TestChangesAfterLinkFaults; each is a process")
	linkSeeds     = flag.Uint64("soak.link-seeds", 1, "number of seeds of TestChangesAfterLinkFaults")
	linkFirst     = flag.Uint64("soak.link-first", 1, "first seed of TestChangesAfterLinkFaults")
	linkEpisodes  = flag.Int("soak.link-episodes", 2, "faults in a run of TestChangesAfterLinkFaults")
	linkKinds     = flag.String("soak.link-kinds", "", "kinds of these faults, separated by commas; empty for all")
	linkDelay     = flag.Duration("soak.link-delay", 0, "delay of each packet between entries, one way, from the first configuration on")
	linkHandshake = flag.Duration("soak.link-handshake", 400*time.Millisecond, "time after which an entry gives up a connection that isn't established; not below its own time limit")
	linkCallers   = flag.Int("soak.link-callers", 8, "callers that keep their connections in TestChangesAfterLinkFaults")
	linkQuota     = flag.Float64("soak.link-quota", 0, "give each entry of TestChangesAfterLinkFaults this multiple of its share of a core; 0 for no limit")
)

// Bounds of the larger deployments, beside those of TestPairsOfLosses.
const (
	stableTime = 4 * time.Second         // after the last fault the quorum is stable
	applyTime  = 2500 * time.Millisecond // in which all entries obey an acknowledged change
	domains    = 3
)

// linkRun is a fleet whose links, processes and disks fail.
type linkRun struct {
	*pairsRun
	random *rand.Rand
	kinds  []string
	leader leaderWatch
	stalls stallWatch
}

// TestChangesAfterLinkFaults guards against a quorum that has no leader though all entries run
// and are connected again: after splits of the entries with a disk, a leader whose packets are
// lost one way, connections that went silent, late packets, and losses of processes and disks.
func TestChangesAfterLinkFaults(t *testing.T) {
	binary := build(t)
	for seed := *linkFirst; seed < *linkFirst+*linkSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runLinkSeed(t, binary, seed) })
	}
}

func runLinkSeed(t *testing.T, binary string, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newFleet(t, binary, seed, shape{entries: *linkEntries, disks: pairDisks, tolerated: 2, domains: domains, linked: true, quota: *linkQuota})
	s := &soak{
		t: t, kind: "links", seed: seed, fleet: f, runs: newRunLog(), stop: ctx,
		notRun: map[string]bool{}, nonIdempotent: map[string]bool{}, statuses: map[int]int{}, replicaRuns: map[string]*replica{},
	}
	s.random = s.newRandom("choices")
	r := &linkRun{pairsRun: &pairsRun{soak: s}, random: s.newRandom("links"), kinds: faultKinds}
	if *linkKinds != "" {
		r.kinds = strings.Split(*linkKinds, ",")
	}
	// Requests may fail at any entry during faults of links; only their content is checked.
	for _, p := range f.all() {
		p.setFaulted(true)
	}
	s.wait.Go(func() { f.watchMemory(ctx) })
	if f.shape.quota > 0 {
		s.wait.Go(func() { f.limitProcessors(ctx) })
	}
	r.startLinkLoad()
	for episode := 1; episode <= *linkEpisodes && !t.Failed(); episode++ {
		kind := r.kinds[r.random.IntN(len(r.kinds))]
		settle := r.inject(kind)
		healed := time.Now()
		r.expectChangesSince(healed, settle, fmt.Sprintf("%v after fault %d, %s", settle, episode, kind))
		r.leader.log(t, episode, kind, healed)
		r.stalls.log(t)
	}
	cancel()
	s.wait.Wait()
	r.expectReads()
	r.checkRuns()
	for _, v := range r.violations {
		t.Error(v)
	}
	t.Logf("configuration %d acknowledged of %d sent, statuses of callers %v", r.ackedVersion, r.sentVersion, r.statuses)
	if t.Failed() {
		r.saveLog()
	}
}

func (r *linkRun) startLinkLoad() {
	began := time.Now()
	for i := range 4 {
		r.addReplica(fmt.Sprintf("i-%d", i))
	}
	if !eventually(2*readTime, func() bool { return r.putConfiguration(1) }) {
		r.saveLog()
		r.t.Fatal("no configuration was accepted")
	}
	r.t.Logf("first configuration after %v", time.Since(began).Round(time.Millisecond))
	for i := range *linkCallers {
		r.wait.Go(func() { r.runKeptCaller(i) })
	}
	r.wait.Go(r.runOperator)
	r.wait.Go(r.runReader)
	r.wait.Go(func() { r.leader.run(r.soak) })
	r.wait.Go(func() { r.stalls.run(r.soak) })
	r.heal()
	time.Sleep(stableTime)
}

// expectChangesSince expects that a change that is sent from settle on is acknowledged in time,
// that all entries then obey it in time, and that enough running disks vote.
func (r *linkRun) expectChangesSince(healed time.Time, settle time.Duration, when string) {
	var voters sync.WaitGroup
	defer voters.Wait()
	voters.Go(func() { r.expectVoters(healed, settle, when) })
	time.Sleep(time.Until(healed.Add(settle)))
	r.mu.Lock()
	sent := r.sentVersion
	r.mu.Unlock()
	var version uint64
	if !eventually(ackTime, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		version = r.ackedVersion
		return version > sent
	}) {
		r.t.Errorf("no change was acknowledged within %v, %s", ackTime, when)
		return
	}
	r.t.Logf("change %d, sent %v after the fault or later, was acknowledged %v after it", version, settle, time.Since(healed).Round(time.Millisecond))
	time.Sleep(applyTime)
	var wait sync.WaitGroup
	for _, p := range r.fleet.all() {
		wait.Go(func() {
			status := statusOf(p)
			if status == nil {
				r.reportViolation("%s doesn't answer %v after %d was acknowledged, %s", p.name, applyTime, version, when)
				return
			}
			if status.Version.GetRevision() < version {
				r.reportViolation("%s has configuration %d %v after %d was acknowledged, %s", p.name, status.Version.GetRevision(), applyTime, version, when)
			}
		})
	}
	wait.Wait()
}

// statusOf asks an entry, past its proxy. It returns nil without an answer.
func statusOf(p *process) *pb.StatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	client := jacinthplankv1connect.NewPeerServiceClient(&http.Client{Transport: statusTransport}, "http://"+p.address(peerPort))
	answer, err := client.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return nil
	}
	return answer.Msg
}

var statusTransport = &http.Transport{IdleConnTimeout: 10 * time.Second}

// leaderWatch records when no entry led the quorum.
type leaderWatch struct {
	mu    sync.Mutex
	last  time.Time // a leader was seen
	spans []leaderless
}

type leaderless struct{ from, to time.Time }

const watchInterval = 100 * time.Millisecond

func (w *leaderWatch) run(s *soak) {
	for s.stop.Err() == nil {
		if leader, _ := s.findLeader(); leader != nil {
			w.seen(time.Now())
		}
		s.sleep(watchInterval)
	}
}

func (w *leaderWatch) seen(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.last.IsZero() && now.Sub(w.last) > 5*watchInterval {
		w.spans = append(w.spans, leaderless{w.last, now})
	}
	w.last = now
}

// log tells how long there was no leader since the last call, relative to the end of a fault.
func (w *leaderWatch) log(t *testing.T, episode int, kind string, healed time.Time) {
	w.seen(time.Now()) // ends the time without a leader for this log
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.spans {
		t.Logf("fault %d, %s: no leader seen from %+.1f s to %+.1f s of its end", episode, kind, s.from.Sub(healed).Seconds(), s.to.Sub(healed).Seconds())
	}
	w.spans = nil
}

// findLeader returns the entry that says that it leads the quorum, and what it says of it.
func (s *soak) findLeader() (leader *process, quorum *pb.QuorumStatus) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, p := range s.fleet.all()[:s.fleet.shape.disks] {
		wait.Go(func() {
			q := statusOf(p).GetQuorum()
			mu.Lock()
			defer mu.Unlock()
			if q.GetHasQuorum() && q.Leader == p.name && q.Term >= quorum.GetTerm() {
				leader, quorum = p, q
			}
		})
	}
	wait.Wait()
	return leader, quorum
}
