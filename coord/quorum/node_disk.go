package quorum

import "github.com/VictoriaMetrics/metrics"

var logHoldBacks = metrics.NewCounter("jacinthplank_quorum_log_hold_backs_total")

// diskTask is a task of the disk goroutine: a Ready or a promise to write, or a
// snapshot that is on disk and allows the log to be compacted.
type diskTask struct {
	ready     Ready
	promise   DiskIdentity
	snapshot  *Snapshot
	compacted chan<- struct{} // closed after the compaction; not nil if snapshot is set
	messages  []envelope      // sent after the sync
}

// diskResult reports to the core goroutine what is on disk.
type diskResult struct {
	sequence uint64
	snapshot *Snapshot
}

// runDisk runs the disk goroutine, which writes and syncs all queued tasks together.
func (n *Node) runDisk() {
	for {
		tasks, ok := n.diskTasks.wait(n.ctx)
		if !ok {
			return
		}
		if err := n.runDiskTasks(tasks); err != nil {
			n.fail(err)
			return
		}
	}
}

func (n *Node) runDiskTasks(tasks []diskTask) error {
	var group []diskTask
	for _, task := range tasks {
		if task.ready.Sequence > 0 {
			group = append(group, task)
			continue
		}
		if err := n.writeGroup(group); err != nil {
			return err
		}
		group = nil
		if err := n.writePromiseOrCompact(task); err != nil {
			return err
		}
	}
	return n.writeGroup(group)
}

// Limits of what the log holds beyond the compaction that follows each snapshot.
const (
	maxLogShare   = 2 // bytes of the log file above which entries wait for the snapshot in progress, times Options.LogBytes
	maxGroupShare = 8 // bytes of entries written with one sync, as a divisor of Options.LogBytes
)

// writeGroup writes a group of Readys with as few syncs as their size allows.
func (n *Node) writeGroup(group []diskTask) error {
	for len(group) > 0 {
		count, size := 0, 0
		for _, task := range group {
			taskSize := entryBytes(task.ready.Entries)
			if count > 0 && size+taskSize > n.options.LogBytes/maxGroupShare {
				break
			}
			count, size = count+1, size+taskSize
		}
		if err := n.makeRoom(size); err != nil {
			return err
		}
		if err := n.writeTogether(group[:count]); err != nil {
			return err
		}
		group = group[count:]
	}
	return nil
}

func entryBytes(entries []Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Data) + entryOverhead
	}
	return size
}

// makeRoom keeps the log from growing beyond its limit by entries of size bytes: the disk has
// to hold a copy of the log during the next rotation, and the next start has to read it. It
// waits for the snapshot in progress and compacts the log. Votes and terms don't wait.
func (n *Node) makeRoom(size int) error {
	if n.storage.log.Size()+int64(size) <= int64(maxLogShare*n.options.LogBytes) {
		return nil
	}
	if n.storage.isMostlyReplaced() {
		return n.storage.rotate(n.storage.snapshotIndex)
	}
	w := n.snapshotWrite.Load()
	if w == nil || size == 0 {
		return nil
	}
	logHoldBacks.Inc()
	select {
	case <-w.written:
	case <-n.ctx.Done():
		return nil
	}
	// A member may apply entries that a majority has on disk before its own are written.
	if w.snapshot.Index > n.storage.entries.lastIndex() {
		return nil
	}
	return n.compact(w.snapshot)
}

func (n *Node) compact(snapshot *Snapshot) error {
	isNew, err := n.storage.compact(snapshot)
	if isNew {
		n.diskResults.put(diskResult{snapshot: snapshot})
	}
	return err
}

// writeTogether writes Readys with one sync, then sends their messages.
func (n *Node) writeTogether(group []diskTask) error {
	readys := make([]Ready, len(group))
	for i, task := range group {
		readys[i] = task.ready
	}
	if err := n.storage.write(readys); err != nil {
		return err
	}
	for _, task := range group {
		n.send(task.messages)
	}
	n.diskResults.put(diskResult{sequence: readys[len(readys)-1].Sequence})
	return nil
}

func (n *Node) writePromiseOrCompact(task diskTask) error {
	if task.promise != "" {
		if err := n.storage.writePromise(task.promise); err != nil {
			return err
		}
		n.send(task.messages)
	}
	if task.snapshot == nil {
		return nil
	}
	err := n.compact(task.snapshot)
	n.snapshotWrite.Store(nil)
	close(task.compacted)
	return err
}
