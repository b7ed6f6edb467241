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

// Limits of the send queues of one member and of one call to it.
const (
	sendQueueCapacity = 128 // messages
	maxBatchBytes     = 1 << 20
	sendTimeout       = time.Second
	// bulkBytesPerSecond extends the time limit of a call by the time that its bytes take on a
	// slow link: a call that is given up too soon is sent again, and again too slow.
	bulkBytesPerSecond = 1 << 20
	// senderIdleTime is after how long the goroutine of a queue that stays empty ends. Members
	// that are replaced get no more messages.
	senderIdleTime = time.Minute
)

var (
	meshSent    = metrics.NewCounter("jacinthplank_control_mesh_messages_total")
	meshFailed  = metrics.NewCounter("jacinthplank_control_mesh_calls_failed_total")
	meshDropped = metrics.NewCounter("jacinthplank_control_mesh_messages_dropped_total")
)

// Mesh is the transport between the members of the quorum. Each peer has two send queues with a
// goroutine each: votes, heartbeats and replies don't wait behind entries and snapshots, which
// take long on a slow link. It implements quorum.BulkTransport.
type Mesh struct {
	// OnBulkLost, if set, is called when a bulk message to a member may not have arrived. It must
	// not block and is set before the first message is sent.
	OnBulkLost func(to quorum.Member)

	from string
	dial func(address string) jacinthplankv1connect.QuorumServiceClient

	ctx     context.Context
	cancel  context.CancelFunc
	senders sync.WaitGroup

	mu     sync.Mutex
	queues map[lane]*ring.Ring[[]byte]
	closed bool
}

// lane is one of the two ways to a member.
type lane struct {
	to     quorum.Member
	isBulk bool
}

// NewMesh returns the mesh of the member named from. dial creates the client of
// the member at an address.
func NewMesh(from string, dial func(address string) jacinthplankv1connect.QuorumServiceClient) *Mesh {
	m := &Mesh{from: from, dial: dial, queues: map[lane]*ring.Ring[[]byte]{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Send implements quorum.Transport.
func (m *Mesh) Send(to quorum.Member, messages [][]byte) { m.put(lane{to, false}, messages) }

// SendBulk implements quorum.BulkTransport.
func (m *Mesh) SendBulk(to quorum.Member, messages [][]byte) { m.put(lane{to, true}, messages) }

func (m *Mesh) put(l lane, messages [][]byte) {
	// The lock is held so that the sender doesn't end between the look-up and the message.
	m.mu.Lock()
	q := m.queue(l)
	if q == nil {
		m.mu.Unlock()
		return
	}
	before := q.Dropped()
	for _, message := range messages {
		q.Put(message)
	}
	dropped := q.Dropped() - before
	m.mu.Unlock()
	meshDropped.Add(int(dropped))
	if dropped > 0 {
		m.reportLoss(l)
	}
}

// queue returns the send queue of a lane. It returns nil for a new one once the mesh is closed.
// The caller holds the lock.
func (m *Mesh) queue(l lane) *ring.Ring[[]byte] {
	q, ok := m.queues[l]
	if ok || m.closed {
		return q
	}
	q = ring.New[[]byte](sendQueueCapacity, ring.DropOldest)
	m.queues[l] = q
	client := m.dial(l.to.Address)
	m.senders.Go(func() { m.sendLoop(l, q, client) })
	return q
}

// sendLoop sends the queued messages of one lane in batches until it stays empty.
func (m *Mesh) sendLoop(l lane, q *ring.Ring[[]byte], client jacinthplankv1connect.QuorumServiceClient) {
	for {
		ctx, cancel := context.WithTimeout(m.ctx, senderIdleTime)
		first, ok := q.Get(ctx)
		cancel()
		if !ok {
			if m.end(l, q) {
				return
			}
			continue
		}
		batch, size := collectBatch(first, q)
		meshSent.Add(len(batch))
		if err := m.call(l.to, client, batch, size); err != nil {
			meshFailed.Inc()
			m.reportLoss(l)
		}
	}
}

// end removes the queue of a sender that ends. It returns false if there are messages, unless
// the mesh is closed.
func (m *Mesh) end(l lane, q *ring.Ring[[]byte]) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() == nil && q.Len() > 0 {
		return false
	}
	delete(m.queues, l)
	return true
}

func (m *Mesh) reportLoss(l lane) {
	if l.isBulk && m.OnBulkLost != nil {
		m.OnBulkLost(l.to)
	}
}

// collectBatch returns first and the messages queued behind it, and their bytes. It stops once
// the batch has reached maxBatchBytes.
func collectBatch(first []byte, q *ring.Ring[[]byte]) (batch [][]byte, size int) {
	batch, size = [][]byte{first}, len(first)
	for size < maxBatchBytes {
		select {
		case next := <-q.Items():
			batch = append(batch, next)
			size += len(next)
		default:
			return batch, size
		}
	}
	return batch, size
}

// sendTime returns the time limit of a call with so many bytes.
func sendTime(size int) time.Duration {
	return sendTimeout + time.Duration(size)*time.Second/bulkBytesPerSecond
}

func (m *Mesh) call(to quorum.Member, client jacinthplankv1connect.QuorumServiceClient, batch [][]byte, size int) error {
	ctx, cancel := context.WithTimeout(m.ctx, sendTime(size))
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
