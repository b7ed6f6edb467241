package daemon

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/settings"
	"github.com/jacinthplank/jacinthplank/timeline"
	"github.com/jacinthplank/jacinthplank/transport"
	"github.com/jacinthplank/jacinthplank/wire"
)

// Times of callers' connections.
const (
	callerHeaderTimeout = 10 * time.Second
	callerIdleTimeout   = 2 * time.Minute
)

// network keeps the clients of other processes.
type network struct {
	*transport.Transport
	clock connect.ClientOption // carries the time line's clock

	mu    sync.Mutex
	peers map[string]jacinthplankv1connect.PeerServiceClient
}

func newNetwork(t settings.TLS, events *timeline.Log, log *slog.Logger) (*network, error) {
	made, err := transport.New(t, log)
	if err != nil {
		return nil, err
	}
	return &network{
		Transport: made,
		clock:     connect.WithInterceptors(events.Interceptor()),
		peers:     map[string]jacinthplankv1connect.PeerServiceClient{},
	}, nil
}

// peer returns the client of the peer service at an address.
func (n *network) peer(address string) jacinthplankv1connect.PeerServiceClient {
	n.mu.Lock()
	defer n.mu.Unlock()
	client, ok := n.peers[address]
	if !ok {
		client = jacinthplankv1connect.NewPeerServiceClient(n.Client(), n.URL(address), n.clock)
		n.peers[address] = client
	}
	return client
}

// endpoint returns the client of an endpoint process.
func (n *network) endpoint(name, address string) *wire.Client {
	return wire.NewClient(name, n.URL(address), n.Client(), n.clock)
}

// newCallerServer returns a server for callers.
func newCallerServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         protocols,
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
	}
}
