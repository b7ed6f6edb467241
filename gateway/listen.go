package gateway

import (
	"cmp"
	"net/netip"
)

// Listen holds the listen addresses of a gateway, as IP:port.
type Listen struct {
	Callers string
	Ready   string
	Control string
	Peers   string
	// Advertise is the address of Peers that other entries are told, where a forwarder or
	// address translation stands before it; empty if it is Peers.
	Advertise string
	Metrics   string // empty to disable
}

// peerAddress returns the address at which other entries reach this one.
func (l Listen) peerAddress() string { return cmp.Or(l.Advertise, l.Peers) }

// peerSource returns the IP that calls to other entries come from, or the zero value for the
// choice of the kernel. Beside an advertised address it is that of the listener, as a forwarder
// tells callers apart by it. The listener couldn't open if it weren't an address of the machine.
func (l Listen) peerSource() netip.Addr {
	listen, err := netip.ParseAddrPort(l.Peers)
	if l.Advertise == "" || err != nil || listen.Addr().IsUnspecified() {
		return netip.Addr{}
	}
	return listen.Addr()
}
