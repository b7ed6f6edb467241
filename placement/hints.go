package placement

import (
	"sync/atomic"
	"time"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
)

const (
	hintSlots = 1 << 16         // maximum number of hints; a new hint overwrites the one in its slot
	hintTTL   = 5 * time.Minute // age at which the weight of a hint reaches 0
)

// hints records which prefixes were sent to which endpoints. Each hint is one
// 64-bit word: the upper half is a hash of prefix and endpoint, the lower half
// the Unix time in seconds. Hints may be stale, as engines evict prefixes without
// timely notice.
type hints struct {
	slots [hintSlots]atomic.Uint64
}

func hashHint(b engine.Block, m *directory.Member) uint64 { return mix(uint64(b) ^ mix(m.Hash)) }

func encodeHint(hash uint64, now time.Time) uint64 {
	return hash&^0xffffffff | uint64(uint32(now.Unix()))
}

func (h *hints) put(now time.Time, b engine.Block, m *directory.Member) {
	hash := hashHint(b, m)
	h.slots[hash%hintSlots].Store(encodeHint(hash, now))
}

func (h *hints) drop(b engine.Block, m *directory.Member) {
	hash := hashHint(b, m)
	slot := &h.slots[hash%hintSlots]
	if word := slot.Load(); word>>32 == hash>>32 {
		slot.CompareAndSwap(word, 0)
	}
}

// weight returns the weight of the hint for b on m, from 0 to 1. It falls
// linearly with the age of the hint.
func (h *hints) weight(now time.Time, b engine.Block, m *directory.Member) float64 {
	hash := hashHint(b, m)
	word := h.slots[hash%hintSlots].Load()
	if word == 0 || word>>32 != hash>>32 {
		return 0
	}
	age := time.Duration(uint32(now.Unix())-uint32(word)) * time.Second
	if age >= hintTTL {
		return 0
	}
	return 1 - float64(age)/float64(hintTTL)
}

// forEachHintLength calls f with each prefix length, in blocks, for which hints
// are kept, longest first, until f returns false. The lengths are the powers of
// two and the midpoints between them, so that prompts with a shared prefix have
// lengths in common.
func forEachHintLength(blocks int, f func(n int) bool) {
	n := 1
	for n*2 <= blocks {
		n *= 2
	}
	for ; n >= 1 && blocks > 0; n /= 2 {
		if intermediate := n + n/2; intermediate > n && intermediate <= blocks && !f(intermediate) {
			return
		}
		if !f(n) {
			return
		}
	}
}

// cachedTokens returns the prompt tokens expected in the prefix cache of m.
func (h *hints) cachedTokens(now time.Time, m *directory.Member, blocks []engine.Block) int {
	tokens := 0
	forEachHintLength(len(blocks), func(n int) bool {
		weight := h.weight(now, blocks[n-1], m)
		if weight == 0 {
			return true
		}
		tokens = int(weight * float64(n*engine.BlockTokens))
		return false
	})
	return tokens
}

// record stores hints for all prefixes of a prompt that m has just processed,
// including those that were cached already, so that their hints are renewed.
func (h *hints) record(now time.Time, m *directory.Member, blocks []engine.Block) {
	forEachHintLength(len(blocks), func(n int) bool {
		h.put(now, blocks[n-1], m)
		return true
	})
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
