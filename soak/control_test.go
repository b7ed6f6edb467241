package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
)

type reply struct {
	status int
	body   string
	header http.Header
	err    error
}

func send(ctx context.Context, method, url, host, body string, header map[string]string) reply {
	q, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	q.Host = host
	for k, v := range header {
		q.Header.Set(k, v)
	}
	r, err := newClient().Do(q)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	return reply{r.StatusCode, string(data), r.Header, err}
}

// newClient returns a client that opens a connection for each request.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// control sends a request to the control address of an entry.
func (s *soak) control(p *process, method, path, body string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return send(ctx, method, "http://"+p.address(controlPort)+path, "control", body, nil)
}

// announce sends a replica's announcement to entries until one acknowledges it.
func (s *soak) announce(path, body string) bool {
	for range len(s.fleet.processes) {
		if s.control(s.randomEntry(), http.MethodPost, path, body).status == http.StatusOK {
			return true
		}
	}
	return false
}

func (s *soak) configuration(version uint64) string {
	var extra strings.Builder
	for i := range s.extraRoutes {
		fmt.Fprintf(&extra, `{"name":"extra-%d","host":"extra-%d.example","path_prefix":"/%d/","kind":"idempotent","timeout_ms":3000,"service":"s","attempts":2},
`, i, i%97, (version+uint64(i))%1000)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[
%s{"name":"gen","host":"h","path_prefix":"/gen/","kind":"stream","timeout_ms":4000,"goal_ms":300,"service":"s","attempts":2,"resumable":true},
{"name":"safe","host":"h","path_prefix":"/safe/","kind":"idempotent","timeout_ms":3000,"service":"s","attempts":2},
{"name":"once","host":"h","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":3000,"service":"s","attempts":1}],
"services":[{"name":"s","max_conns":%d}]}`, version, extra.String(), 50*len(s.fleet.processes))
}

// putConfiguration sends a version once and reports whether it was acknowledged.
// The caller retries otherwise.
func (s *soak) putConfiguration(version uint64) bool {
	s.mu.Lock()
	s.sentVersion = max(s.sentVersion, version)
	s.mu.Unlock()
	r := s.control(s.randomEntry(), http.MethodPost, wire.Put, s.configuration(version))
	if r.status != http.StatusOK {
		if r.status >= 400 && r.status < 500 {
			s.reportViolation("valid configuration %d was refused: %d %s", version, r.status, r.body)
		}
		return false
	}
	s.mu.Lock()
	s.ackedVersion = max(s.ackedVersion, version)
	s.mu.Unlock()
	return true
}

func (s *soak) runOperator() {
	random := s.newRandom("operator")
	for version := uint64(3); s.stop.Err() == nil; version += uint64(1 + random.IntN(4)) {
		for s.stop.Err() == nil && !s.putConfiguration(version) {
			time.Sleep(50 * time.Millisecond)
		}
		s.sleep(s.changePause + between(random, 100*time.Millisecond, 500*time.Millisecond))
	}
}

// sleep waits for d or until the load ends.
func (s *soak) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.stop.Done():
	}
}

// between returns a random duration.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// runReader checks that no read returns a version older than the last one
// acknowledged before the read.
func (s *soak) runReader() {
	for s.stop.Err() == nil {
		s.read(s.randomEntry())
		time.Sleep(30 * time.Millisecond)
	}
}

func (s *soak) read(p *process) (version uint64, ok bool) {
	s.mu.Lock()
	before := s.ackedVersion
	s.mu.Unlock()
	r := s.control(p, http.MethodGet, wire.Get, "")
	if r.err != nil || r.status != http.StatusOK {
		return 0, false
	}
	if _, err := fmt.Sscanf(r.body, `{"version":%d`, &version); err != nil {
		s.reportViolation("read returned %q instead of a configuration", r.body)
		return 0, false
	}
	if version < before {
		s.reportViolation("stale read: got configuration %d after %d was acknowledged", version, before)
	}
	if r.body != s.configuration(version) {
		s.reportViolation("configuration %d differs from the one that was sent", version)
	}
	return version, true
}

// awaitAgreement waits until each entry is ready, knows all entries and has the
// configuration that was acknowledged before. It returns what is missing.
func (s *soak) awaitAgreement(within time.Duration) (missing string) {
	s.mu.Lock()
	version := s.ackedVersion
	s.mu.Unlock()
	eventually(within, func() bool {
		found := make([]string, len(s.fleet.processes))
		var wait sync.WaitGroup
		for i, p := range s.fleet.processes {
			wait.Go(func() { found[i] = s.missingAt(p, version) })
		}
		wait.Wait()
		missing = strings.Join(found, "")
		return missing == ""
	})
	return missing
}

func (s *soak) missingAt(p *process, version uint64) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	client := jacinthplankv1connect.NewPeerServiceClient(newClient(), "http://"+p.address(peerPort))
	r, err := client.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return fmt.Sprintf("%s tells no status: %v; ", p.name, err)
	}
	known, number := len(r.Msg.Daemons), r.Msg.Version.GetRevision()
	if known == len(s.fleet.processes) && number >= version && p.isReady() {
		return ""
	}
	return fmt.Sprintf("%s knows %d entries, has configuration %d, %d was acknowledged, ready: %t; ", p.name, known, number, version, p.isReady())
}
