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
	byDisk map[quorum.DiskIdentity]string
}

// note records what an entry reports of itself. The last report counts: the clock of an entry that
// started again may be behind, so its incarnation tells nothing.
func (d *diskAddresses) note(f facts) {
	if f.Disk == "" || f.Address == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.byDisk[f.Disk]
	if d.byDisk == nil || (!known && len(d.byDisk) >= maxDiskAddresses) {
		d.byDisk = map[quorum.DiskIdentity]string{} // entries report their disks again with each sync
	}
	d.byDisk[f.Disk] = f.Address
}

// current returns a member with the address that its disk has now, if an entry has reported it.
func (d *diskAddresses) current(m quorum.Member) quorum.Member {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if known, ok := d.byDisk[m.Disk]; ok {
		m.Address = known
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
