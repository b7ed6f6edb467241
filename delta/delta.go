// Package delta encodes a byte string as its difference from another one that the
// receiver has, or compressed by itself if the receiver has none.
package delta

import (
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// dictionaryID marks an encoding that needs the base.
const dictionaryID = 1

// Limits of the window in which a repetition is found, in bytes.
const (
	minWindow = 64 << 10
	maxWindow = 16 << 20
)

// window returns the window that covers a base and a target.
func window(size int) int {
	return min(max(1<<bits.Len(uint(size)), minWindow), maxWindow)
}

// Encode returns the encoding of target. A receiver needs the same base to decode it;
// base is empty if it has none.
func Encode(base, target []byte) ([]byte, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(window(len(base) + len(target)))}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("delta: encode: %w", err)
	}
	return w.EncodeAll(target, nil), nil
}

// Decode returns the target of an encoding. It fails if the target exceeds limit bytes
// or was encoded with another base.
func Decode(base, encoded []byte, limit int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(max(limit, 1))), zstd.WithDecoderMaxWindow(maxWindow),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("delta: decode: %w", err)
	}
	defer r.Close()
	target, err := r.DecodeAll(encoded, nil)
	if err != nil {
		return nil, fmt.Errorf("delta: decode: %w", err)
	}
	return target, nil
}
