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

// Bounds of what waits for one member and of one call to it.
const (
	meshRing    = 128 // messages
	meshBatch   = 4 << 20
	sendTimeout = time.Second
)

var (
	meshSent    = metrics.NewCounter("jacinthplank_control_mesh_messages_total")
	meshFailed  = metrics.NewCounter("jacinthplank_control_mesh_calls_failed_total")
	meshDropped = metrics.NewCounter("jacinthplank_control_mesh_messages_dropped_total")
)

// Mesh is the transport between the members of the quorum: a ring and a
// goroutine for each of the others. It implements quorum.Transport.
type Mesh struct {
	from string
	dial func(address string) jacinthplankv1connect.QuorumServiceClient

	ctx     context.Context
	cancel  context.CancelFunc
	sending sync.WaitGroup

	mu     sync.Mutex
	lanes  map[quorum.Member]*ring.Ring[[]byte]
	closed bool
}

// NewMesh returns a mesh of the member named from. dial makes the client of a
// member at an address.
func NewMesh(from string, dial func(address string) jacinthplankv1connect.QuorumServiceClient) *Mesh {
	m := &Mesh{from: from, dial: dial, lanes: make(map[quorum.Member]*ring.Ring[[]byte])}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Send implements quorum.Transport.
func (m *Mesh) Send(to quorum.Member, messages [][]byte) {
	lane := m.lane(to)
	if lane == nil {
		return
	}
	before := lane.Dropped()
	for _, message := range messages {
		lane.Put(message)
	}
	meshDropped.Add(int(lane.Dropped() - before))
}

// lane returns the ring to a member, nil once the mesh is closed.
func (m *Mesh) lane(to quorum.Member) *ring.Ring[[]byte] {
	m.mu.Lock()
	defer m.mu.Unlock()
	lane, known := m.lanes[to]
	if known || m.closed {
		return lane
	}
	lane = ring.New[[]byte](meshRing, ring.DropOldest)
	m.lanes[to] = lane
	client := m.dial(to.Address)
	m.sending.Go(func() { m.serve(to, lane, client) })
	return lane
}

// serve sends what waits for one member, all at once.
func (m *Mesh) serve(to quorum.Member, lane *ring.Ring[[]byte], client jacinthplankv1connect.QuorumServiceClient) {
	for {
		first, ok := lane.Get(m.ctx)
		if !ok {
			return
		}
		batch := gather(first, lane)
		meshSent.Add(len(batch))
		if err := m.call(to, client, batch); err != nil {
			meshFailed.Inc()
		}
	}
}

// gather takes what waits behind first, up to the bytes of one call.
func gather(first []byte, lane *ring.Ring[[]byte]) [][]byte {
	batch, size := [][]byte{first}, len(first)
	for size < meshBatch {
		select {
		case next := <-lane.Items():
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

// Close ends every lane.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.sending.Wait()
}
