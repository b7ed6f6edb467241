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

// entryOverhead is counted for each entry beside its data, in bytes.
const entryOverhead = 32

// machineWork is one thing for the machine duty: committed entries with the
// proposals that wait for them, a snapshot, or a read that waits for all before.
type machineWork struct {
	entries  []Entry
	waiting  []*proposal
	snapshot *Snapshot
	read     *readRequest
}

// replica is the machine duty: the only one that calls the machine.
type replica struct {
	node          *Node
	index         uint64 // last entry applied
	term          uint64
	configuration Configuration // that has effect at index
	bytes         int           // log bytes applied since the last snapshot
	writing       chan error    // not nil while a snapshot is written
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
		works, ok := r.node.toMachine.wait(r.node.ctx)
		if !ok {
			return
		}
		for _, work := range works {
			if err := r.do(work); err != nil {
				r.node.fail(err)
				return
			}
		}
	}
}

func (r *replica) do(work machineWork) error {
	switch {
	case work.snapshot != nil:
		return r.restore(work.snapshot)
	case work.read != nil:
		work.read.done <- nil
		return nil
	}
	for i, e := range work.entries {
		var waiting *proposal
		if work.waiting != nil {
			waiting = work.waiting[i]
		}
		if err := r.apply(e, waiting); err != nil {
			return err
		}
	}
	return r.snapshotWhenDue()
}

func (r *replica) apply(e Entry, waiting *proposal) error {
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
	if waiting != nil {
		waiting.finish(result, nil)
	}
	return nil
}

func (r *replica) restore(s *Snapshot) error {
	if err := r.node.options.Machine.Restore(s.Data); err != nil {
		return trace.Wrap(err, "quorum: snapshot %d", s.Index)
	}
	r.index, r.term, r.configuration, r.bytes = s.Index, s.Term, s.Configuration, 0
	r.node.applied.Store(s.Index)
	snapshotsApplied.Inc()
	return nil
}

// snapshotWhenDue takes a snapshot once enough log was applied. The file is
// written aside, so that neither disk nor machine duty waits for it.
func (r *replica) snapshotWhenDue() error {
	if r.bytes < r.node.options.LogBytes || r.isWriting() {
		return nil
	}
	start := time.Now()
	data, err := r.node.options.Machine.Snapshot()
	if err != nil {
		return trace.Wrap(err, "quorum: snapshot of the machine at %d", r.index)
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
