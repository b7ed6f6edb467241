// Package prompt builds an engine.Prompt from text: the estimated length in tokens
// and the chained hashes of the prefix blocks.
package prompt

import (
	"encoding/binary"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthplank/jacinthplank/engine"
)

// bytesPerToken is the ratio used until an engine has reported an exact count.
const bytesPerToken = 4

// blockBytes is the number of bytes of text that one prefix block hash covers.
const blockBytes = engine.BlockTokens * bytesPerToken

// New returns the prompt for text.
func New(text string) engine.Prompt {
	return engine.Prompt{Text: text, Tokens: Tokens(text), Blocks: Blocks(text)}
}

// Tokens estimates the number of tokens in text.
func Tokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// Blocks returns one chained hash for each full block of text. Texts with equal first
// n blocks have equal first n hashes.
func Blocks(text string) []engine.Block {
	blocks := make([]engine.Block, 0, len(text)/blockBytes)
	var previous uint64
	for len(text) >= blockBytes {
		previous = chainedHash(previous, text[:blockBytes])
		blocks = append(blocks, engine.Block(previous))
		text = text[blockBytes:]
	}
	return blocks
}

func chainedHash(previous uint64, text string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previous)
	d := xxhash.New()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(text)
	return d.Sum64()
}

// Valid reports whether text can be sent in a proto3 string, which must be UTF-8.
func Valid(text string) bool { return utf8.ValidString(text) }
