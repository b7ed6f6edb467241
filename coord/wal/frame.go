package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// Layout of a frame: magic, length of the payload, checksum, kind, payload.
const (
	frameMagic      = 0x4a51574c
	lengthOffset    = 4
	checksumOffset  = 8
	kindOffset      = 12
	frameHeaderSize = 13
	maxPayload      = 1 << 30 // bytes
)

type frameKind byte

const (
	kindHeader frameKind = iota + 1 // first frame of a file, with the format version
	kindBatch                       // a batch given to Append or Rotate
	kindMark                        // everything before it was acknowledged
	kindFile                        // the content of a file written by WriteFile
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// place is where a frame stands: it goes into the checksum.
type place struct {
	salt   string // identity of the log or name of the file
	number uint64 // number of the file
	offset uint64 // bytes from the start of the file
}

// CorruptError tells of acknowledged data that is damaged.
type CorruptError struct {
	File   string
	Offset int64 // bytes from the start of the file
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

func appendFrame(to []byte, at place, kind frameKind, payload []byte) []byte {
	start := len(to)
	to = binary.LittleEndian.AppendUint32(to, frameMagic)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(payload)))
	to = binary.LittleEndian.AppendUint32(to, 0)
	to = append(to, byte(kind))
	to = append(to, payload...)
	sum := checksum(at, to[start:])
	binary.LittleEndian.PutUint32(to[start+checksumOffset:], sum)
	return to
}

// checksum covers the place and the frame but for the checksum itself.
func checksum(at place, frame []byte) uint32 {
	var where [16]byte
	binary.LittleEndian.PutUint64(where[:], at.number)
	binary.LittleEndian.PutUint64(where[8:], at.offset)
	sum := crc32.Update(0, castagnoli, []byte(at.salt))
	sum = crc32.Update(sum, castagnoli, where[:])
	sum = crc32.Update(sum, castagnoli, frame[:checksumOffset])
	return crc32.Update(sum, castagnoli, frame[kindOffset:])
}

// parseFrame returns the frame at the start of data, and its size in bytes.
func parseFrame(data []byte, at place) (kind frameKind, payload []byte, size int, ok bool) {
	if len(data) < frameHeaderSize || binary.LittleEndian.Uint32(data) != frameMagic {
		return 0, nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data[lengthOffset:])
	if length > maxPayload || int(length) > len(data)-frameHeaderSize {
		return 0, nil, 0, false
	}
	size = frameHeaderSize + int(length)
	if binary.LittleEndian.Uint32(data[checksumOffset:]) != checksum(at, data[:size]) {
		return 0, nil, 0, false
	}
	return frameKind(data[kindOffset]), data[frameHeaderSize:size], size, true
}

// validFrameAfter reports whether a valid frame starts after offset.
func validFrameAfter(data []byte, offset int, at place) bool {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for from := offset + 1; from < len(data); from++ {
		i := bytes.Index(data[from:], magic)
		if i < 0 {
			return false
		}
		from += i
		at.offset = uint64(from)
		if _, _, _, ok := parseFrame(data[from:], at); ok {
			return true
		}
	}
	return false
}
