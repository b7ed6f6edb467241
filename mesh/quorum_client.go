package mesh

import (
	"context"
	"errors"
	"sync/atomic"

	"connectrpc.com/connect"

	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/coord/evacuation"
	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/delta"
)

// errNoQuorum means that no quorum member answered in time.
var errNoQuorum = errors.New("no quorum member answered in time")

// errNoMember means that an entry was called that runs no member.
var errNoMember = errors.New("not a member of the quorum")

// ErrOutcomeUnknown means that a put may or may not take effect.
var ErrOutcomeUnknown = errors.New("the outcome of the change is unknown")

// Put proposes a document to the quorum. It returns once a majority has stored it
// on disk. Putting the same document again is allowed. A document that is too large is
// refused with document.ErrTooLarge before any member is called.
func (m *Mesh) Put(ctx context.Context, d document.Document) (document.Answer, error) {
	if err := document.CheckSize(d); err != nil {
		return document.Answer{}, err
	}
	encoded, err := delta.Encode(nil, d.Body)
	if err != nil {
		return document.Answer{}, err
	}
	req := &putRequest{Number: d.Number, Encoded: encoded}
	answer, err := propose(ctx, m.quorum, func(ctx context.Context, address string) (*putResponse, error) {
		return callMember(ctx, m, address, procedurePut, m.quorum.servePut, req)
	})
	if err == nil && (answer.Verdict == document.Accepted || answer.Verdict == document.Same) {
		go m.applyStored(d) // a large one takes a while to come into force, which the answer needn't wait for
	}
	return answer, err
}

// applyStored applies a document that a leader has just stored as the current one. Until the
// leader's next message, no other member knows that it is committed; if the leader is lost
// before, other entries take it from this one. An entry that has just started waits for the
// confirmation, with which it learns the evacuated domains too.
func (m *Mesh) applyStored(d document.Document) {
	if !m.applyUnconfirmed(d) {
		m.log.Info("stored configuration awaits its confirmation", "step", "mesh.configuration", "number", d.Number)
	}
}

// propose sends a proposal to the members until one answers it. Several may be asked, so that
// it may be appended more than once. An error joins ErrOutcomeUnknown if the command may take
// effect all the same.
func propose[A any](ctx context.Context, c *quorumManager, send func(ctx context.Context, address string) (*proposalResponse[A], error)) (A, error) {
	var outcomeUnknown atomic.Bool
	answer, err := callMembers(ctx, c, func(ctx context.Context, address string) memberResult[A] {
		resp, err := send(ctx, address)
		switch {
		case err != nil:
			outcomeUnknown.Store(true)
			return silentResult[A](err)
		case resp.Answer != nil:
			return memberResult[A]{answer: *resp.Answer, leadership: resp.leadership}
		case resp.Unknown:
			outcomeUnknown.Store(true)
		}
		return memberResult[A]{err: errors.New(resp.Failure), leadership: resp.leadership}
	})
	if err != nil && outcomeUnknown.Load() {
		return answer, errors.Join(ErrOutcomeUnknown, err)
	}
	return answer, err
}

// callMember calls a procedure of a member, which may be this entry.
func callMember[Req, Resp any](ctx context.Context, m *Mesh, address, procedure string, serve func(context.Context, *Req) (*Resp, error), req *Req) (*Resp, error) {
	if address == m.options.Address {
		return serve(ctx, req)
	}
	return call[Req, Resp](ctx, m.client, address, procedure, req)
}

// Read returns the newest document, as confirmed by a majority. Before it returns, the
// evacuated domains that the majority confirmed are in force on this entry.
func (m *Mesh) Read(ctx context.Context) (document.Document, error) {
	type confirmed struct {
		number      uint64
		source      string // address of the member that answered
		evacuations evacuation.Set
	}
	answer, err := callMembers(ctx, m.quorum, func(ctx context.Context, address string) memberResult[confirmed] {
		resp, err := callMember(ctx, m, address, procedureRead, m.quorum.serveRead, &readRequest{})
		switch {
		case err != nil:
			return silentResult[confirmed](err)
		case resp.Read:
			return memberResult[confirmed]{answer: confirmed{resp.Number, address, resp.Evacuations}, leadership: resp.leadership}
		default:
			return memberResult[confirmed]{err: errors.New(resp.Failure), leadership: resp.leadership}
		}
	})
	if err != nil {
		return document.Document{}, err
	}
	m.applyEvacuations(answer.evacuations)
	have := m.localDocument()
	if have.Number >= answer.number {
		return have, nil
	}
	return m.fetchDocument(ctx, answer.source, have, answer.number)
}

// localDocument returns the newest document on this entry: the one in force, or that of
// its quorum member, which may be newer.
func (m *Mesh) localDocument() document.Document {
	inForce, stored := m.Document(), m.quorum.state.register.Current()
	if stored.Number > inForce.Number {
		return stored
	}
	return inForce
}

func (c *quorumManager) servePut(ctx context.Context, req *putRequest) (*putResponse, error) {
	body, err := delta.Decode(nil, req.Encoded, document.MaxBodyBytes)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	d := document.Document{Number: req.Number, Body: body}
	if answer, ok := c.settledAnswer(ctx, d); ok {
		return &putResponse{Answer: &answer}, nil
	}
	command, err := document.EncodePut(d)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return c.puts.do(ctx, d, func(ctx context.Context) (*putResponse, error) {
		return proposeHere(ctx, c, command, document.DecodeAnswer)
	})
}

// settledAnswer answers a put that changes nothing by a read, which waits for no disk. An
// operator who sends a document again, because its first answer took too long, would
// otherwise wait as long as the first time.
func (c *quorumManager) settledAnswer(ctx context.Context, d document.Document) (document.Answer, bool) {
	node := c.currentNode()
	if node == nil {
		return document.Answer{}, false
	}
	if _, settled := c.state.register.Settled(d); !settled || node.ReadIndex(ctx) != nil {
		return document.Answer{}, false // the proposal tells why there is no leader
	}
	return c.state.register.Settled(d)
}

// proposeHere proposes a command to this entry's member and applies what it changes.
func proposeHere[A any](ctx context.Context, c *quorumManager, command []byte, decode func([]byte) (A, error)) (*proposalResponse[A], error) {
	node := c.currentNode()
	if node == nil {
		return &proposalResponse[A]{leadership: c.leadership(errNoMember), Failure: errNoMember.Error()}, nil
	}
	result, err := node.Propose(ctx, command)
	if err != nil {
		return &proposalResponse[A]{leadership: c.leadership(err), Unknown: !quorum.IsNotAppended(err), Failure: err.Error()}, nil
	}
	answer, err := decode(result)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	c.applyCommitted()
	return &proposalResponse[A]{Answer: &answer, leadership: c.leadership(nil)}, nil
}

func (c *quorumManager) serveRead(ctx context.Context, _ *readRequest) (*readResponse, error) {
	node := c.currentNode()
	if node == nil {
		return &readResponse{leadership: c.leadership(errNoMember), Failure: errNoMember.Error()}, nil
	}
	if err := node.ReadIndex(ctx); err != nil {
		return &readResponse{leadership: c.leadership(err), Failure: err.Error()}, nil
	}
	return &readResponse{Number: c.state.register.Current().Number, Evacuations: c.state.evacuated(), Read: true, leadership: c.leadership(nil)}, nil
}

// leadership returns the part of a response to err that tells whether this entry's member leads.
func (c *quorumManager) leadership(err error) leadership {
	var notLeader *quorum.ErrNotLeader
	switch {
	case errors.Is(err, errNoMember), errors.Is(err, quorum.ErrNoQuorum), errors.As(err, &notLeader):
		return leadership{Denied: true, Denial: c.mesh.Denial()}
	case err != nil:
		return leadership{}
	}
	if _, isSelf, term := c.leader(); isSelf {
		return leadership{Term: term}
	}
	return leadership{} // it has handed over since
}
