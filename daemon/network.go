package daemon

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/wire"
)

// Times of connections between processes.
const (
	dialTimeout       = time.Second
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// network makes the connections of a daemon to others and keeps the clients.
type network struct {
	http *http.Client
	base string // scheme of the other processes, with "://"

	mu    sync.Mutex
	peers map[string]jacinthplankv1connect.PeerServiceClient
}

func newNetwork() *network {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{Protocols: protocols, DialContext: dialer.DialContext}
	return &network{
		http:  &http.Client{Transport: transport},
		base:  "http://",
		peers: map[string]jacinthplankv1connect.PeerServiceClient{},
	}
}

// peer returns the client of the peer service at an address.
func (n *network) peer(address string) jacinthplankv1connect.PeerServiceClient {
	n.mu.Lock()
	defer n.mu.Unlock()
	client, ok := n.peers[address]
	if !ok {
		client = jacinthplankv1connect.NewPeerServiceClient(n.http, n.base+address)
		n.peers[address] = client
	}
	return client
}

// endpoint returns the client of an endpoint process.
func (n *network) endpoint(name, address string) *wire.Client {
	return wire.NewClient(name, n.base+address, n.http)
}

// newServer returns a server for the other processes.
func newServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}
