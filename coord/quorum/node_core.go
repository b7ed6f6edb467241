package quorum

import (
	"fmt"
	"slices"
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
	defer n.failQueuedProposals()
	n.bootstrapAlone()
	for {
		proposals := n.proposals
		if n.core.UnsyncedWrites() >= maxUnsynced {
			proposals = nil
		}
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			n.core.Tick()
			n.tick()
			n.progress = n.memberProgress()
		case m := <-n.messages:
			n.stepAll(m)
		case p := <-proposals:
			n.proposeAll(p)
		case r := <-n.readRequests:
			n.startRead(r)
		case fn := <-n.coreCalls:
			fn()
		case <-n.reports.signal:
			n.handleReports()
		case <-n.diskResults.signal:
		}
		n.handleDiskResults()
		n.handleReady(n.core.Ready())
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
		n.answerHello(m)
	case m.Kind == Promise:
		initial, ok := n.bootstrapState.stepPromise(m)
		if ok && isBlank {
			n.bootstrap(initial)
		}
	default:
		n.core.Step(m)
	}
}

// answerHello replies to the founder once the promise to it is on disk.
func (n *Node) answerHello(m Message) {
	reply, ok := n.bootstrapState.stepHello(m)
	if ok {
		n.diskTasks.put(diskTask{promise: n.bootstrapState.promise, messages: n.encode(reply.to, reply.message)})
	}
}

// bootstrapAlone founds the quorum if this member is the only one of it.
func (n *Node) bootstrapAlone() {
	if initial, ok := n.bootstrapState.initialConfiguration(); ok && n.core.IsBlank() {
		n.bootstrap(initial)
	}
}

// foundByMajority founds the quorum without the members that have not promised in time.
func (n *Node) foundByMajority() {
	if !n.options.FoundByMajority || !n.core.IsBlank() || !n.bootstrapState.isFounder() {
		return
	}
	n.foundingTicks++
	if n.foundingTicks < n.options.ticks(FoundingTimeout) {
		return
	}
	if initial, ok := n.bootstrapState.majorityConfiguration(); ok {
		n.bootstrap(initial)
	}
}

func (n *Node) bootstrap(initial Configuration) {
	n.options.Logger.Info("quorum bootstrapped", "voters", len(initial.Voters), "disk", n.self.Disk)
	n.core.Bootstrap(initial)
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
	if p.hasExpired(time.Now()) && p.abandon() {
		proposalsRefused.Inc()
		p.finish(nil, fmt.Errorf("%w: the caller's deadline has passed", ErrCanceled))
		return
	}
	if !p.accept() {
		return
	}
	proposalsTotal.Inc()
	if err := n.leadershipError(); err != nil {
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
	if replaced := n.pendingProposals[index]; replaced != nil {
		replaced.finish(nil, ErrUnknown)
	}
	n.pendingProposals[index] = p
}

func (n *Node) append(p *proposal) (index, term uint64, err error) {
	if p.change != nil {
		return n.core.ChangeMember(*p.change)
	}
	return n.core.Propose(p.command)
}

// leadershipError returns nil on the leader, and otherwise why this member cannot
// accept proposals or reads.
func (n *Node) leadershipError() error {
	leader, isKnown := n.memberByDisk(n.core.Leader())
	switch {
	case n.core.Role() == Leader:
		return nil
	case isKnown && n.core.HasQuorum():
		return &ErrNotLeader{Leader: leader.Name, Address: leader.Address}
	default:
		return ErrNoQuorum
	}
}

func (n *Node) startRead(r *readRequest) {
	if err := n.leadershipError(); err != nil {
		r.done <- err
		return
	}
	n.lastReadID++
	if err := n.core.ReadIndex(n.lastReadID); err != nil {
		r.done <- err
		return
	}
	n.pendingReads[n.lastReadID] = r
}

// failQueuedProposals answers queued proposals, which will not be appended after
// the core goroutine ends.
func (n *Node) failQueuedProposals() {
	for {
		select {
		case p := <-n.proposals:
			if p.accept() {
				p.finish(nil, ErrStopped)
			}
		default:
			return
		}
	}
}

func (n *Node) handleDiskResults() {
	for _, done := range n.diskResults.takeAll() {
		if done.sequence > 0 {
			n.core.Synced(done.sequence)
		}
		if done.snapshot != nil {
			n.core.Compact(done.snapshot)
		}
	}
}

// handleReady carries out the work that the Core requests.
func (n *Node) handleReady(r Ready) {
	n.send(n.encodeAll(r.Messages))
	if r.Sequence > 0 {
		n.diskTasks.put(diskTask{ready: r, messages: n.encodeAll(r.AfterSync)})
	}
	if r.Snapshot != nil {
		n.applyTasks.put(applyTask{snapshot: r.Snapshot})
	}
	if len(r.Committed) > 0 {
		n.applyTasks.put(applyTask{entries: r.Committed, proposals: n.takePendingProposals(r.Committed)})
	}
	for _, result := range r.Reads {
		n.finishRead(result)
	}
	if n.core.Role() != Leader {
		n.failPendingProposals()
	}
}

// takePendingProposals removes and returns the pending proposals of the entries, nil
// for entries without one.
func (n *Node) takePendingProposals(entries []Entry) []*proposal {
	if len(n.pendingProposals) == 0 {
		return nil
	}
	proposals := make([]*proposal, len(entries))
	for i, e := range entries {
		p := n.pendingProposals[e.Index]
		if p == nil {
			continue
		}
		delete(n.pendingProposals, e.Index)
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
func (n *Node) failPendingProposals() {
	for index, p := range n.pendingProposals {
		p.finish(nil, ErrUnknown)
		delete(n.pendingProposals, index)
	}
}

func (n *Node) finishRead(result ReadResult) {
	r := n.pendingReads[result.ID]
	delete(n.pendingReads, result.ID)
	switch {
	case r == nil:
	case result.Err != nil:
		r.done <- result.Err
	default:
		n.applyTasks.put(applyTask{read: r})
	}
}

// tick announces a disk that no leader sends to every helloInterval, and new members at once.
// It advances repairs.
func (n *Node) tick() {
	n.tickRepair()
	n.reportVotes()
	n.ticksSinceHello++
	if members := n.newMembers.Swap(nil); members != nil {
		n.bootstrapState.setMembers(*members)
		n.bootstrapAlone()
		n.ticksSinceHello, n.foundingTicks = n.options.ticks(helloInterval), 0
	}
	n.foundByMajority()
	if n.ticksSinceHello < n.options.ticks(helloInterval) {
		return
	}
	n.ticksSinceHello = 0
	// The configuration on this disk may be out of date: only a leader's messages show that
	// this disk is still a member.
	if !n.core.HasQuorum() {
		for _, hello := range n.bootstrapState.helloMessages() {
			n.send(n.encode(hello.to, hello.message))
		}
	}
}

// tickRepair advances repairs every repairInterval. A peer that announced itself is remembered
// until its next announcement: the disk that it replaces may not be silent for long enough yet,
// and another change may be in progress.
func (n *Node) tickRepair() {
	n.ticksSinceRepair++
	if n.ticksSinceRepair%n.options.ticks(repairInterval) != 0 {
		return
	}
	if n.ticksSinceRepair >= n.options.ticks(helloInterval) {
		n.ticksSinceRepair, n.announced = 0, nil
	}
	for _, peer := range n.core.TakeUnknownPeers() {
		if len(n.announced) < maxUnknownPeers && !slices.Contains(n.announced, peer) {
			n.announced = append(n.announced, peer)
		}
	}
	if n.options.Repair && n.core.Role() == Leader {
		n.repair(n.announced)
	}
}

// memberProgress returns the leader's view of the other members, nil if this member
// doesn't lead.
func (n *Node) memberProgress() map[DiskIdentity]MemberProgress {
	if n.core.Role() != Leader {
		return nil
	}
	out := map[DiskIdentity]MemberProgress{}
	for _, disk := range n.core.peerDisks() {
		out[disk] = MemberProgress{
			Silence:    time.Duration(n.core.silentTicks(disk)) * n.options.Tick,
			HasReplied: n.core.leaderState.progress[disk].hasReplied,
			CaughtUp:   n.core.isCaughtUp(disk),

			TotalSilence: time.Duration(n.core.totalSilence(disk)) * n.options.Tick,
			IsOverdue:    n.core.isFirstReplyOverdue(disk),
		}
	}
	return out
}

// updateStatus publishes the Core's state to other goroutines.
func (n *Node) updateStatus() {
	n.reportConfiguration()
	configuration := n.core.Configuration()
	election := n.core.Election()
	n.options.setDurations(&election)
	leader, _ := n.memberByDisk(n.core.Leader())
	isLeader := n.core.Role() == Leader
	if !isLeader {
		n.progress = nil
	}
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
		Voters: configuration.Voters, Learners: configuration.Learners, Progress: n.progress,
		Role: n.core.Role(), MayWinTerm: n.core.MayWinTerm(), LastIndex: n.core.LastIndex(), Election: election,
	}
	if previous.Leader != leader.Name {
		leaderChanges.Inc()
		n.options.Logger.Info("leader changed", "leader", leader.Name, "term", n.core.Term())
	}
	if isLeader && !previous.IsLeader {
		elections.Inc()
	}
}
