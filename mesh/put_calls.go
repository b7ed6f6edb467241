package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthplank/jacinthplank/coord/document"
)

// putTimeout bounds the proposal of a document, which ends sooner if the member stops leading. A
// leader whose entries aren't acknowledged steps down after about this time.
const putTimeout = 4 * time.Second

// errPutPending means that a put is still being stored.
const errPutPending = "the document is still being stored"

// putCalls joins puts of the same document: callers give up and send it again while it is being
// stored, and each copy in the log would delay it further. The zero value is ready for use. It is
// safe for concurrent use.
type putCalls struct {
	mu         sync.Mutex
	inProgress map[putKey]*putCall
}

// putKey identifies a document without holding its body.
type putKey struct{ number, digest uint64 }

// putCall is a put in progress.
type putCall struct {
	done     chan struct{}
	response *putResponse
	err      error
}

// do returns the response of propose, which is called unless it is in progress for the same
// document. It goes on after the end of ctx.
func (p *putCalls) do(ctx context.Context, d document.Document, propose func(context.Context) (*putResponse, error)) (*putResponse, error) {
	call := p.join(putKey{d.Number, xxhash.Sum64(d.Body)}, propose)
	select {
	case <-call.done:
		return call.response, call.err
	case <-ctx.Done():
		return &putResponse{Unknown: true, Failure: errPutPending}, nil
	}
}

func (p *putCalls) join(key putKey, propose func(context.Context) (*putResponse, error)) *putCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	if call := p.inProgress[key]; call != nil {
		return call
	}
	call := &putCall{done: make(chan struct{})}
	if p.inProgress == nil {
		p.inProgress = map[putKey]*putCall{}
	}
	p.inProgress[key] = call
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), putTimeout)
		defer cancel()
		call.response, call.err = propose(ctx)
		p.mu.Lock()
		delete(p.inProgress, key)
		p.mu.Unlock()
		close(call.done)
	}()
	return call
}
