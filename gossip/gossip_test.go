package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gossip"
)

// network connects services without sockets and counts the records in messages.
type network struct {
	services map[string]*gossip.Service
	records  atomic.Int64
}

type link struct {
	network *network
	address string
}

func (l link) Exchange(ctx context.Context, r *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	s := l.network.services[l.address]
	if s == nil {
		return nil, errors.New("no service at this address")
	}
	reply, err := s.Exchange(ctx, r)
	sent := len(r.Msg.GetHeartbeat().GetRecords()) + len(reply.Msg.GetHeartbeat().GetRecords())
	l.network.records.Add(int64(sent))
	return reply, err
}

func (n *network) add(i int, seeds ...string) {
	address := fmt.Sprintf("127.0.0.1:%d", i)
	s := gossip.New(gossip.Options{
		Self:    membership.Record{Name: fmt.Sprintf("instance-%d", i), Address: address, Watcher: i < 5, Incarnation: 1},
		Seeds:   seeds,
		Dial:    func(a string) gossip.Peer { return link{n, a} },
		Version: func() fleet.Version { return fleet.Version{} },
	})
	n.services[address] = s
}

// TestSeedProbeSendsOnlyNewRecords guards against resending every record to a seed
// at each probe in an idle fleet, which occurs if the seed is known by address only.
func TestSeedProbeSendsOnlyNewRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := &network{services: map[string]*gossip.Service{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 12 {
			n.add(i, "127.0.0.1:0")
		}
		for _, s := range n.services {
			go func() { _ = s.Serve(ctx) }()
		}
		time.Sleep(20 * time.Second)
		n.records.Store(0)
		time.Sleep(30 * time.Second)
		g.Expect(n.records.Load()).To(BeZero())
		g.Expect(n.services["127.0.0.1:7"].Members()).To(HaveLen(12))
		cancel()
		synctest.Wait()
	})
}
