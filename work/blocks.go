// Package work estimates what a request costs an engine: tokens from bytes,
// seconds of prefill and decode, and blocks of memory. The entry places by these
// estimates and the endpoint admits by them, so that both judge alike.
package work

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthplank/jacinthplank/engine"
)

// BlockBytes is the number of bytes of text that one prefix block hash covers.
// It is fixed, so that equal prefixes hash alike whatever ratio of tokens to
// bytes an account has.
const BlockBytes = engine.BlockTokens * 4

// PrefixBlocks returns the chained hashes of the full blocks of text.
func PrefixBlocks(text string) []engine.Block {
	blocks := make([]engine.Block, 0, len(text)/BlockBytes)
	var chain [8]byte
	digest := xxhash.New()
	for ; len(text) >= BlockBytes; text = text[BlockBytes:] {
		digest.Reset()
		_, _ = digest.Write(chain[:])
		_, _ = digest.WriteString(text[:BlockBytes])
		sum := digest.Sum64()
		binary.LittleEndian.PutUint64(chain[:], sum)
		blocks = append(blocks, engine.Block(sum))
	}
	return blocks
}
