package sessions_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/daemon"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/engine/emulator"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/settings"
)

// member is one running daemon of a session.
type member struct {
	daemon *daemon.Daemon
	cancel context.CancelFunc
	done   chan struct{}
}

// stop shuts the daemon down gracefully and waits for it.
func (m *member) stop() {
	m.cancel()
	<-m.done
}

// testFleet holds the daemons, engines and plain service of one session.
type testFleet struct {
	t       testing.TB
	g       *WithT
	members map[string]*member
	entry   string // caller address of the entry
	service *countingService
	engine  engine.Engine // replaces the emulated engines if not nil
	ids     atomic.Int64
}

// countingService is a plain service that counts the requests it runs.
type countingService struct {
	server *httptest.Server
	mu     sync.Mutex
	runs   int
}

func newCountingService(t testing.TB) *countingService {
	s := &countingService{}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(s.server.Close)
	return s
}

func (s *countingService) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.runs++
	runs := s.runs
	s.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"run":%d,"method":%q,"path":%q,"body":%q}`+"\n", runs, r.Method, r.URL.RequestURI(), body)
}

// newTestFleet starts the daemons of a session and waits until the entry has
// discovered every endpoint.
func newTestFleet(t testing.TB, s session) *testFleet {
	f := &testFleet{t: t, g: NewWithT(t), members: map[string]*member{}, service: newCountingService(t), engine: s.engine}
	configuration, err := fleet.Parse("configuration", []byte(s.Configuration))
	f.g.Expect(err).NotTo(HaveOccurred())
	var seeds []string
	for i, text := range s.Daemons {
		d := f.start(text, configuration, seeds)
		if i == 0 {
			seeds = []string{d.Address()}
			f.entry = d.CallerAddress()
		}
	}
	f.awaitReady(s)
	return f
}

func (f *testFleet) start(text string, c *fleet.Configuration, seeds []string) *daemon.Daemon {
	text = strings.ReplaceAll(text, "DATA", f.t.TempDir())
	s, err := settings.Parse("settings", []byte(text))
	f.g.Expect(err).NotTo(HaveOccurred())
	s.Instance.Seeds = seeds
	if s.Endpoint.Service != "" {
		s.Endpoint.URL = f.service.server.URL
	}
	o := daemon.Options{
		Log:           slog.New(slog.NewTextHandler(io.Discard, nil)),
		Configuration: c,
		NewID:         func() string { return fmt.Sprintf("req-%d", f.ids.Add(1)) },
	}
	if s.Endpoint.Engine != "" && f.engine != nil {
		o.Engine = f.engine
	} else if s.Endpoint.Engine != "" {
		e := emulator.New(emulator.Config{Name: s.Instance.Name, Seed: 1, Models: engineNames(c), ChecksFencing: true})
		f.t.Cleanup(e.Close)
		o.Engine = e
	}
	d, err := daemon.New(s, o)
	f.g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{daemon: d, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(m.done)
		_ = d.Run(ctx)
	}()
	f.members[s.Instance.Name] = m
	f.t.Cleanup(m.stop)
	return d
}

// awaitReady waits until the entry is ready, has discovered the session's endpoints
// and, with control duty, sees a quorum leader.
func (f *testFleet) awaitReady(s session) {
	f.g.Eventually(func() int {
		response, err := http.Get("http://" + f.entry + "/readyz")
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		return response.StatusCode
	}, 10*time.Second, 20*time.Millisecond).Should(Equal(http.StatusOK))
	entry := f.members[s.entryName()].daemon
	f.g.Eventually(entry.EndpointCount, 10*time.Second, 20*time.Millisecond).Should(Equal(len(s.Daemons) - 1))
	f.g.Eventually(func() bool { return hasLeader(entry.Address()) }, 10*time.Second, 20*time.Millisecond).Should(BeTrue())
}

func engineNames(c *fleet.Configuration) []string {
	var names []string
	for _, m := range c.Models {
		names = append(names, m.EngineName)
	}
	return names
}

// hasLeader reports whether the daemon's quorum has a leader. It is true for a
// daemon without control duty.
func hasLeader(address string) bool {
	client := jacinthplankv1connect.NewPeerServiceClient(http.DefaultClient, "http://"+address)
	reply, err := client.Status(context.Background(), connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return false
	}
	q := reply.Msg.GetQuorum()
	return q == nil || q.GetHasQuorum() && q.GetLeader() != ""
}
