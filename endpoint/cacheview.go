package endpoint

import "github.com/jacinthplank/jacinthplank/engine"

// maxViewBlocks bounds the blocks that a cacheView remembers.
const maxViewBlocks = 1 << 16

// cacheView is what the agent believes to be in the engine's prefix cache, from
// finished prefills and from the engine's late and gapped events. It is a hint.
type cacheView struct {
	blocks   map[engine.Block]struct{}
	sequence uint64 // last event seen
	gaps     uint64 // events that never came
}

func newCacheView() *cacheView {
	return &cacheView{blocks: make(map[engine.Block]struct{})}
}

// leading returns how many of the first blocks are believed to be cached.
func (v *cacheView) leading(blocks []engine.Block) int {
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

// reset forgets everything, as after a restart of the engine, which counts its
// events from the start again.
func (v *cacheView) reset() {
	clear(v.blocks)
	v.sequence = 0
}

// correct takes in that only cached tokens of a prompt were found in the cache.
func (v *cacheView) correct(blocks []engine.Block, cached int) {
	for _, b := range blocks[min(cached/engine.BlockTokens, len(blocks)):] {
		delete(v.blocks, b)
	}
}

// apply takes in events, oldest first.
func (v *cacheView) apply(events []engine.CacheEvent) {
	for _, e := range events {
		if e.Sequence <= v.sequence {
			continue
		}
		v.gaps += e.Sequence - v.sequence - 1
		v.sequence = e.Sequence
		if !e.Dropped {
			v.add(e.Blocks)
			continue
		}
		for _, b := range e.Blocks {
			delete(v.blocks, b)
		}
	}
}
