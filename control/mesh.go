package control

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/ring"
)

// Limits of the send queue of one member and of one call to it.
const (
	sendQueueCapacity = 128 // messages
	maxBatchBytes     = 4 << 20
	sendTimeout       = time.Second
)

var (
	meshSent    = metrics.NewCounter("jacinthplank_control_mesh_messages_total")
	meshFailed  = metrics.NewCounter("jacinthplank_control_mesh_calls_failed_total")
	meshDropped = metrics.NewCounter("jacinthplank_control_mesh_messages_dropped_total")
)

// Mesh is the transport between the members of the quorum, with a send queue and
// a sender goroutine per peer. It implements quorum.Transport.
type Mesh struct {
	from string
	dial func(address string) jacinthplankv1connect.QuorumServiceClient

	ctx     context.Context
	cancel  context.CancelFunc
	senders sync.WaitGroup

	mu     sync.Mutex
	queues map[quorum.Member]*ring.Ring[[]byte]
	closed bool
}

// NewMesh returns the mesh of the member named from. dial creates the client of
// the member at an address.
func NewMesh(from string, dial func(address string) jacinthplankv1connect.QuorumServiceClient) *Mesh {
	m := &Mesh{from: from, dial: dial, queues: make(map[quorum.Member]*ring.Ring[[]byte])}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Send implements quorum.Transport.
func (m *Mesh) Send(to quorum.Member, messages [][]byte) {
	q := m.queue(to)
	if q == nil {
		return
	}
	before := q.Dropped()
	for _, message := range messages {
		q.Put(message)
	}
	meshDropped.Add(int(q.Dropped() - before))
}

// queue returns the send queue of a member. It returns nil for a new member once
// the mesh is closed.
func (m *Mesh) queue(to quorum.Member) *ring.Ring[[]byte] {
	m.mu.Lock()
	defer m.mu.Unlock()
	q, ok := m.queues[to]
	if ok || m.closed {
		return q
	}
	q = ring.New[[]byte](sendQueueCapacity, ring.DropOldest)
	m.queues[to] = q
	client := m.dial(to.Address)
	m.senders.Go(func() { m.sendLoop(to, q, client) })
	return q
}

// sendLoop sends the queued messages of one member in batches.
func (m *Mesh) sendLoop(to quorum.Member, q *ring.Ring[[]byte], client jacinthplankv1connect.QuorumServiceClient) {
	for {
		first, ok := q.Get(m.ctx)
		if !ok {
			return
		}
		batch := collectBatch(first, q)
		meshSent.Add(len(batch))
		if err := m.call(to, client, batch); err != nil {
			meshFailed.Inc()
		}
	}
}

// collectBatch returns first and the messages queued behind it. It stops once the
// batch has reached maxBatchBytes.
func collectBatch(first []byte, q *ring.Ring[[]byte]) [][]byte {
	batch, size := [][]byte{first}, len(first)
	for size < maxBatchBytes {
		select {
		case next := <-q.Items():
			batch = append(batch, next)
			size += len(next)
		default:
			return batch
		}
	}
	return batch
}

func (m *Mesh) call(to quorum.Member, client jacinthplankv1connect.QuorumServiceClient, batch [][]byte) error {
	ctx, cancel := context.WithTimeout(m.ctx, sendTimeout)
	defer cancel()
	_, err := client.Send(ctx, connect.NewRequest(&pb.SendRequest{From: m.from, To: to.Name, Messages: batch}))
	return err
}

// Close stops all sender goroutines and waits for them.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.senders.Wait()
}
