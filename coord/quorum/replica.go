package quorum

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
)

var (
	entriesApplied   = metrics.NewCounter("jacinthplank_quorum_entries_applied_total")
	snapshotsTaken   = metrics.NewCounter("jacinthplank_quorum_snapshots_taken_total")
	snapshotSeconds  = metrics.NewHistogram("jacinthplank_quorum_snapshot_seconds")
	snapshotsApplied = metrics.NewCounter("jacinthplank_quorum_snapshots_restored_total")
)

// entryOverhead is the number of bytes counted for each entry in addition to its
// data.
const entryOverhead = 32

// applyTask is a task of the apply goroutine: committed entries with their pending
// proposals, a snapshot to restore, or a read that is answered once all earlier
// tasks are done.
type machineWork struct {
	entries  []Entry
	waiting  []*proposal
	snapshot *Snapshot
	read     *readRequest
}

// applier runs the apply goroutine, the only one that calls the state machine.
type replica struct {
	node          *Node
	index         uint64 // last entry applied
	term          uint64
	configuration Configuration // in effect at index
	bytes         int           // log bytes applied since the last snapshot
	writing       chan error    // closed when the snapshot is written; nil when none is in progress
}

func newReplica(n *Node, saved Saved) *replica {
	r := &replica{node: n}
	if s := saved.Snapshot; s != nil {
		r.index, r.term, r.configuration = s.Index, s.Term, s.Configuration
	}
	return r
}

func (r *replica) run() {
	for {
		tasks, ok := r.node.toMachine.wait(r.node.ctx)
		if !ok {
			return
		}
		for _, task := range tasks {
			if err := r.do(task); err != nil {
				r.node.fail(err)
				return
			}
		}
	}
}

func (r *replica) do(task machineWork) error {
	switch {
	case task.snapshot != nil:
		return r.restore(task.snapshot)
	case task.read != nil:
		task.read.done <- nil
		return nil
	}
	for i, e := range task.entries {
		var pending *proposal
		if task.waiting != nil {
			pending = task.waiting[i]
		}
		if err := r.apply(e, pending); err != nil {
			return err
		}
	}
	return r.snapshotWhenDue()
}

func (r *replica) apply(e Entry, pending *proposal) error {
	var result []byte
	switch e.Kind {
	case EntryCommand:
		result = r.node.options.Machine.Apply(e.Index, e.Data)
	case EntryConfiguration:
		configuration, err := decodeConfiguration(e.Data)
		if err != nil {
			return trace.Wrap(err)
		}
		r.configuration = configuration
	}
	r.index, r.term = e.Index, e.Term
	r.bytes += len(e.Data) + entryOverhead
	r.node.applied.Store(e.Index)
	entriesApplied.Inc()
	if pending != nil {
		pending.finish(result, nil)
	}
	return nil
}

func (r *replica) restore(s *Snapshot) error {
	if err := r.node.options.Machine.Restore(s.Data); err != nil {
		return trace.Wrap(err, "quorum: restore of snapshot %d", s.Index)
	}
	r.index, r.term, r.configuration, r.bytes = s.Index, s.Term, s.Configuration, 0
	r.node.applied.Store(s.Index)
	snapshotsApplied.Inc()
	return nil
}

// maybeSnapshot takes a snapshot once Options.LogBytes of log were applied since the
// last one. A separate goroutine writes the file, so that neither the disk nor the
// apply goroutine waits for it.
func (r *replica) snapshotWhenDue() error {
	if r.bytes < r.node.options.LogBytes || r.isWriting() {
		return nil
	}
	start := time.Now()
	data, err := r.node.options.Machine.Snapshot()
	if err != nil {
		return trace.Wrap(err, "quorum: snapshot of the state machine at index %d", r.index)
	}
	snapshotSeconds.UpdateDuration(start)
	snapshotsTaken.Inc()
	s := &Snapshot{Index: r.index, Term: r.term, Configuration: r.configuration, Data: data}
	r.bytes = 0
	r.writing = make(chan error, 1)
	r.node.duties.Go(func() { r.write(s, r.writing) })
	return nil
}

func (r *replica) write(s *Snapshot, done chan<- error) {
	defer close(done)
	if err := r.node.storage.writeSnapshot(s); err != nil {
		r.node.fail(err)
		return
	}
	r.node.toDisk.put(diskWork{snapshot: s})
}

func (r *replica) isWriting() bool {
	if r.writing == nil {
		return false
	}
	select {
	case <-r.writing:
		r.writing = nil
		return false
	default:
		return true
	}
}
