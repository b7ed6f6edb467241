// Package prompt makes an engine.Prompt of a text: its length in tokens and the
// chained hashes of its prefix blocks.
package prompt

import (
	"encoding/binary"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthplank/jacinthplank/engine"
)

// bytesPerToken is the ratio used until an engine has reported true counts.
const bytesPerToken = 4

// blockBytes is the length of text under one prefix block hash, in bytes.
const blockBytes = engine.BlockTokens * bytesPerToken

// New returns the prompt of text.
func New(text string) engine.Prompt {
	return engine.Prompt{Text: text, Tokens: Tokens(text), Blocks: Blocks(text)}
}

// Tokens estimates the tokens of text.
func Tokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// Blocks returns one chained hash per full block of text. Two texts share their
// first n hashes when they share their first n blocks.
func Blocks(text string) []engine.Block {
	blocks := make([]engine.Block, 0, len(text)/blockBytes)
	var previous uint64
	for len(text) >= blockBytes {
		previous = chain(previous, text[:blockBytes])
		blocks = append(blocks, engine.Block(previous))
		text = text[blockBytes:]
	}
	return blocks
}

func chain(previous uint64, text string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previous)
	d := xxhash.New()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(text)
	return d.Sum64()
}

// Valid reports whether text can be sent on: proto3 strings are UTF-8.
func Valid(text string) bool { return utf8.ValidString(text) }
