package daemon

import (
	"slices"
	"sync"

	"github.com/jacinthplank/jacinthplank/gossip"
	"github.com/jacinthplank/jacinthplank/settings"
)

// addressBook caches the addresses of other daemons. It is rebuilt only after a
// change of membership.
type addressBook struct {
	self       string
	configured []settings.Member // control members from the settings
	gossip     *gossip.Service

	mu         sync.Mutex
	cachedHead uint64 // membership version that the lists were built from
	all        []string
	control    []string
}

// peerAddresses returns the addresses of the other daemons. The caller must not
// modify the slice.
func (b *addressBook) peerAddresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh()
	return b.all
}

// controlAddresses returns the addresses of the control instances: current
// members of the fleet and those named in the settings.
func (b *addressBook) controlAddresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh()
	return b.control
}

// refresh rebuilds the lists if membership has changed. b.mu must be held.
func (b *addressBook) refresh() {
	head := b.gossip.Head()
	if head == b.cachedHead {
		return
	}
	b.cachedHead = head
	b.all, b.control = nil, nil
	for _, r := range b.gossip.Members() {
		if r.State.Gone() {
			continue
		}
		if r.Name != b.self {
			b.all = append(b.all, r.Address)
		}
		if slices.Contains(gossip.Facts(r).GetDuties(), string(settings.DutyControl)) {
			b.control = append(b.control, r.Address)
		}
	}
	for _, m := range b.configured {
		if !slices.Contains(b.control, m.Address) {
			b.control = append(b.control, m.Address)
		}
	}
}
