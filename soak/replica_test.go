package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a fake endpoint that records the requests it runs.
type replica struct {
	id      string
	run     string // differs between two runs of the same replica
	runs    *runLog
	server  *http.Server
	proxy   *proxy
	running atomic.Int64
	born    time.Time

	mu       sync.Mutex
	random   *rand.Rand
	fault    string // "", "refuse", "reset", "break" or "slow"
	faults   int    // odd while there is a fault
	state    string // announced: "ready", "draining" or "" after the replica has left
	sequence int    // of the announcements
	limit    rateLimit
	wait     statement // that it wants no requests
	leaving  statement // that it leaves

	endOnce  sync.Once
	onDeadly func(r *replica, from origin) // ends the replica
}

// runLog records the runs of all replicas by request ID.
type runLog struct {
	mu      sync.Mutex
	runs    map[string][]string // runs of replicas
	origins map[string]origin
}

func newRunLog() *runLog { return &runLog{runs: map[string][]string{}, origins: map[string]origin{}} }

func (b *runLog) begin(id string, o origin) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.origins[id] = o
}

func (b *runLog) origin(id string) origin {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.origins[id]
}

func (b *runLog) record(id, run string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id] = append(b.runs[id], run)
}

// of returns the runs of replicas that ran a request.
func (b *runLog) of(id string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.runs[id])
}

func (b *runLog) count(id string) int { return len(b.of(id)) }

// newReplica starts a replica and a proxy in front of it.
func newReplica(id, run string, b *runLog, random *rand.Rand) (*replica, error) {
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	frontend, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		_ = backend.Close()
		return nil, err
	}
	r := &replica{id: id, run: run, runs: b, random: random, born: time.Now(), state: "ready"}
	r.proxy = newProxy(frontend, backend.Addr().String())
	r.server = &http.Server{Handler: r}
	go func() {
		// The server is closed by close.
		_ = r.server.Serve(backend)
	}()
	return r, nil
}

// close ends the replica and its connections.
func (r *replica) close() {
	r.proxy.close()
	_ = r.server.Close()
}

// heartbeat returns the next announcement, or "" after the replica has left.
func (r *replica) heartbeat() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "" {
		return ""
	}
	r.sequence++
	return fmt.Sprintf(`{"service":"s","addr":%q,"zone":"z","slots":6,"state":%q,"call_seq":%d,"born":%d}`,
		r.proxy.listener.Addr(), r.state, r.sequence, r.born.UnixMilli())
}

func (r *replica) setState(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
}

func (r *replica) setFault(fault string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if (fault != "") != (r.fault != "") {
		r.faults++
	}
	r.fault = fault
}

// faultCounts returns the fault counts of the replica and its proxy. They change with
// each fault and are odd during one.
func (r *replica) faultCounts() [2]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return [2]int{r.faults, r.proxy.faultCount()}
}

// draw returns the active fault for one request in three, otherwise "", and the
// time that the request takes.
func (r *replica) draw() (fault string, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault != "" && r.random.IntN(3) == 0 {
		fault = r.fault
	}
	duration = time.Duration(r.random.Int64N(int64(shortRun)))
	if r.random.IntN(10) == 0 {
		duration = time.Duration(r.random.Int64N(int64(longRun)))
	}
	return fault, duration
}

const (
	streamEvents      = 8
	eventInterval     = 15 * time.Millisecond
	slowResponseDelay = 600 * time.Millisecond
	shortRun          = 4 * time.Millisecond   // most requests
	longRun           = 400 * time.Millisecond // one in ten
)

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.running.Add(1)
	defer r.running.Add(-1)
	id := q.Header.Get(wire.Request)
	w.Header().Set(wire.Request, id)
	r.mu.Lock()
	now, from := time.Now(), r.runs.origin(id)
	limit, stated := r.limit.record(from, now)
	waits := r.wait.record(from, r.proxy, waitNotice, now)
	leaves := r.leaving.record(from, r.proxy, leavingNotice, now)
	waitUntil := r.wait.until
	r.mu.Unlock()
	if leaves {
		w.Header().Set(wire.Leaving, "1")
	}
	if waits {
		w.Header().Set(wire.RetryAfter, seconds(waitUntil.Sub(now)))
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if stated {
		w.Header().Set(wire.RateLimit, limit)
	}
	fault, duration := r.draw()
	if q.Header.Get(wire.Expect) != r.id || fault == "refuse" {
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.serveDeadly(q) {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.runs.record(id, r.run)
	if fault == "slow" {
		time.Sleep(slowResponseDelay)
	}
	if fault == "reset" {
		panic(http.ErrAbortHandler)
	}
	if !strings.Contains(q.URL.Path, shortKind) {
		time.Sleep(duration)
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
