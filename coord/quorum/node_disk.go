package quorum

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

// writeGroup writes a group of Readys with one sync, then sends their messages.
func (n *Node) writeGroup(group []diskTask) error {
	if len(group) == 0 {
		return nil
	}
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
	isNew, err := n.storage.compact(task.snapshot)
	close(task.compacted)
	if isNew {
		n.diskResults.put(diskResult{snapshot: task.snapshot})
	}
	return err
}
