// Package work estimates the cost of a request for an engine: tokens from bytes,
// prefill and decode time, and memory blocks. Placement at the entry and admission
// at the endpoint use the same estimates, so that their decisions agree.
package work

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthplank/jacinthplank/engine"
)

// BlockBytes is the number of bytes of text that one prefix block hash covers. It is
// fixed, so that equal prefixes have equal hashes whatever an account's ratio of
// bytes to tokens.
const BlockBytes = engine.BlockTokens * 4

// PrefixBlocks returns the chained hashes of the full blocks of text. The remainder
// after the last full block is not hashed.
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
