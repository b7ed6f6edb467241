package mesh

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// maxPeerTransports bounds the addresses whose connections are kept apart. Entries that are
// replaced come back at other addresses.
const maxPeerTransports = 256

var idleConnsDistrusted = metrics.NewCounter("jacinthplank_mesh_idle_connections_distrusted_total")

// peerTransports sends requests to entries, with a pool of connections for each address. When a
// call on a connection that was used before times out, the idle ones to that address may have
// gone silent with it, and are closed: each of them would cost a later call its whole time,
// one after the other. It is safe for concurrent use.
type peerTransports struct {
	newTransport func() *http.Transport

	mu        sync.Mutex
	byAddress map[string]*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (p *peerTransports) RoundTrip(r *http.Request) (*http.Response, error) {
	t := p.transport(r.URL.Host)
	var reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused.Store(info.Reused) }}
	resp, err := t.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil && reused.Load() && errors.Is(r.Context().Err(), context.DeadlineExceeded) {
		idleConnsDistrusted.Inc()
		t.CloseIdleConnections()
	}
	return resp, err
}

func (p *peerTransports) transport(address string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.byAddress[address]; t != nil {
		return t
	}
	if p.byAddress == nil || len(p.byAddress) >= maxPeerTransports {
		// Calls in progress end on the transports that are dropped.
		for _, t := range p.byAddress {
			t.CloseIdleConnections()
		}
		p.byAddress = map[string]*http.Transport{}
	}
	t := p.newTransport()
	p.byAddress[address] = t
	return t
}

// CloseIdleConnections closes the idle connections to all addresses, as http.Client expects it.
func (p *peerTransports) CloseIdleConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.byAddress {
		t.CloseIdleConnections()
	}
}
