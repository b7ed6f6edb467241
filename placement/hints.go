package placement

import (
	"sync/atomic"
	"time"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
)

const (
	hintSlots = 1 << 16         // hints kept; a newer one replaces an older one of its slot
	hintLife  = 5 * time.Minute // age at which a hint is worth nothing
)

// hints remembers which prefixes were sent to which endpoints. Each hint is one
// word: the high half tells prefix and endpoint apart, the low half is the time
// in seconds. Hints may be wrong: engines drop prefixes without telling in time.
type hints struct {
	slots [hintSlots]atomic.Uint64
}

func hintHash(b engine.Block, m *directory.Member) uint64 { return mix(uint64(b) ^ mix(m.Hash)) }

func hintWord(hash uint64, now time.Time) uint64 {
	return hash&^0xffffffff | uint64(uint32(now.Unix()))
}

func (h *hints) put(now time.Time, b engine.Block, m *directory.Member) {
	hash := hintHash(b, m)
	h.slots[hash%hintSlots].Store(hintWord(hash, now))
}

func (h *hints) drop(b engine.Block, m *directory.Member) {
	hash := hintHash(b, m)
	slot := &h.slots[hash%hintSlots]
	if word := slot.Load(); word>>32 == hash>>32 {
		slot.CompareAndSwap(word, 0)
	}
}

// worth returns how much the hint for b on m counts, from 0 to 1.
func (h *hints) worth(now time.Time, b engine.Block, m *directory.Member) float64 {
	hash := hintHash(b, m)
	word := h.slots[hash%hintSlots].Load()
	if word == 0 || word>>32 != hash>>32 {
		return 0
	}
	age := time.Duration(uint32(now.Unix())-uint32(word)) * time.Second
	if age >= hintLife {
		return 0
	}
	return 1 - float64(age)/float64(hintLife)
}

// steps calls f with the number of blocks of each prefix of the chain for which
// hints are kept, longest first, until f returns false. The lengths are powers
// of two, and halfway between them, so that prompts that share a prefix meet.
func steps(blocks int, f func(n int) bool) {
	n := 1
	for n*2 <= blocks {
		n *= 2
	}
	for ; n >= 1 && blocks > 0; n /= 2 {
		if half := n + n/2; half > n && half <= blocks && !f(half) {
			return
		}
		if !f(n) {
			return
		}
	}
}

// cached returns the prompt tokens expected in the prefix cache of m.
func (h *hints) cached(now time.Time, m *directory.Member, blocks []engine.Block) int {
	tokens := 0
	steps(len(blocks), func(n int) bool {
		worth := h.worth(now, blocks[n-1], m)
		if worth == 0 {
			return true
		}
		tokens = int(worth * float64(n*engine.BlockTokens))
		return false
	})
	return tokens
}

// learn keeps the prefixes of a prompt that m has now. Hints beyond what was
// found before are renewed, as the prompt has been there since.
func (h *hints) learn(now time.Time, m *directory.Member, blocks []engine.Block) {
	steps(len(blocks), func(n int) bool {
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
