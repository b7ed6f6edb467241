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
	"github.com/jacinthplank/jacinthplank/settings"
)

// longestStop bounds a shutdown with nothing in progress.
const longestStop = 10 * time.Second

// TestAShutdownIsNotHeldByAPeer has a peer that froze in the middle of a call:
// the HTTP library's own shutdown would wait for it for ever.
func TestAShutdownIsNotHeldByAPeer(t *testing.T) {
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
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	g.Eventually(func() int { return statusOf("http://" + d.Address() + "/healthz") }, longestStop).Should(Equal(http.StatusOK))

	peer, err := net.Dial("tcp", d.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer peer.Close()
	_, err = fmt.Fprint(peer, "POST /jacinthplank.v1.PeerService/Exchange HTTP/1.1\r\nHost: peer\r\n"+
		"Content-Type: application/proto\r\nContent-Length: 100\r\n\r\nhalf")
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(100 * time.Millisecond) // the call has begun
	cancel()
	g.Eventually(ended, longestStop).Should(Receive(BeNil()))
}

func statusOf(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
