package quorum

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	messagesDropped  = metrics.NewCounter("jacinthplank_quorum_messages_dropped_total")
	messagesSent     = metrics.NewCounter("jacinthplank_quorum_messages_sent_total")
	messageBytesSent = metrics.NewCounter("jacinthplank_quorum_message_bytes_sent_total")
	leaderChanges    = metrics.NewCounter("jacinthplank_quorum_leader_changes_total")
	elections        = metrics.NewCounter("jacinthplank_quorum_elections_won_total")
)

// drainLimit is the maximum number of items taken from a queue before the Core's
// Ready is handled.
const drainLimit = 512

// runCore runs the core goroutine, the only one that accesses the Core.
func (n *Node) runCore() {
	ticker := time.NewTicker(n.options.Tick)
	defer ticker.Stop()
	defer n.refuseQueued()
	if initial, ok := n.founding.complete(); ok && n.core.IsBlank() {
		n.found(initial)
	}
	for {
		proposals := n.proposals
		if n.core.Unsynced() >= maxUnsynced {
			proposals = nil
		}
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			n.core.Tick()
			n.tick()
		case m := <-n.messages:
			n.stepAll(m)
		case p := <-proposals:
			n.proposeAll(p)
		case r := <-n.requests:
			n.read(r)
		case fn := <-n.calls:
			fn()
		case <-n.fromDisk.signal:
		}
		n.takeDiskDone()
		n.handle(n.core.Ready())
		n.updateStatus()
	}
}

func (n *Node) stepAll(m Message) {
	for range drainLimit {
		n.step(m)
		select {
		case m = <-n.messages:
		default:
			return
		}
	}
}

// step processes one message. Bootstrap messages are for blank disks only.
func (n *Node) step(m Message) {
	if m.Sender.Disk != "" {
		n.peers[m.Sender.Disk] = m.Sender
	}
	isBlank := n.core.IsBlank()
	switch {
	case m.Kind == Hello && isBlank:
		n.promise(m)
	case m.Kind == Promise:
		initial, ok := n.founding.stepPromise(m)
		if ok && isBlank {
			n.found(initial)
		}
	default:
		n.core.Step(m)
	}
}

// answerHello replies to the founder once the promise to it is on disk.
func (n *Node) promise(m Message) {
	reply, ok := n.founding.stepHello(m)
	if ok {
		n.toDisk.put(diskWork{promise: n.founding.promise, messages: n.envelope(reply.to, reply.message)})
	}
}

func (n *Node) found(initial Configuration) {
	n.options.Logger.Info("quorum bootstrapped", "voters", len(initial.Voters), "disk", n.self.Disk)
	n.core.Found(initial)
}

func (n *Node) proposeAll(p *proposal) {
	for range drainLimit {
		n.propose(p)
		select {
		case p = <-n.proposals:
		default:
			return
		}
	}
}

func (n *Node) propose(p *proposal) {
	if !p.take() {
		return
	}
	proposalsTotal.Inc()
	if err := n.refusal(); err != nil {
		proposalsRefused.Inc()
		p.finish(nil, err)
		return
	}
	index, term, err := n.append(p)
	if err != nil {
		proposalsRefused.Inc()
		p.finish(nil, err)
		return
	}
	p.term = term
	if replaced := n.waiting[index]; replaced != nil {
		replaced.finish(nil, ErrUnknown)
	}
	n.waiting[index] = p
}

func (n *Node) append(p *proposal) (index, term uint64, err error) {
	if p.change != nil {
		return n.core.ChangeMember(*p.change)
	}
	return n.core.Propose(p.command)
}

// leadershipError returns nil on the leader, and otherwise why this member cannot
// accept proposals or reads.
func (n *Node) refusal() error {
	leader, isKnown := n.member(n.core.Leader())
	switch {
	case n.core.Role() == Leader:
		return nil
	case isKnown && n.core.HasQuorum():
		return &ErrNotLeader{Leader: leader.Name, Address: leader.Address}
	default:
		return ErrNoQuorum
	}
}

func (n *Node) read(r *readRequest) {
	if err := n.refusal(); err != nil {
		r.done <- err
		return
	}
	n.lastRead++
	if err := n.core.ReadIndex(n.lastRead); err != nil {
		r.done <- err
		return
	}
	n.reads[n.lastRead] = r
}

// failQueuedProposals answers queued proposals, which will not be appended after
// the core goroutine ends.
func (n *Node) refuseQueued() {
	for {
		select {
		case p := <-n.proposals:
			if p.take() {
				p.finish(nil, ErrStopped)
			}
		default:
			return
		}
	}
}

func (n *Node) takeDiskDone() {
	for _, done := range n.fromDisk.takeAll() {
		if done.sequence > 0 {
			n.core.Synced(done.sequence)
		}
		if done.snapshot != nil {
			n.core.Compact(done.snapshot)
		}
	}
}

// handleReady carries out the work that the Core requests.
func (n *Node) handle(r Ready) {
	n.send(n.envelopes(r.Messages))
	if r.Sequence > 0 {
		n.toDisk.put(diskWork{ready: r, messages: n.envelopes(r.AfterSync)})
	}
	if r.Snapshot != nil {
		n.toMachine.put(machineWork{snapshot: r.Snapshot})
	}
	if len(r.Committed) > 0 {
		n.toMachine.put(machineWork{entries: r.Committed, waiting: n.takeWaiting(r.Committed)})
	}
	for _, result := range r.Reads {
		n.finishRead(result)
	}
	if n.core.Role() != Leader {
		n.giveUpWaiting()
	}
}

// takePendingProposals removes and returns the pending proposals of the entries, nil
// for entries without one.
func (n *Node) takeWaiting(entries []Entry) []*proposal {
	if len(n.waiting) == 0 {
		return nil
	}
	proposals := make([]*proposal, len(entries))
	for i, e := range entries {
		p := n.waiting[e.Index]
		if p == nil {
			continue
		}
		delete(n.waiting, e.Index)
		if p.term != e.Term {
			p.finish(nil, ErrUnknown)
			continue
		}
		proposals[i] = p
	}
	return proposals
}

// failPendingProposals reports ErrUnknown to the callers of all pending proposals:
// the next leader may or may not commit them.
func (n *Node) giveUpWaiting() {
	for index, p := range n.waiting {
		p.finish(nil, ErrUnknown)
		delete(n.waiting, index)
	}
}

func (n *Node) finishRead(result ReadResult) {
	r := n.reads[result.ID]
	delete(n.reads, result.ID)
	switch {
	case r == nil:
	case result.Err != nil:
		r.done <- result.Err
	default:
		n.toMachine.put(machineWork{read: r})
	}
}

// tick announces a disk that is not a member, and advances repairs, every
// helloInterval.
func (n *Node) tick() {
	n.ticks++
	if n.ticks < n.options.ticks(helloInterval) {
		return
	}
	n.ticks = 0
	if _, isMember := n.core.Configuration().Member(n.self.Disk); !isMember {
		for _, hello := range n.founding.hellos() {
			n.send(n.envelope(hello.to, hello.message))
		}
	}
	unknownPeers := n.core.Strangers()
	if n.options.Repair && n.core.Role() == Leader {
		n.repair(unknownPeers)
	}
}

// updateStatus publishes the Core's state to other goroutines.
func (n *Node) updateStatus() {
	configuration := n.core.Configuration()
	leader, _ := n.member(n.core.Leader())
	isLeader := n.core.Role() == Leader
	n.mu.Lock()
	defer n.mu.Unlock()
	previous := n.status
	if previous.Err != nil {
		return
	}
	n.status = Status{
		Name: n.self.Name, DiskIdentity: n.self.Disk,
		Leader: leader.Name, LeaderAddress: leader.Address,
		IsLeader: isLeader, HasQuorum: n.core.HasQuorum(),
		Term: n.core.Term(), Commit: n.core.Commit(),
		Voters: configuration.Voters, Learners: configuration.Learners,
	}
	if previous.Leader != leader.Name {
		leaderChanges.Inc()
		n.options.Logger.Info("leader changed", "leader", leader.Name, "term", n.core.Term())
	}
	if isLeader && !previous.IsLeader {
		elections.Inc()
	}
}
