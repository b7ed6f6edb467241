package quorum

// diskWork is one thing for the disk duty: a Ready, a promise, or a snapshot
// that is on disk and makes older entries needless.
type diskWork struct {
	ready    Ready
	promise  DiskIdentity
	snapshot *Snapshot
	messages []envelope // sent once it is synced
}

// diskDone tells the core duty what is on disk.
type diskDone struct {
	sequence uint64
	snapshot *Snapshot
}

// runDisk is the disk duty: what waits is written and synced together.
func (n *Node) runDisk() {
	for {
		works, ok := n.toDisk.wait(n.ctx)
		if !ok {
			return
		}
		if err := n.writeAll(works); err != nil {
			n.fail(err)
			return
		}
	}
}

func (n *Node) writeAll(works []diskWork) error {
	var group []diskWork
	for _, work := range works {
		if work.ready.Sequence > 0 {
			group = append(group, work)
			continue
		}
		if err := n.writeGroup(group); err != nil {
			return err
		}
		group = nil
		if err := n.writeOther(work); err != nil {
			return err
		}
	}
	return n.writeGroup(group)
}

// writeGroup commits a group: one sync, then the messages that waited for it.
func (n *Node) writeGroup(group []diskWork) error {
	if len(group) == 0 {
		return nil
	}
	readys := make([]Ready, len(group))
	for i, work := range group {
		readys[i] = work.ready
	}
	if err := n.storage.write(readys); err != nil {
		return err
	}
	for _, work := range group {
		n.send(work.messages)
	}
	n.fromDisk.put(diskDone{sequence: readys[len(readys)-1].Sequence})
	return nil
}

func (n *Node) writeOther(work diskWork) error {
	if work.promise != "" {
		if err := n.storage.writePromise(work.promise); err != nil {
			return err
		}
		n.send(work.messages)
	}
	if work.snapshot == nil {
		return nil
	}
	isNew, err := n.storage.compact(work.snapshot)
	if isNew {
		n.fromDisk.put(diskDone{snapshot: work.snapshot})
	}
	return err
}
