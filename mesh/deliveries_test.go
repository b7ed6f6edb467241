package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/coord/membership"
)

const (
	stubRoundTrip = 40 * time.Millisecond  // between failure domains
	announceLimit = 800 * time.Millisecond // of an endpoint's call, as package gateway has it
)

var errStubDown = errors.New("connection refused")

// syncStub is a peer that answers a sync when answer returns. Its methods may be called while no
// call is in progress.
type syncStub struct {
	answer func(ctx context.Context, call int) error // with the number of the call, from 0

	mu            sync.Mutex
	calls         int
	announcements int                  // in all calls
	answered      map[string]time.Time // of the first answer to a call with an endpoint that drains, by id
	inProgress    int
	peak          int // of inProgress
}

// stubTransport calls stubs by their address.
type stubTransport map[string]*syncStub

// RoundTrip implements http.RoundTripper.
func (s stubTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var req syncRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		return nil, err
	}
	if err := s[r.URL.Host].serve(r.Context(), &req); err != nil {
		return nil, err
	}
	body, err := json.Marshal(&syncResponse{From: facts{Incarnation: 1}})
	header := http.Header{"Content-Type": {"application/json"}}
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(bytes.NewReader(body)), Request: r}, err
}

func (s *syncStub) serve(ctx context.Context, req *syncRequest) error {
	s.mu.Lock()
	call := s.calls
	s.calls++
	s.announcements += len(req.Announcements)
	s.inProgress++
	s.peak = max(s.peak, s.inProgress)
	s.mu.Unlock()
	err := s.answer(ctx, call)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress--
	for _, a := range req.Announcements {
		if _, known := s.answered[a.ID]; !known && err == nil && a.State == announce.Draining {
			s.answered[a.ID] = time.Now()
		}
	}
	return err
}

// has reports whether a call that was answered announced an endpoint.
func (s *syncStub) has(i int) bool { return !s.answered[endpoint(i).ID].IsZero() }

// settle waits for what happens within a time.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func answersAfter(d time.Duration) func(context.Context, int) error {
	return func(ctx context.Context, _ int) error {
		select {
		case <-time.After(d):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// hangsIn never answers a call with the given number, and others after stubRoundTrip.
func hangsIn(stuck int) func(context.Context, int) error {
	return func(ctx context.Context, call int) error {
		if call == stuck {
			<-ctx.Done()
			return ctx.Err()
		}
		return answersAfter(stubRoundTrip)(ctx, call)
	}
}

// deliveringMesh is a mesh whose peers are stubs.
type deliveringMesh struct {
	*Mesh
	stubs stubTransport
}

func newDeliveringMesh(t *testing.T) *deliveringMesh {
	m := &deliveringMesh{idleMesh("me", nil), stubTransport{}}
	t.Cleanup(func() {
		time.Sleep(2 * deliveryAttempts * syncTimeout) // calls in progress end
		m.Stop()
	})
	m.client = &http.Client{Transport: m.stubs}
	m.pulling = true // the stubs serve no endpoints
	return m
}

func (m *deliveringMesh) add(name string, answer func(ctx context.Context, call int) error) *syncStub {
	s := &syncStub{answer: answer, answered: map[string]time.Time{}}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stubs[name] = s
	m.peers[name] = &peer{name: name, address: name, incarnation: 1}
	return s
}

// announceAll announces that endpoints drain, one every interval, and returns when each call
// was made and how long it took.
func (m *deliveringMesh) announceAll(ctx context.Context, first, n int, interval time.Duration) (at []time.Time, took []time.Duration) {
	at, took = make([]time.Time, n), make([]time.Duration, n)
	var wg sync.WaitGroup
	for i := range n {
		at[i] = time.Now()
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, announceLimit)
			defer cancel()
			e := endpoint(first + i)
			e.State = announce.Draining
			m.Announce(ctx, e)
			took[i] = time.Since(at[i])
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return at, took
}

func (m *Mesh) undelivered() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		n += len(p.outbox.waiting)
	}
	return n
}

// Guards against traffic that grows with the square of the endpoints that leave together, against
// a call that returns with the sync that was in progress when it came, which doesn't have its
// announcement, and against one that waits for more than the next.
func TestAnnouncementsGoWithNextDelivery(t *testing.T) {
	const endpoints = 100
	for _, entries := range []int{2, 26, 60} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				m := newDeliveringMesh(t)
				for i := range entries - 1 {
					m.add(fmt.Sprint(i), answersAfter(stubRoundTrip))
				}
				at, took := m.announceAll(t.Context(), 0, endpoints, time.Millisecond)
				for i := range endpoints {
					g.Expect(took[i]).To(BeNumerically("<=", 2*stubRoundTrip), "it waits for one sync at most")
					for _, p := range m.stubs {
						g.Expect(p.answered[endpoint(i).ID]).To(BeTemporally("~", at[i], took[i]), "told before the call returns")
					}
				}
				for _, p := range m.stubs {
					g.Expect(p.announcements).To(Equal(endpoints), "each is sent once")
					g.Expect(p.calls).To(BeNumerically("<=", 2+endpoints*int(time.Millisecond)/int(stubRoundTrip)))
					g.Expect(p.peak).To(Equal(1))
				}
				g.Expect(m.undelivered()).To(BeZero())
			})
		})
	}
}

// Guards against an announcement that waits until a sync that is stuck fails, for a lost packet
// or a connection that went silent.
func TestAnnouncementIsNotHeldUpByStuckSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newDeliveringMesh(t)
		p := m.add("p", hangsIn(0))
		_, took := m.announceAll(t.Context(), 0, 2, 10*time.Millisecond)
		g.Expect(took[1]).To(BeNumerically("<=", deliveryHedgeDelay+stubRoundTrip))
		g.Expect(took[0]).To(BeNumerically("<=", deliveryHedgeDelay+stubRoundTrip), "the next sync has it too")
		g.Expect(p.has(0) && p.has(1)).To(BeTrue())
		synctest.Wait()
		g.Expect(p.calls).To(Equal(2))
	})
}

// Guards against a peer that hangs and holds up announcements to others, or holds ever more calls.
func TestAnnouncementsToOthersAreNotHeldUpByPeerThatHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newDeliveringMesh(t)
		hanging, sound := m.add("hanging", answersAfter(time.Hour)), m.add("sound", answersAfter(stubRoundTrip))
		const endpoints, interval = 600, 10 * time.Millisecond
		at, took := m.announceAll(t.Context(), 0, endpoints, interval)
		for i := range endpoints {
			g.Expect(took[i]).To(BeNumerically("<=", announceLimit))
			g.Expect(sound.answered[endpoint(i).ID]).To(BeTemporally("~", at[i], 2*stubRoundTrip))
		}
		const lasted = endpoints * interval
		g.Expect(hanging.peak).To(BeNumerically("<=", maxDeliverySyncs))
		g.Expect(hanging.calls).To(BeNumerically("<=", maxDeliverySyncs*(2+int(lasted/syncTimeout))))
		settle(deliveryAttempts * syncTimeout)
		g.Expect(m.undelivered()).To(BeZero(), "nothing is left behind")
		hanging.answer = answersAfter(stubRoundTrip)
		m.announceAll(t.Context(), endpoints, 1, 0)
		for i := range endpoints + 1 {
			g.Expect(hanging.has(i)).To(BeTrue(), "it gets all once it answers")
		}
	})
}

// Guards against calls that wait for a peer that is down or answers too late for longer than two
// attempts take, though syncs fail that began for others.
func TestAnnouncementsGiveUpPeersTogether(t *testing.T) {
	for name, answer := range map[string]func(context.Context, int) error{
		"late":                answersAfter(syncTimeout + 100*time.Millisecond),
		"refuses connections": func(context.Context, int) error { return errStubDown },
		"refuses slowly": func(ctx context.Context, call int) error {
			return errors.Join(answersAfter(dialTimeout)(ctx, call), errStubDown)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				m := newDeliveringMesh(t)
				p := m.add("p", answer)
				const endpoints = 60
				var wg sync.WaitGroup
				for i := range endpoints {
					wg.Go(func() {
						time.Sleep(time.Duration(i) * 25 * time.Millisecond)
						started, e := time.Now(), endpoint(i)
						e.State = announce.Draining
						m.Announce(t.Context(), e)
						g.Expect(time.Since(started)).To(BeNumerically("<=", deliveryAttempts*syncTimeout))
					})
				}
				wg.Wait()
				synctest.Wait()
				g.Expect(m.undelivered()).To(BeZero())
				g.Expect(p.peak).To(BeNumerically("<=", maxDeliverySyncs))
				g.Expect(p.calls).To(BeNumerically("<=", deliveryAttempts*endpoints))
			})
		})
	}
}

// Guards against a call that outlives its context, and against an announcement that is dropped
// because its caller has gone.
func TestAnnouncementIsDeliveredAfterItsCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newDeliveringMesh(t)
		p := m.add("p", answersAfter(deliveryHedgeDelay-time.Millisecond))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, took := m.announceAll(ctx, 0, 3, time.Millisecond)
		for i := range took {
			g.Expect(took[i]).To(BeNumerically("<=", 10*time.Millisecond))
		}
		settle(2 * deliveryHedgeDelay)
		g.Expect(p.has(0) && p.has(1) && p.has(2)).To(BeTrue())
		g.Expect(p.calls).To(Equal(2))
		g.Expect(m.undelivered()).To(BeZero())
	})
}

// Guards against an announcement that waits for the periodic sync with the same peer, and against
// a call that goes on waiting once that sync has told the peer.
func TestAnnouncementAndPeriodicSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newDeliveringMesh(t)
		p := m.add("p", hangsIn(0))
		m.syncPeers(t.Context(), 0)
		synctest.Wait()
		_, took := m.announceAll(t.Context(), 0, 1, 0)
		g.Expect(took[0]).To(Equal(stubRoundTrip), "the periodic sync is stuck")
		settle(syncTimeout + maxSyncBackoff)

		p.answer = hangsIn(p.calls)
		go func() {
			time.Sleep(10 * time.Millisecond)
			m.syncPeers(t.Context(), 0)
		}()
		_, took = m.announceAll(t.Context(), 1, 1, 0)
		g.Expect(took[0]).To(Equal(10*time.Millisecond+stubRoundTrip), "the periodic sync told the peer")
		settle(syncTimeout)
		g.Expect(m.undelivered()).To(BeZero())
	})
}

// Guards against an entry that is never told of endpoints that leave while it restarts, and
// against calls that wait for the process that ended.
func TestAnnouncementsReachEntryThatRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newDeliveringMesh(t)
		p := m.add("p", answersAfter(stubRoundTrip))
		m.announceAll(t.Context(), 0, 10, time.Millisecond)
		p.answer = func(context.Context, int) error { return errStubDown }
		_, took := m.announceAll(t.Context(), 10, 10, time.Millisecond)
		for _, d := range took {
			g.Expect(d).To(BeZero(), "it refuses connections")
		}
		p.answer, p.announcements = answersAfter(stubRoundTrip), 0
		m.memberChanged(membership.Change{After: membership.Record{Name: "p", Address: "p", Incarnation: 2}})
		m.announceAll(t.Context(), 20, 1, 0)
		g.Expect(p.announcements).To(Equal(21), "a new process knows none")
	})

	g := NewWithT(t)
	f := newTestFleet(t, 5)
	f.awaitLeader(g)
	const endpoints = 40
	for i := range endpoints {
		f.entries[0].Announce(t.Context(), endpoint(i))
	}
	for _, e := range f.entries {
		g.Eventually(func() int { return len(e.ReadyEndpoints("s")) }, "10s", "10ms").Should(Equal(endpoints))
	}
	f.entries[4].syncDelay.Store(int64(100 * time.Millisecond)) // so that it ends while syncs are in progress
	var wg sync.WaitGroup
	for i := range endpoints {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			e := endpoint(i)
			e.State, e.Sequence = announce.Draining, 2
			f.entries[0].Announce(t.Context(), e)
		})
	}
	time.Sleep(150 * time.Millisecond)
	restarted := f.restart(g, 4)
	wg.Wait()
	g.Eventually(func() int { return len(restarted.KnownEndpoints("s")) }, "10s", "10ms").Should(Equal(endpoints))
	for _, e := range f.entries {
		g.Eventually(func() int { return len(e.ReadyEndpoints("s")) }, "10s", "10ms").Should(BeZero())
	}
	g.Eventually(f.entries[0].undelivered, "5s", "10ms").Should(BeZero())
}
