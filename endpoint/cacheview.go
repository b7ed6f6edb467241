package endpoint

import "github.com/jacinthplank/jacinthplank/engine"

// maxViewBlocks is the maximum number of blocks tracked by a cacheView.
const maxViewBlocks = 1 << 16

// cacheView is the agent's view of the engine's prefix cache, built from finished
// prefills and the engine's cache events. Events arrive late and with gaps, so
// the view is only a hint.
type cacheView struct {
	blocks       map[engine.Block]struct{}
	lastSequence uint64 // sequence number of the last event applied
	missedEvents uint64 // events skipped by gaps in the sequence
}

func newCacheView() *cacheView {
	return &cacheView{blocks: make(map[engine.Block]struct{})}
}

// cachedPrefix returns how many leading blocks are believed to be cached.
func (v *cacheView) cachedPrefix(blocks []engine.Block) int {
	for i, b := range blocks {
		if _, ok := v.blocks[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

func (v *cacheView) add(blocks []engine.Block) {
	if len(v.blocks)+len(blocks) > maxViewBlocks {
		clear(v.blocks)
	}
	for _, b := range blocks {
		v.blocks[b] = struct{}{}
	}
}

// reset clears the view, as after a restart of the engine, when its cache is empty
// and its event sequence starts over.
func (v *cacheView) reset() {
	clear(v.blocks)
	v.lastSequence = 0
}

// removeUncached removes the blocks of a prompt after its first cached tokens, as
// the engine found only those in its cache.
func (v *cacheView) removeUncached(blocks []engine.Block, cached int) {
	for _, b := range blocks[min(cached/engine.BlockTokens, len(blocks)):] {
		delete(v.blocks, b)
	}
}

// apply updates the view with events, oldest first.
func (v *cacheView) apply(events []engine.CacheEvent) {
	for _, e := range events {
		if e.Sequence <= v.lastSequence {
			continue
		}
		v.missedEvents += e.Sequence - v.lastSequence - 1
		v.lastSequence = e.Sequence
		if !e.Dropped {
			v.add(e.Blocks)
			continue
		}
		for _, b := range e.Blocks {
			delete(v.blocks, b)
		}
	}
}
