package mesh

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

// errNoQuorum means that no member could decide in time.
var errNoQuorum = errors.New("no quorum answers")

// ErrOutcomeUnknown means that a put may or may not take effect.
var ErrOutcomeUnknown = errors.New("the outcome of the change is unknown")

// tryTimeout bounds one question to one member: an election takes as long.
const tryTimeout = 700 * time.Millisecond

// Put asks the quorum to put a document in force. It returns once a majority
// has it on its disks. The same document may be put again.
func (m *Mesh) Put(ctx context.Context, d document.Document) (document.Answer, error) {
	var answer *document.Answer
	unknown := false
	err := m.core.ask(ctx, func(ctx context.Context, address string) (string, error) {
		a, err := m.putAt(ctx, address, &putRequest{Document: d})
		if err != nil {
			unknown = true
			return "", err
		}
		unknown = unknown || a.Unknown
		answer = a.Answer
		if answer != nil {
			return "", nil
		}
		return a.Leader, errors.New(a.Failure)
	})
	if err != nil && unknown {
		return document.Answer{}, errors.Join(ErrOutcomeUnknown, err)
	}
	if err != nil {
		return document.Answer{}, err
	}
	return *answer, nil
}

func (m *Mesh) putAt(ctx context.Context, address string, q *putRequest) (*putResponse, error) {
	if address == m.options.Address {
		return m.core.servePut(ctx, q)
	}
	return call[putRequest, putResponse](ctx, m.client, address, procedurePut, q)
}

// Read returns the newest document, as a majority confirms it.
func (m *Mesh) Read(ctx context.Context) (document.Document, error) {
	have := m.Document()
	var read *document.Document
	err := m.core.ask(ctx, func(ctx context.Context, address string) (string, error) {
		a, err := m.readAt(ctx, address, &readRequest{Have: have.Number})
		if err != nil {
			return "", err
		}
		read = a.Document
		if read != nil {
			return "", nil
		}
		return a.Leader, errors.New(a.Failure)
	})
	if err != nil {
		return document.Document{}, err
	}
	if read.Number == have.Number {
		return have, nil
	}
	return *read, nil
}

func (m *Mesh) readAt(ctx context.Context, address string, q *readRequest) (*readResponse, error) {
	if address == m.options.Address {
		return m.core.serveRead(ctx, q)
	}
	return call[readRequest, readResponse](ctx, m.client, address, procedureRead, q)
}

// ask tries the members, the leader first, until one answers or ctx ends. try
// returns the leader's address when the one asked does not lead.
func (c *core) ask(ctx context.Context, try func(ctx context.Context, address string) (string, error)) error {
	last := errNoQuorum
	for ctx.Err() == nil {
		asked := map[string]bool{}
		next := c.addresses()
		for len(next) > 0 && ctx.Err() == nil {
			address := next[0]
			next = next[1:]
			if asked[address] {
				continue
			}
			asked[address] = true
			one, cancel := context.WithTimeout(ctx, tryTimeout)
			leader, err := try(one, address)
			cancel()
			if err == nil {
				c.noteAnswer(address)
				return nil
			}
			last = err
			if leader != "" && !asked[leader] {
				next = append([]string{leader}, next...)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(corePeriod / 2):
		}
	}
	return errors.Join(errNoQuorum, last)
}

func (c *core) knownLeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *core) noteAnswer(address string) {
	c.mu.Lock()
	c.leader = address
	c.mu.Unlock()
}

// addresses are those of the members, the likely leader first.
func (c *core) addresses() []string {
	c.mu.Lock()
	leader := c.leader
	c.mu.Unlock()
	var out []string
	if leader != "" {
		out = append(out, leader)
	}
	for _, v := range c.knownVoters() {
		if v.Address != leader && v.Address != "" {
			out = append(out, v.Address)
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, d := range c.disks() {
		out = append(out, d.Address)
	}
	slices.SortFunc(out, strings.Compare)
	if len(out) == 0 {
		// Nobody is known yet: the seeds know who leads.
		out = append(out, c.mesh.options.Seeds...)
	}
	return out
}

func (c *core) servePut(ctx context.Context, q *putRequest) (*putResponse, error) {
	node := c.current()
	if node == nil {
		return &putResponse{Leader: c.knownLeader(), Failure: "not a member of the quorum"}, nil
	}
	command, err := document.EncodePut(q.Document)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	result, err := node.Propose(ctx, command)
	if err != nil {
		return &putResponse{Leader: leaderOf(err), Unknown: !quorum.IsNotRun(err), Failure: err.Error()}, nil
	}
	answer, err := document.DecodeAnswer(result)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	c.offer()
	return &putResponse{Answer: &answer}, nil
}

func (c *core) serveRead(ctx context.Context, q *readRequest) (*readResponse, error) {
	node := c.current()
	if node == nil {
		return &readResponse{Leader: c.knownLeader(), Failure: "not a member of the quorum"}, nil
	}
	if err := node.ReadIndex(ctx); err != nil {
		return &readResponse{Leader: leaderOf(err), Failure: err.Error()}, nil
	}
	d := c.register.Current()
	if d.Number == q.Have {
		d.Body = nil
	}
	return &readResponse{Document: &d}, nil
}

func leaderOf(err error) string {
	var other *quorum.ErrNotLeader
	if errors.As(err, &other) {
		return other.Address
	}
	return ""
}
