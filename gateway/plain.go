package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/breaker"
)

// plainPicker chooses endpoints of plain services: the one with the fewest
// requests of this entry, the own failure domain first among equals.
type plainPicker struct {
	mu   sync.Mutex
	open map[string]int // requests in progress, by endpoint
}

func newPlainPicker() *plainPicker { return &plainPicker{open: map[string]int{}} }

// pick returns an endpoint that takes work; false for none. Those that failed
// this request or are blocked come last.
func (p *plainPicker) pick(all []announce.Record, exclude []string, domain string, b *breaker.Set, now time.Time) (announce.Record, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found, least := announce.Record{}, false, 0
	offset := rand.IntN(max(len(all), 1))
	for i := range all {
		h := all[(i+offset)%len(all)]
		if slices.Contains(exclude, h.ID) {
			continue
		}
		cost := 2 * p.open[h.ID]
		if h.FailureDomain != domain {
			cost++
		}
		if b.Blocked(now, h.ID) {
			cost += blockedCost
		}
		if silence := now.Sub(h.At); silence > silentAfter {
			cost += silentCost
		}
		if !found || cost < least {
			best, found, least = h, true, cost
		}
	}
	if found {
		p.open[best.ID]++
	}
	return best, found
}

// Costs of endpoints in doubt, above any number of requests in progress.
const (
	blockedCost = 10_000
	silentCost  = 100
	silentAfter = 4 * time.Second // three announcements missed
)

func (p *plainPicker) done(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[id]--; p.open[id] <= 0 {
		delete(p.open, id)
	}
}
