package quorum

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// Node is a running member. It has three long-lived goroutines: the core goroutine
// runs the Core, the disk goroutine writes and syncs, and the apply goroutine
// applies committed entries to the state machine.
type Node struct {
	options          Options
	self             Member
	storage          *storage
	core             *Core // used by the core goroutine only
	bootstrapState   *bootstrap
	newMembers       atomic.Pointer[[]Member] // set by SetMembers until the core goroutine takes them
	applier          *applier
	pendingProposals map[uint64]*proposal // by index; used by the core goroutine only
	peers            map[DiskIdentity]Member
	pendingReads     map[uint64]*readRequest
	lastReadID       uint64
	ticksSinceHello  int // ticks since the last Hello
	ticksSinceRepair int // ticks since announced was last cleared
	configuration    configurationObserver
	repairFailures   repairFailures
	announced        []Member                        // peers that are not members and have announced themselves
	foundingTicks    int                             // ticks as a founder that waits for promises
	progress         map[DiskIdentity]MemberProgress // as of the last tick as leader; replaced, never modified

	messages     chan Message
	proposals    chan *proposal
	readRequests chan *readRequest
	coreCalls    chan func()
	reports      *mailbox[deliveryReport]
	diskTasks    *mailbox[diskTask]
	diskResults  *mailbox[diskResult]
	applyTasks   *mailbox[applyTask]
	// snapshotWrite is the snapshot that is being written, nil if there is none. The apply
	// goroutine sets it, the disk goroutine clears it after the compaction.
	snapshotWrite atomic.Pointer[snapshotWrite]

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	stopOnce   sync.Once
	applied    atomic.Uint64

	mu     sync.Mutex
	status Status
}

// Start starts a member on its disk. It fails with a *wal.CorruptError, which
// gives file and offset, when acknowledged data on the disk is missing or damaged.
// Such a disk must be emptied, which makes it a new member. Options.Disk is closed on failure.
func Start(o Options) (*Node, error) {
	if err := o.check(); err != nil {
		if o.Disk != nil {
			_ = o.Disk.Close()
		}
		return nil, err
	}
	o = o.withDefaults()
	folder := o.Disk
	if folder == nil {
		opened, err := wal.OpenFolder(o.Folder)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		folder = opened
	}
	storage, saved, err := openStorage(folder, newDiskIdentity(), o.tail())
	if err != nil {
		_ = folder.Close()
		return nil, trace.Wrap(err, "quorum: cannot open the disk of %s", o.Name)
	}
	n := newNode(o, storage, saved)
	if saved.Snapshot != nil {
		if err := o.StateMachine.Restore(saved.Snapshot.Data); err != nil {
			_ = storage.close()
			return nil, trace.Wrap(err, "quorum: restore of snapshot %d", saved.Snapshot.Index)
		}
	}
	reportRecovered(o.OnRecovered, saved)
	n.startGoroutines()
	return n, nil
}

// reportRecovered reports the commands after the snapshot. The log retains some before it.
func reportRecovered(report func(cmd []byte), saved PersistedState) {
	if report == nil {
		return
	}
	for _, e := range saved.Entries {
		if e.Kind == EntryCommand && (saved.Snapshot == nil || e.Index > saved.Snapshot.Index) {
			report(e.Data)
		}
	}
}

func newNode(o Options, storage *storage, saved PersistedState) *Node {
	n := &Node{
		options:          o,
		self:             Member{Name: o.Name, Address: o.Address, Disk: storage.identity},
		storage:          storage,
		pendingProposals: map[uint64]*proposal{},
		peers:            map[DiskIdentity]Member{},
		pendingReads:     map[uint64]*readRequest{},
		messages:         make(chan Message, messageQueueSize),
		proposals:        make(chan *proposal, proposalQueueSize),
		readRequests:     make(chan *readRequest, proposalQueueSize),
		coreCalls:        make(chan func()),
		reports:          newMailbox[deliveryReport](),
		diskTasks:        newMailbox[diskTask](),
		diskResults:      newMailbox[diskResult](),
		applyTasks:       newMailbox[applyTask](),
	}
	random := rand.New(rand.NewPCG(o.Seed, uint64(len(o.Name))))
	n.core = NewCore(o.coreConfig(storage.identity, random), saved)
	n.bootstrapState = newBootstrap(n.self, o.Members, storage.promise)
	n.applier = newApplier(n, saved)
	if saved.Snapshot != nil {
		n.applied.Store(saved.Snapshot.Index)
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.updateStatus()
	return n
}

func (n *Node) startGoroutines() {
	n.goroutines.Go(n.runCore)
	n.goroutines.Go(n.runDisk)
	n.goroutines.Go(n.applier.run)
}

// Propose appends a command and returns the state machine's result once the
// command is committed and applied locally. The command is not appended after the deadline
// of ctx. See IsNotAppended for its errors.
func (n *Node) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	if len(cmd) > MaxCommandBytes {
		return nil, ErrTooLarge
	}
	deadline, _ := ctx.Deadline()
	p := &proposal{command: cmd, deadline: deadline, done: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	default:
		proposalsRefused.Inc()
		return nil, ErrBusy
	}
	return n.await(ctx, p)
}

// await waits for the outcome of p.
func (n *Node) await(ctx context.Context, p *proposal) ([]byte, error) {
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		if p.abandon() {
			return nil, fmt.Errorf("%w: %w", ErrCanceled, ctx.Err())
		}
		return nil, fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	case <-n.ctx.Done():
		if p.abandon() {
			return nil, ErrStopped
		}
		return p.outcomeAfterStop()
	}
}

// ReadIndex returns once the local state machine has applied every entry that was
// committed at the time of the call. It returns nil only on a leader whose
// leadership a majority has confirmed since the call.
func (n *Node) ReadIndex(ctx context.Context) error {
	r := &readRequest{done: make(chan error, 1)}
	select {
	case n.readRequests <- r:
	default:
		return ErrBusy
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrCanceled, ctx.Err())
	case <-n.ctx.Done():
		return ErrStopped
	}
}

// ChangeMember applies a membership change and returns once it is committed. Only
// one change may be in progress at a time. The caller may retry after
// ErrChangePending and ErrNotCaughtUp.
func (n *Node) ChangeMember(ctx context.Context, change Change) error {
	p := &proposal{change: &change, done: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	default:
		return ErrBusy
	}
	_, err := n.await(ctx, p)
	return err
}

// Step receives a message sent by the member named from. It never blocks: a
// message that cannot be decoded, or arrives when the queue is full, is dropped
// and counted.
func (n *Node) Step(from string, msg []byte) {
	m, err := DecodeMessage(msg)
	if err != nil {
		messagesRefused.Inc()
		n.options.Logger.Debug("invalid message dropped", "peer", from, "error", err)
		return
	}
	select {
	case n.messages <- m:
	default:
		messagesDropped.Inc()
	}
}

// SetMembers replaces Options.Members. A member whose disk is blank or unknown to the
// quorum may learn only after its start who founds the quorum or whom to ask to be added.
func (n *Node) SetMembers(members []Member) {
	n.newMembers.Store(&members)
}

// Status returns the current status.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.status
	s.Applied = n.applied.Load()
	return s
}

// Stop stops the node. A leader first transfers leadership if another voter is
// responsive. Stop may be called more than once.
func (n *Node) Stop() {
	n.stopOnce.Do(func() {
		n.TransferLeadership()
		n.cancel()
		n.goroutines.Wait()
		if err := n.storage.close(); err != nil {
			n.options.Logger.Warn("quorum: closing the disk failed", "error", err)
		}
	})
}

// TransferLeadership transfers leadership to another voter if this member is the
// leader and another voter is responsive. It waits for at most ElectionTimeout. A
// member that is shutting down calls it early, while it still serves requests.
func (n *Node) TransferLeadership() {
	if !n.Status().IsLeader {
		return
	}
	deadline := time.After(ElectionTimeout)
	select {
	case n.coreCalls <- n.transferToBest:
	case <-deadline:
		return
	case <-n.ctx.Done():
		return
	}
	poll := time.NewTicker(n.options.Tick)
	defer poll.Stop()
	for n.Status().IsLeader {
		select {
		case <-poll.C:
		case <-deadline:
			return
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) transferToBest() {
	if successor, ok := n.core.BestSuccessor(n.options.PreferAsLeader); ok {
		_ = n.core.Transfer(successor)
	}
}

// fail stops the node after a disk or state machine failure.
func (n *Node) fail(err error) {
	n.options.Logger.Error("quorum: member stopped after a disk or state machine failure", "error", err)
	n.mu.Lock()
	n.status.Err = err
	n.status.IsLeader, n.status.HasQuorum = false, false
	n.mu.Unlock()
	n.cancel()
}
