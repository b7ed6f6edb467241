package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// deadlyPath is the path of the request that crashes each replica that begins to run it.
const deadlyPath = "/check/deadly"

// deadlyReplica is a place where one replica after the other runs. Each ends when it begins to
// run the deadly request; the next one starts some seconds later at the same address.
type deadlyReplica struct {
	rec      *record
	name     string
	zone     string
	address  string
	controls []string
	watch    *deadlyWatch
}

// deadlyWatch counts what reaches replicas.
type deadlyWatch struct {
	crash    bool // the deadly request crashes replicas
	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time
}

// backAfter is how long after a crash a replica is back.
const backAfter = 2 * time.Second

func (d *deadlyReplica) run() {
	for n := 1; ; n++ {
		listener, err := net.Listen("tcp", d.address)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		d.address = listener.Addr().String()
		s := &replica{
			rec: d.rec, id: fmt.Sprintf("%s-%d", d.name, n), zone: d.zone, address: d.address, controls: d.controls,
			born: time.Now().UnixMilli(), client: &http.Client{Timeout: time.Second}, runs: map[string]int{}, ended: make(chan struct{}),
		}
		server := &http.Server{IdleTimeout: 6 * time.Second}
		server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			expected := r.Header.Get("Expect-Replica")
			if r.URL.Path != deadlyPath || (expected != "" && expected != s.id) {
				s.ServeHTTP(w, r)
				return
			}
			now := time.Now()
			d.watch.mu.Lock()
			d.watch.arrivals = append(d.watch.arrivals, now)
			if d.watch.crash {
				d.watch.crashes = append(d.watch.crashes, now)
			}
			d.watch.mu.Unlock()
			if !d.watch.crash {
				s.ServeHTTP(w, r)
				return
			}
			d.rec.event("replica %s begins to run %s (attempt %s) and crashes", s.id, deadlyPath, r.Header.Get("Attempt-Id"))
			s.end()
			_ = server.Close()
			panic(http.ErrAbortHandler)
		})
		go s.announce()
		_ = server.Serve(listener)
		<-s.ended
		time.Sleep(backAfter)
	}
}

// sendDeadly sends the deadly request as a client does: after a failure it repeats an idempotent
// request, at another machine, as often as retries says. A refusal ends it.
func (f *fleet) sendDeadly(r *record, client *http.Client, n, retries int) {
	for try := range 1 + retries {
		m := f.machines[(n+try)%len(f.machines)]
		status, _ := sendPath(client, m.front(), deadlyPath, fmt.Sprintf("d%04d%d", n, try))
		r.event("client: GET %s at %s -> %s", deadlyPath, m.name, statusText(status))
		if status == 503 || status == 200 {
			return
		}
	}
}

// startDeadly starts a small system and replicas of the plain service. They crash on the deadly
// request if crash is set.
func startDeadly(r *record, f *fleet, replicas int, crash bool) *deadlyWatch {
	newSmallFleet(f)
	f.startAll()
	r.at(3 * time.Second)
	o := newOperator(r, f.controls())
	if target, _ := o.putUntil(1, configuration(1), r.started.Add(15*time.Second)); target == "" {
		cannotRun("the configuration was not acknowledged")
	}
	watch := &deadlyWatch{crash: crash}
	for i := range replicas {
		zone := []string{"dar-a", "dar-b", "dar-c"}[i%3]
		d := &deadlyReplica{rec: r, name: fmt.Sprintf("i-%d", i), zone: zone, address: f.ipOf(30+i) + ":0", controls: f.controls(), watch: watch}
		go d.run()
	}
	r.at(8 * time.Second)
	return watch
}

func newAttemptClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}
}

// playDeadlySlow lets a request that crashes replicas come again every four seconds, from one
// client that repeats it once after a failure.
func playDeadlySlow(r *record, f *fleet, trouble bool) bool {
	watch := startDeadly(r, f, 3, trouble)
	sound := make(chan *answers, 1)
	go func() { sound <- sendLoad(r, f, 200*time.Millisecond, r.started.Add(40*time.Second)) }()
	client := newAttemptClient()
	for n := 0; time.Since(r.started) < 40*time.Second; n++ {
		f.sendDeadly(r, client, n, 1)
		time.Sleep(4 * time.Second)
	}
	got := <-sound
	return watch.judge(r, time.Time{}, time.Time{}) && got.served.Load() > 0
}

// playDeadlyRestart lets a request that crashes replicas come again three times a second, until
// it is refused everywhere. All processes are killed and restarted then; once all machines have
// been in touch again, it comes again.
func playDeadlyRestart(r *record, f *fleet, trouble bool) bool {
	watch := startDeadly(r, f, 6, true)
	client := newAttemptClient()
	n := 0
	send := func(until time.Duration) {
		for ; time.Since(r.started) < until; n++ {
			f.sendDeadly(r, client, n, 0)
			time.Sleep(300 * time.Millisecond)
		}
	}
	send(20 * time.Second)
	killed, inTouch := time.Now(), time.Now()
	if trouble {
		for _, m := range f.machines {
			m.signal(syscall.SIGKILL)
		}
		time.Sleep(800 * time.Millisecond)
		for _, m := range f.machines {
			m.wait()
			m.start(false)
		}
		inTouch = time.Now().Add(2 * stableWindow)
	}
	r.at(30 * time.Second)
	send(45 * time.Second)
	return watch.judge(r, killed, inTouch)
}

// maxRetries is the number of retries of a request that may reach replicas later than
// stableWindow after it has crashed the third.
const maxRetries = 3

// judge counts the arrivals of the deadly request later than stableWindow after its third crash,
// without those from the kill of all processes until the machines were in touch again.
func (w *deadlyWatch) judge(r *record, killed, inTouch time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.crash {
		r.event("the request reached replicas %d times and crashed none", len(w.arrivals))
		return len(w.arrivals) > 0
	}
	if len(w.crashes) < 3 {
		cannotRun("only %d replicas crashed", len(w.crashes))
	}
	from, counted := w.crashes[2].Add(stableWindow), 0
	for _, at := range w.arrivals {
		if at.After(from) && !(at.After(killed) && at.Before(inTouch)) {
			counted++
		}
	}
	r.event("the deadly request reached replicas %d times; %d later than %v after its third crash, from machines in touch; %d are allowed",
		len(w.arrivals), counted, stableWindow, maxRetries)
	return counted <= maxRetries
}
