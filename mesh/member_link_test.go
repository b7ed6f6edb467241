package mesh

import (
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

// memberLink relays connections to a member and can be disturbed like a network: what isn't
// passed on is lost without a reset.
type memberLink struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	epoch       int  // connections of an earlier epoch are silent for good
	isSilent    bool // connections, also new ones, pass nothing on for now
	noResponses bool // nothing of the member is passed on for now
	requestLeft int  // bytes of requests that are passed on before the connection goes silent; -1 without bound
	bytesPerSec int  // 0 without bound
	free        time.Time
}

func newMemberLink(t *testing.T, target string) *memberLink {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // ends the relay
	link := &memberLink{listener: l, target: target, requestLeft: -1}
	go link.run(t)
	return link
}

func (l *memberLink) address() string { return l.listener.Addr().String() }

func (l *memberLink) set(change func(l *memberLink)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *memberLink) run(t *testing.T) {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		t.Cleanup(func() { _, _ = client.Close(), server.Close() }) // relayed connections end with the test
		l.mu.Lock()
		epoch := l.epoch
		l.mu.Unlock()
		go l.relay(server, client, epoch, true)
		go l.relay(client, server, epoch, false)
	}
}

// relay copies one direction of a connection.
func (l *memberLink) relay(to, from net.Conn, epoch int, isRequest bool) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if l.passes(0, epoch, isRequest) {
				_ = to.Close()
			}
			return
		}
		if l.passes(n, epoch, isRequest) {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
	}
}

// passes waits until n bytes may be passed on and reports whether they are, or lost.
func (l *memberLink) passes(n, epoch int, isRequest bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isRequest && l.requestLeft >= 0 {
		if l.requestLeft = max(0, l.requestLeft-n); l.requestLeft == 0 {
			return false
		}
	}
	if l.isSilent || epoch != l.epoch || (l.noResponses && !isRequest) {
		// A connection that lost bytes stays useless.
		return false
	}
	if l.bytesPerSec > 0 && isRequest {
		now := time.Now()
		if l.free.Before(now) {
			l.free = now
		}
		l.free = l.free.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSec))
		wait := time.Until(l.free)
		l.mu.Unlock()
		time.Sleep(wait)
		l.mu.Lock()
	}
	return true
}

// healedWithin is the time after the end of a disturbance within which votes and heartbeats have
// to pass again.
const healedWithin = 2 * time.Second

// TestMembersTalkSoonAfterDisturbance guards against sends to a member that hang after its link
// was disturbed: votes that don't arrive while all members run.
func TestMembersTalkSoonAfterDisturbance(t *testing.T) {
	t.Parallel()
	large := make([]byte, 1<<20)
	for name, test := range map[string]struct {
		disturb func(l *memberLink)
		heal    func(l *memberLink)
		large   int // messages of 1 MiB that are sent meanwhile
	}{
		"silent for some time": {
			disturb: func(l *memberLink) { l.isSilent = true },
			heal:    func(l *memberLink) { l.isSilent = false },
		},
		"silent, and old connections stay so": {
			disturb: func(l *memberLink) { l.isSilent = true },
			heal:    func(l *memberLink) { l.isSilent, l.epoch = false, l.epoch+1 },
		},
		"in the middle of a request": {
			disturb: func(l *memberLink) { l.requestLeft = 100 << 10 },
			heal:    func(l *memberLink) { l.requestLeft, l.epoch = -1, l.epoch+1 },
			large:   200,
		},
		"responses only": {
			disturb: func(l *memberLink) { l.noResponses = true },
			heal:    func(l *memberLink) { l.noResponses, l.epoch = false, l.epoch+1 },
			large:   20,
		},
		"slow link": {
			disturb: func(l *memberLink) { l.bytesPerSec = 20_000_000 / 8 },
			heal:    func(l *memberLink) { l.bytesPerSec = 0 },
			large:   100,
		},
		"silent, then slow": {
			disturb: func(l *memberLink) { l.isSilent = true },
			heal:    func(l *memberLink) { l.isSilent, l.epoch, l.bytesPerSec = false, l.epoch+1, 20_000_000/8 },
			large:   200,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			stub := newQuorumStub(t)
			link := newMemberLink(t, stub.address)
			m := idleMesh("a", nil)
			t.Cleanup(m.Stop)
			to := quorum.Member{Name: "b", Address: link.address(), Disk: "d"}
			send := func(message string) { m.transport.Send(to, [][]byte{[]byte(message)}) }
			vote := func(term uint64) string {
				data, err := quorum.EncodeMessage(quorum.Message{Kind: quorum.PreVote, From: "a", To: "d", Cluster: "c", Term: term})
				g.Expect(err).NotTo(HaveOccurred())
				return string(data)
			}
			g.Eventually(func() bool {
				send("before")
				send(vote(1))
				return stub.has("before") && stub.has(vote(1))
			}).WithTimeout(5 * time.Second).Should(BeTrue())

			link.set(test.disturb)
			end := time.Now().Add(5 * time.Second)
			for sent := 0; time.Now().Before(end); {
				send("heartbeat")
				send(vote(2))
				for ; sent < test.large && time.Until(end) < 2*time.Second; sent++ {
					m.transport.SendBulk(to, [][]byte{large})
				}
				time.Sleep(25 * time.Millisecond)
			}
			link.set(test.heal)
			healed := time.Now()
			received := stub.received.Load()
			send(vote(3))
			arrives := func(what string, hasArrived func() bool) {
				g.Eventually(func() bool { send("after"); return hasArrived() }).
					WithTimeout(30 * time.Second).WithPolling(25 * time.Millisecond).Should(BeTrue())
				t.Logf("%s arrived %v after the end", what, time.Since(healed))
				g.Expect(time.Since(healed)).To(BeNumerically("<", healedWithin), what)
			}
			arrives("vote", func() bool { return stub.has(vote(3)) })
			arrives("message of the leader", func() bool { return stub.received.Load() > received+1 })
			if test.large == 0 {
				arrives("heartbeat", func() bool { return stub.has("after") })
			}
		})
	}
}
