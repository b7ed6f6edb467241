package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// replica is a fake endpoint that records the requests it runs.
type replica struct {
	id, address string
	runs        *runLog

	mu     sync.Mutex
	random *rand.Rand
	fault  string // "", "refuse", "reset", "break" or "slow"
}

// runLog records the runs of all replicas by request ID.
type runLog struct {
	mu        sync.Mutex
	runs      map[string]int
	lastStart map[string]time.Time
}

func newRunLog() *runLog { return &runLog{runs: map[string]int{}, lastStart: map[string]time.Time{}} }

func (b *runLog) record(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
	b.lastStart[id] = time.Now()
}

func (b *runLog) count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// newReplica starts a replica that serves on l.
func newReplica(id string, l net.Listener, b *runLog, seed uint64) *replica {
	r := &replica{id: id, address: l.Addr().String(), runs: b, random: rand.New(rand.NewPCG(seed, uint64(len(id))))}
	go func() {
		// The listener is closed at the end of the run.
		_ = (&http.Server{Handler: r}).Serve(l)
	}()
	return r
}

func (r *replica) setFault(fault string) {
	r.mu.Lock()
	r.fault = fault
	r.mu.Unlock()
}

// drawFault returns the active fault for one request in three, otherwise "".
func (r *replica) drawFault() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault != "" && r.random.IntN(3) == 0 {
		return r.fault
	}
	return ""
}

const (
	streamEvents      = 8
	eventInterval     = 15 * time.Millisecond
	slowResponseDelay = 600 * time.Millisecond
)

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(wire.Request)
	w.Header().Set(wire.Request, id)
	fault := r.drawFault()
	if q.Header.Get(wire.Expect) != r.id || fault == "refuse" {
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.runs.record(id)
	if fault == "slow" {
		time.Sleep(slowResponseDelay)
	}
	if fault == "reset" {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(wire.Seal, r.id)
	if !strings.Contains(q.URL.Path, "/gen/") {
		// The caller may have disconnected.
		_, _ = fmt.Fprintf(w, "%s|%s", id, body)
		return
	}
	r.stream(w, q, id, fault)
}

func (r *replica) stream(w http.ResponseWriter, q *http.Request, id, fault string) {
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	if last := q.Header.Get(wire.Resume); last != "" {
		if _, err := fmt.Sscanf(last, "%d", &from); err != nil {
			return
		}
	}
	for n := from + 1; n <= streamEvents; n++ {
		if fault == "break" && n > from+3 {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}
