package daemon

import (
	"slices"
	"sync"

	"github.com/jacinthplank/jacinthplank/gossip"
	"github.com/jacinthplank/jacinthplank/settings"
)

// addressBook lists the addresses of other daemons. It is worked out anew only
// after a change of members.
type addressBook struct {
	self   string
	first  []settings.Member // control members that the settings name
	gossip *gossip.Service

	mu      sync.Mutex
	head    uint64 // of the members that the lists were worked out from
	all     []string
	control []string
}

// peers returns the addresses of the other daemons, which must not be changed.
func (b *addressBook) peers() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh()
	return b.all
}

// controls returns the addresses of the control instances: those that are
// members of the fleet now, and those that the settings name.
func (b *addressBook) controls() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh()
	return b.control
}

// refresh is called with the lock held.
func (b *addressBook) refresh() {
	head := b.gossip.Head()
	if head == b.head {
		return
	}
	b.head = head
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
	for _, m := range b.first {
		if !slices.Contains(b.control, m.Address) {
			b.control = append(b.control, m.Address)
		}
	}
}
