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

// replica is an endpoint's stand-in. It notes what it ran.
type replica struct {
	id, address string
	book        *book

	mu      sync.Mutex
	random  *rand.Rand
	trouble string // "", "refuse", "reset", "break" or "slow"
}

// book is what all replicas ran, by request id.
type book struct {
	mu    sync.Mutex
	runs  map[string]int
	began map[string]time.Time // of the last run
}

func newBook() *book { return &book{runs: map[string]int{}, began: map[string]time.Time{}} }

func (b *book) run(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
	b.began[id] = time.Now()
}

func (b *book) ran(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// newReplica serves on listener.
func newReplica(id string, l net.Listener, b *book, seed uint64) *replica {
	r := &replica{id: id, address: l.Addr().String(), book: b, random: rand.New(rand.NewPCG(seed, uint64(len(id))))}
	go func() {
		// The listener is closed at the end of the run.
		_ = (&http.Server{Handler: r}).Serve(l)
	}()
	return r
}

func (r *replica) set(trouble string) {
	r.mu.Lock()
	r.trouble = trouble
	r.mu.Unlock()
}

// strikes tells whether this request meets the trouble of the moment.
func (r *replica) strikes() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trouble != "" && r.random.IntN(3) == 0 {
		return r.trouble
	}
	return ""
}

const (
	streamEvents = 8
	eventPause   = 15 * time.Millisecond
	slowTime     = 600 * time.Millisecond
)

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(wire.Request)
	w.Header().Set(wire.Request, id)
	trouble := r.strikes()
	if q.Header.Get(wire.Expect) != r.id || trouble == "refuse" {
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.book.run(id)
	if trouble == "slow" {
		time.Sleep(slowTime)
	}
	if trouble == "reset" {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(wire.Seal, r.id)
	if !strings.Contains(q.URL.Path, "/gen/") {
		// A caller that has gone is not told.
		_, _ = fmt.Fprintf(w, "%s|%s", id, body)
		return
	}
	r.stream(w, q, id, trouble)
}

func (r *replica) stream(w http.ResponseWriter, q *http.Request, id, trouble string) {
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	if last := q.Header.Get(wire.Resume); last != "" {
		if _, err := fmt.Sscanf(last, "%d", &from); err != nil {
			return
		}
	}
	for n := from + 1; n <= streamEvents; n++ {
		if trouble == "break" && n > from+3 {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(eventPause)
	}
}
