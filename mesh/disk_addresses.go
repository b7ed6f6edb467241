package mesh

import (
	"sync"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

// maxDiskAddresses bounds the disks whose addresses are remembered. Lost ones are replaced by
// others.
const maxDiskAddresses = 256

// diskAddresses are the addresses at which entries run members now, by disk. The quorum's
// configuration has that of the time when a member was added, and without a leader it can't be
// changed. It is safe for concurrent use.
type diskAddresses struct {
	mu     sync.RWMutex
	byDisk map[quorum.DiskIdentity]diskAddress
}

type diskAddress struct {
	address     string
	incarnation uint64 // of the entry that reported it
}

// note records what an entry reports of itself.
func (d *diskAddresses) note(f facts) {
	if f.Disk == "" || f.Address == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.byDisk[f.Disk]
	if ok && known.incarnation >= f.Incarnation {
		return
	}
	if d.byDisk == nil || (!ok && len(d.byDisk) >= maxDiskAddresses) {
		d.byDisk = map[quorum.DiskIdentity]diskAddress{} // entries report their disks again with each sync
	}
	d.byDisk[f.Disk] = diskAddress{f.Address, f.Incarnation}
}

// current returns a member with the address that its disk has now, if an entry has reported it.
func (d *diskAddresses) current(m quorum.Member) quorum.Member {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if known, ok := d.byDisk[m.Disk]; ok {
		m.Address = known.address
	}
	return m
}

// currentStatus returns a status with the leader's current address.
func (d *diskAddresses) currentStatus(s quorum.Status) quorum.Status {
	for _, v := range s.Voters {
		if v.Name == s.Leader && v.Address == s.LeaderAddress {
			s.LeaderAddress = d.current(v).Address
		}
	}
	return s
}

// diskTransport sends messages of the quorum to where the disks are now.
type diskTransport struct {
	transport quorum.BulkTransport
	addresses *diskAddresses
}

var _ quorum.BulkTransport = diskTransport{}

// Send implements quorum.Transport.
func (t diskTransport) Send(to quorum.Member, messages [][]byte) {
	t.transport.Send(t.addresses.current(to), messages)
}

// SendBulk implements quorum.BulkTransport.
func (t diskTransport) SendBulk(to quorum.Member, messages [][]byte) {
	t.transport.SendBulk(t.addresses.current(to), messages)
}
