package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The platform's bounds for a request that ends each replica which begins to run it.
const (
	deadlyEnds   = 3               // replicas after which it must be known
	deadlyNotice = 3 * time.Second // after the last of these
	maxDeadly    = 3               // that reach replicas later
)

const (
	deadlyPath        = "/safe/deadly"
	minReplicaRestart = time.Second
	maxReplicaRestart = 2 * time.Second
)

// deadlyRecord is what a request that ends replicas has done since all entries were last
// restarted at the same time, which makes them forget it.
type deadlyRecord struct {
	mu   sync.Mutex
	ends []time.Time
	late int // requests that reached a replica from an undisturbed entry after deadlyNotice
}

func (d *deadlyRecord) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends, d.late = nil, 0
}

// record records that a replica ended, and returns how many requests were late.
func (d *deadlyRecord) record(isUndisturbed bool, now time.Time) (late int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends = append(d.ends, now)
	if isUndisturbed && len(d.ends) > deadlyEnds && now.Sub(d.ends[deadlyEnds-1]) > deadlyNotice {
		d.late++
	}
	return d.late
}

// sendDeadly sends a request that ends replicas again and again, to any entry.
func (s *soak) sendDeadly(end time.Time, random *rand.Rand) {
	for time.Now().Before(end) {
		time.Sleep(between(random, 100*time.Millisecond, 400*time.Millisecond))
		p := s.fleet.processes[random.IntN(len(s.fleet.processes))]
		id := "d" + strconv.FormatInt(s.nextID.Add(1), 10)
		s.runs.begin(id, p.origin())
		s.wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*callDeadline)
			defer cancel()
			r := send(ctx, http.MethodPost, "http://"+p.address(callerPort)+deadlyPath, "h", "deadly", map[string]string{
				wire.Request: id, wire.Deadline: strconv.FormatInt(callDeadline.Milliseconds(), 10),
			})
			if r.err == nil && r.status == http.StatusOK {
				s.reportViolation("a request that no replica answers got status 200 at %s", p.name)
			}
		})
	}
}

// endReplica ends a replica that runs a deadly request and starts it again later.
func (s *soak) endReplica(r *replica, from origin) {
	now := time.Now()
	if late := s.deadly.record(s.isUndisturbed(from, now), now); late > maxDeadly {
		s.reportViolation("%d requests under which %d replicas had ended reached replicas, the last one from %s", late, deadlyEnds, from.entry.name)
	}
	r.setFault("ended")
	r.setState("")
	r.close()
	s.mu.Lock()
	restart := between(s.random, minReplicaRestart, maxReplicaRestart)
	s.mu.Unlock()
	s.wait.Go(func() {
		s.sleep(restart)
		s.addReplica(r.id)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.replicas = slices.DeleteFunc(s.replicas, func(other *replica) bool { return other == r })
	})
}

// isUndisturbed reports whether the entry that passed on a request, and all entries with a
// disk, have not been disturbed for deadlyNotice.
func (s *soak) isUndisturbed(from origin, now time.Time) bool {
	if from.entry == nil || now.Sub(from.disturbedAt) < deadlyNotice {
		return false
	}
	for _, p := range s.fleet.processes {
		d, disturbedAt := p.disturbances(), p.origin().disturbedAt
		isConcerned := p.dataDir != "" || p == from.entry
		if isConcerned && (d.faults%2 == 1 || d.stops%2 == 1 || now.Sub(disturbedAt) < deadlyNotice) {
			return false
		}
	}
	return true
}

// serveDeadly ends the replica if the request is deadly.
func (r *replica) serveDeadly(q *http.Request) bool {
	if !strings.HasPrefix(q.URL.Path, deadlyPath) {
		return false
	}
	r.endOnce.Do(func() { r.onDeadly(r, r.runs.origin(q.Header.Get(wire.Request))) })
	return true
}

// describeDeadly tells what the deadly request did.
func (s *soak) describeDeadly() string {
	s.deadly.mu.Lock()
	defer s.deadly.mu.Unlock()
	return fmt.Sprintf("%d replicas ended under a request since all entries last started, %d of them late", len(s.deadly.ends), s.deadly.late)
}
