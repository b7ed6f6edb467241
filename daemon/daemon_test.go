package daemon_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/daemon"
	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/settings"
)

// shutdownTimeout bounds startup, and a shutdown with no requests in progress.
const shutdownTimeout = 10 * time.Second

// TestShutdownDoesNotWaitForFrozenPeer guards against a shutdown that hangs when
// a peer freezes in the middle of a call: http.Server.Shutdown alone would wait
// for it forever.
func TestShutdownDoesNotWaitForFrozenPeer(t *testing.T) {
	g := NewWithT(t)
	s := settings.Defaults()
	s.Instance = settings.Instance{
		Name: "entry-1", FailureDomain: "north", Listen: "127.0.0.1:0",
		Duties: []settings.Duty{settings.DutyEntry},
	}
	s.Entry = settings.Entry{Listen: "127.0.0.1:0"}
	d, err := daemon.New(s, daemon.Options{Log: slog.New(slog.DiscardHandler)})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	g.Eventually(func() int { return getStatus("http://" + d.Address() + "/healthz") }, shutdownTimeout).Should(Equal(http.StatusOK))

	peer, err := net.Dial("tcp", d.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer peer.Close()
	_, err = fmt.Fprint(peer, "POST /jacinthplank.v1.PeerService/Exchange HTTP/1.1\r\nHost: peer\r\n"+
		"Content-Type: application/proto\r\nContent-Length: 100\r\n\r\nhalf")
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(100 * time.Millisecond) // lets the server start the call
	cancel()
	g.Eventually(done, shutdownTimeout).Should(Receive(BeNil()))
}

// TestShutdownTellsCallersFromItsStart guards against callers that keep their connections to an entry that drains, and
// send on them until it closes them.
func TestShutdownTellsCallersFromItsStart(t *testing.T) {
	g := NewWithT(t)
	s := settings.Defaults()
	s.Instance = settings.Instance{
		Name: "entry-1", FailureDomain: "north", Listen: "127.0.0.1:0",
		Duties: []settings.Duty{settings.DutyEntry},
	}
	s.Entry = settings.Entry{Listen: "127.0.0.1:0", BalancerDelay: fleet.Duration(time.Second)}
	d, err := daemon.New(s, daemon.Options{Log: slog.New(slog.DiscardHandler)})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	url := "http://" + d.CallerAddress() + "/healthz"
	g.Eventually(func() int { return getStatus(url) }, shutdownTimeout).Should(Equal(http.StatusOK))
	cancel()
	time.Sleep(300 * time.Millisecond) // less than the balancer's delay
	response, err := http.Get(url)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.Close).To(BeTrue(), "the caller is told that the connection ends")
	g.Eventually(done, shutdownTimeout).Should(Receive(BeNil()))
}

func getStatus(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
