package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in of a plain replica. It announces itself as PROTOCOL.md tells, and
// answers each request that names it.
type replica struct {
	id, service, address, zone string
	fleet                      *fleet
	born                       int64
	server                     *http.Server
	stopped                    chan struct{}

	mu      sync.Mutex
	callSeq int
	ran     map[string]int // by request id
}

func newReplica(f *fleet, id, service, ip, zone string) (*replica, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, service: service, address: l.Addr().String(), zone: zone, fleet: f,
		born: time.Now().UnixMilli(), stopped: make(chan struct{}), ran: map[string]int{},
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	go r.announce()
	return r, nil
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/healthz" {
		w.Header().Set("Replica-Id", r.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	attempt := req.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	switch expected := req.Header.Get("Expect-Replica"); {
	case expected != "" && expected != r.id:
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case attempt == "":
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	r.ran[attempt]++
	r.mu.Unlock()
	r.fleet.record.printf("replica %s runs %s %s %s", r.id, attempt, req.Method, req.URL.Path)
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("Replica-Seal", "seal."+r.id+"."+attempt)
	_, _ = fmt.Fprintf(w, "answer of %s to %s", r.id, attempt)
}

// announce sends heartbeats to one machine after the other until one acknowledges it.
func (r *replica) announce() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		r.mu.Lock()
		r.callSeq++
		body := fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","cold_left_ms":0,"call_seq":%d,"born":%d}`,
			r.service, r.address, r.zone, r.callSeq, r.born)
		r.mu.Unlock()
		for i := range r.fleet.machines {
			m := r.fleet.machines[(turn+i)%len(r.fleet.machines)]
			if status, _, _ := call("POST", m.address(r.fleet.ports.control), "", "/Replicas.Heartbeat/"+r.id, body, time.Second, map[string]string{"Content-Type": "application/json"}); status/100 == 2 {
				break
			}
		}
		select {
		case <-r.stopped:
			return
		case <-ticker.C:
		}
	}
}

func (r *replica) stop() {
	close(r.stopped)
	_ = r.server.Close()
}

// runs returns how often requests were run.
func (r *replica) runs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, n := range r.ran {
		total += n
	}
	return total
}

const (
	hostName = "obra.example"
	apiKey   = "k-7f3a91c2d0"
)

// configuration returns a configuration with two routes to the plain service.
func configuration(version int) string {
	return strings.ReplaceAll(fmt.Sprintf(`{"version":%d,"routes":[
{"name":"once","host":"HOST","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":2000,"goal_ms":300,"priority":2,"service":"registry","attempts":1,"public":false},
{"name":"look","host":"HOST","path_prefix":"/look/","kind":"idempotent","timeout_ms":2000,"goal_ms":300,"priority":2,"service":"registry","attempts":2,"public":false}],
"services":[{"name":"registry","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":[%q],"priority":1}]}`, version, apiKey), "HOST", hostName)
}

// operator sends configurations. It sends one without a clear answer again, to the next machine.
type operator struct{ fleet *fleet }

// put sends a configuration until it is acknowledged or the time is over.
func (o *operator) put(version int, limit time.Time) bool {
	body := configuration(version)
	wait := 100 * time.Millisecond
	for turn := 0; time.Now().Before(limit); turn++ {
		m := o.fleet.machines[turn%len(o.fleet.machines)]
		status, text, _ := call("POST", m.address(o.fleet.ports.control), "", "/Config.Put", body, time.Second, map[string]string{"Content-Type": "application/json"})
		o.fleet.record.printf("operator: configuration %d to %s: %d %s", version, m.name, status, firstLine(text))
		if status == http.StatusOK {
			return true
		}
		time.Sleep(wait)
		wait = min(wait*3/2, time.Second)
	}
	return false
}

// get reads the configuration once.
func (o *operator) get(m *machine) (status int, text string) {
	status, text, _ = call("GET", m.address(o.fleet.ports.control), "", "/Config.Get", "", time.Second, nil)
	o.fleet.record.printf("operator: reads the configuration at %s: %d %s", m.name, status, firstLine(text))
	return status, text
}

func firstLine(text string) string {
	text, _, _ = strings.Cut(text, "\n")
	return text[:min(len(text), 120)]
}

// callers send requests to the machines in turn.
type callers struct {
	fleet *fleet

	mu           sync.Mutex
	sent, served int
	statuses     map[int]int
}

// run sends a request every interval until the time is over. Each is on a connection of its own.
func (c *callers) run(until time.Time, interval time.Duration) {
	c.statuses = map[int]int{}
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		wg.Go(func() { c.send(n) })
		time.Sleep(interval)
	}
	wg.Wait()
}

func (c *callers) send(n int) {
	method, path := "GET", fmt.Sprintf("/look/%d", n)
	if n%2 == 1 {
		method, path = "POST", fmt.Sprintf("/once/%d", n)
	}
	m := c.fleet.machines[n%len(c.fleet.machines)]
	id := fmt.Sprintf("%016x", time.Now().UnixNano()+int64(n))
	headers := map[string]string{"Attempt-Id": id, "Deadline-Ms": "4000", "Key": apiKey}
	body := ""
	if method == "POST" {
		body = "register"
	}
	status, text, header := call(method, m.address(c.fleet.ports.front), hostName, path, body, 4*time.Second, headers)
	c.fleet.record.printf("client: %s %s %s to %s: %d, seal %q, %s", id, method, path, m.name, status, header.Get("Replica-Seal"), firstLine(text))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	c.statuses[status]++
	if status == http.StatusOK && header.Get("Replica-Seal") != "" {
		c.served++
	}
}
