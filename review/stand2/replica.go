package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a server of the plain service. It announces itself and answers each request with
// its body.
type replica struct {
	rec      *record
	id, zone string
	address  string
	controls []string
	born     int64
	sequence atomic.Int64
	seals    atomic.Int64
	client   *http.Client
	ended    chan struct{} // closed when it has ended; nil if it never does

	mu   sync.Mutex
	runs map[string]int // by attempt
}

// end ends the replica, without a word to anyone.
func (s *replica) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ended:
	default:
		close(s.ended)
	}
}

// startReplica starts a replica of the service registry at a free port of an address.
func startReplica(rec *record, id, zone, ip string, controls []string) *replica {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("replica: %v", err)
	}
	s := &replica{
		rec: rec, id: id, zone: zone, address: listener.Addr().String(), controls: controls, born: time.Now().UnixMilli(),
		client: &http.Client{Timeout: time.Second}, runs: map[string]int{},
	}
	server := &http.Server{Handler: s, IdleTimeout: 6 * time.Second}
	go func() { _ = server.Serve(listener) }()
	go s.announce()
	return s
}

// announce sends a heartbeat to one machine after the other until one acknowledges it.
func (s *replica) announce() {
	for first := 0; ; first++ {
		for try := range s.controls {
			if s.beat(s.controls[(first+try)%len(s.controls)]) {
				break
			}
		}
		select {
		case <-s.ended:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (s *replica) beat(control string) bool {
	body, err := json.Marshal(map[string]any{
		"service": "registry", "addr": s.address, "zone": s.zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_left_ms": 0, "call_seq": s.sequence.Add(1), "born": s.born,
	})
	if err != nil {
		cannotRun("heartbeat: %v", err)
	}
	resp, err := s.client.Post("http://"+control+"/Replicas.Heartbeat/"+s.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

// ServeHTTP implements http.Handler.
func (s *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=5")
	if r.URL.Path == "/healthz" {
		w.Header().Set("Replica-Id", s.id)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if expected := r.Header.Get("Expect-Replica"); expected != "" && expected != s.id {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs[attempt]++
	s.mu.Unlock()
	s.rec.event("replica %s runs %s %s (attempt %s, tenant %s)", s.id, r.Method, r.URL.RequestURI(), attempt, r.Header.Get("Tenant"))
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("Replica-Seal", fmt.Sprintf("%s.%d", s.id, s.seals.Add(1)))
	_, _ = w.Write(append([]byte(attempt+"|"), body...))
}
