package quorum

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
)

var (
	entriesApplied    = metrics.NewCounter("jacinthplank_quorum_entries_applied_total")
	snapshotsTaken    = metrics.NewCounter("jacinthplank_quorum_snapshots_taken_total")
	snapshotSeconds   = metrics.NewHistogram("jacinthplank_quorum_snapshot_seconds")
	snapshotsRestored = metrics.NewCounter("jacinthplank_quorum_snapshots_restored_total")
)

// entryOverhead is the number of bytes counted for each entry in addition to its
// data.
const entryOverhead = 32

// applyTask is a task of the apply goroutine: committed entries with their pending
// proposals, a snapshot to restore, or a read that is answered once all earlier
// tasks are done.
type applyTask struct {
	entries   []Entry
	proposals []*proposal
	snapshot  *Snapshot
	read      *readRequest
}

// applier runs the apply goroutine, the only one that calls the state machine.
type applier struct {
	node               *Node
	index              uint64 // last entry applied
	term               uint64
	configuration      Configuration // in effect at index
	bytesSinceSnapshot int           // log bytes applied since the last snapshot
	snapshotDone       chan struct{} // closed when the log is compacted; nil when no snapshot is in progress
}

func newApplier(n *Node, saved PersistedState) *applier {
	r := &applier{node: n}
	if s := saved.Snapshot; s != nil {
		r.index, r.term, r.configuration = s.Index, s.Term, s.Configuration
	}
	return r
}

func (r *applier) run() {
	for {
		tasks, ok := r.node.applyTasks.wait(r.node.ctx)
		if !ok {
			return
		}
		for _, task := range tasks {
			if err := r.process(task); err != nil {
				r.node.fail(err)
				return
			}
		}
	}
}

func (r *applier) process(task applyTask) error {
	switch {
	case task.snapshot != nil:
		return r.restore(task.snapshot)
	case task.read != nil:
		task.read.done <- nil
		return nil
	}
	for i, e := range task.entries {
		var pending *proposal
		if task.proposals != nil {
			pending = task.proposals[i]
		}
		if err := r.apply(e, pending); err != nil {
			return err
		}
	}
	return r.maybeSnapshot()
}

func (r *applier) apply(e Entry, pending *proposal) error {
	var result []byte
	switch e.Kind {
	case EntryCommand:
		result = r.node.options.StateMachine.Apply(e.Index, e.Data)
	case EntryConfiguration:
		configuration, err := decodeConfiguration(e.Data)
		if err != nil {
			return trace.Wrap(err)
		}
		r.configuration = configuration
	}
	r.index, r.term = e.Index, e.Term
	r.bytesSinceSnapshot += len(e.Data) + entryOverhead
	r.node.applied.Store(e.Index)
	entriesApplied.Inc()
	if pending != nil {
		pending.finish(result, nil)
	}
	return nil
}

func (r *applier) restore(s *Snapshot) error {
	if err := r.node.options.StateMachine.Restore(s.Data); err != nil {
		return trace.Wrap(err, "quorum: restore of snapshot %d", s.Index)
	}
	r.index, r.term, r.configuration, r.bytesSinceSnapshot = s.Index, s.Term, s.Configuration, 0
	r.node.applied.Store(s.Index)
	snapshotsRestored.Inc()
	return nil
}

// maybeSnapshot takes a snapshot once Options.LogBytes of log were applied since the
// last one. A separate goroutine writes the file, so that neither the disk nor the
// apply goroutine waits for it. The next snapshot waits until the log is compacted, so
// that the disk holds at most two.
func (r *applier) maybeSnapshot() error {
	if r.bytesSinceSnapshot < r.node.options.LogBytes || r.isSnapshotInProgress() {
		return nil
	}
	start := time.Now()
	data, err := r.node.options.StateMachine.Snapshot()
	if err != nil {
		return trace.Wrap(err, "quorum: snapshot of the state machine at index %d", r.index)
	}
	snapshotSeconds.UpdateDuration(start)
	snapshotsTaken.Inc()
	s := &Snapshot{Index: r.index, Term: r.term, Configuration: r.configuration, Data: data}
	r.bytesSinceSnapshot = 0
	r.snapshotDone = make(chan struct{})
	w := &snapshotWrite{snapshot: s, written: make(chan struct{})}
	r.node.snapshotWrite.Store(w)
	r.node.goroutines.Go(func() { r.writeSnapshot(w, r.snapshotDone) })
	return nil
}

// snapshotWrite is a snapshot that is written to disk, or was and awaits the compaction.
type snapshotWrite struct {
	snapshot *Snapshot
	written  chan struct{} // closed once it is on disk
}

func (r *applier) writeSnapshot(w *snapshotWrite, done chan<- struct{}) {
	if err := r.node.storage.writeSnapshot(w.snapshot); err != nil {
		r.node.fail(err)
		return
	}
	close(w.written)
	r.node.diskTasks.put(diskTask{snapshot: w.snapshot, compacted: done})
}

func (r *applier) isSnapshotInProgress() bool {
	if r.snapshotDone == nil {
		return false
	}
	select {
	case <-r.snapshotDone:
		r.snapshotDone = nil
		return false
	default:
		return true
	}
}
